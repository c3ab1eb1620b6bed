/**
 * Checks that a test back end makes before and after it processes a request: fence, slots, idempotency key. Shared
 * by the HTTP back end and the simulated one, and therefore without a clock or timer of its own.
 */
import type { Claim, RefusalCode } from '../../src/backend-contract/grant-messages.js';
import type { ClaimWindow } from './claim-window.js';
import type { Admission, GrantTable } from './grant-table.js';

/** Answer stored for replays of a confirmation. */
export type StoredAnswer = NonNullable<Claim['answer']>;

/** Properties of a request that the gate checks. */
export interface GatedRequest {
  /** Grant that the request requires; null in a service without owners. */
  readonly fence: { readonly shard: number; readonly epoch: number } | null;
  /** Idempotency key of a request that must run at most once; null for other requests. */
  readonly claimKey: string | null;
  /** Wall-clock time, in ms. */
  readonly wallMs: number;
}

/** Outcome of the checks before a request runs. */
export type BeginResult =
  | { readonly kind: 'refused'; readonly code: RefusalCode }
  | { readonly kind: 'replay'; readonly answer: StoredAnswer }
  | { readonly kind: 'running'; readonly work: RunningRequest };

/** Admitted request; `finish` must be called once. */
export class RunningRequest {
  constructor(
    private readonly gate: RequestGate,
    private readonly admission: Admission | null,
    private readonly window: ClaimWindow | null,
    private readonly claimKey: string | null,
  ) {}

  /**
   * Runs the request in the same turn of the event loop as the last check of its grant. Returns null, without running
   * it, when the grant has ended or the caller has disconnected.
   */
  finish(callerDisconnected: boolean, run: () => StoredAnswer): StoredAnswer | null {
    try {
      const valid = !callerDisconnected && (this.admission?.stillValid() ?? true);
      if (!valid) {
        if (this.claimKey !== null) this.window?.abandon(this.claimKey);
        return null;
      }
      const answer = run();
      if (this.claimKey !== null) this.window?.complete(this.claimKey, answer);
      return answer;
    } finally {
      this.gate.ended();
      this.admission?.end();
    }
  }
}

/** Admission control of one back end. */
export class RequestGate {
  draining = false;
  inFlight = 0;

  constructor(
    private readonly grants: GrantTable,
    private readonly slots: number,
  ) {}

  /** Admits a request, replays a stored answer, or refuses. */
  begin(request: GatedRequest): BeginResult {
    const admission = this.admit(request);
    if (typeof admission === 'string') return { kind: 'refused', code: admission };
    const result = this.beginAdmitted(request, admission);
    if (result.kind !== 'running') admission?.end();
    return result;
  }

  /** Frees the slot of a request that has ended. */
  ended(): void {
    this.inFlight -= 1;
  }

  /** Checks the fence; returns null when the request requires no grant. */
  private admit({ fence }: GatedRequest): Admission | RefusalCode | null {
    if (fence === null) return this.draining ? 'draining' : null;
    return this.grants.admit(fence.shard, fence.epoch);
  }

  private beginAdmitted(request: GatedRequest, admission: Admission | null): BeginResult {
    if (this.inFlight >= this.slots) return { kind: 'refused', code: 'overloaded' };
    const window = admission?.window ?? null;
    const { claimKey, wallMs } = request;
    if (claimKey !== null && window !== null) {
      const decision = window.claim(claimKey, wallMs);
      if (decision.kind === 'replay') return decision;
      if (decision.kind !== 'run') return { kind: 'refused', code: decision.kind };
    }
    this.inFlight += 1;
    return { kind: 'running', work: new RunningRequest(this, admission, window, claimKey) };
  }
}
