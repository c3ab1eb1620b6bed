/**
 * What a stand-in checks before and after it works on a request: fence, slots, idempotency key. Shared by the
 * HTTP stand-in and the simulated one. No clock or timer of its own.
 */
import type { Claim, RefusalCode } from '../../src/backend-contract/grant-messages.js';
import type { ClaimWindow } from './claim-window.js';
import type { Admission, GrantTable } from './grant-table.js';

/** The answer that is kept for repeats of a confirmation. */
export type KeptAnswer = NonNullable<Claim['answer']>;

/** A request as the gate sees it. */
export interface GatedRequest {
  /** Grant that the request relies on; null in a service without owners. */
  readonly fence: { readonly shard: number; readonly epoch: number } | null;
  /** Idempotency key of a request that may not be repeated. */
  readonly claimKey: string | null;
  /** Wall-clock time, in ms. */
  readonly wallMs: number;
}

/** How a request begins. */
export type Begun =
  | { readonly kind: 'refused'; readonly code: RefusalCode }
  | { readonly kind: 'replay'; readonly answer: KeptAnswer }
  | { readonly kind: 'running'; readonly work: RunningWork };

/** A request that was let in; it must be finished. */
export class RunningWork {
  constructor(
    private readonly gate: RequestGate,
    private readonly admission: Admission | null,
    private readonly window: ClaimWindow | null,
    private readonly claimKey: string | null,
  ) {}

  /**
   * Runs the request in the same turn as the last check of its grant; null when the grant ended or the caller
   * has gone, and the request was not run.
   */
  finish(callerGone: boolean, run: () => KeptAnswer): KeptAnswer | null {
    try {
      const valid = !callerGone && (this.admission?.stillValid() ?? true);
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

/** The gate of one back end. */
export class RequestGate {
  draining = false;
  inFlight = 0;

  constructor(
    private readonly grants: GrantTable,
    private readonly slots: number,
  ) {}

  /** Lets a request in, or says why not. */
  begin(request: GatedRequest): Begun {
    const admission = this.admit(request);
    if (typeof admission === 'string') return { kind: 'refused', code: admission };
    const begun = this.beginAdmitted(request, admission);
    if (begun.kind !== 'running') admission?.end();
    return begun;
  }

  /** A running request has ended. */
  ended(): void {
    this.inFlight -= 1;
  }

  /** Checks the fence; null when the request needs none. */
  private admit({ fence }: GatedRequest): Admission | RefusalCode | null {
    if (fence === null) return this.draining ? 'draining' : null;
    return this.grants.admit(fence.shard, fence.epoch);
  }

  private beginAdmitted(request: GatedRequest, admission: Admission | null): Begun {
    if (this.inFlight >= this.slots) return { kind: 'refused', code: 'overloaded' };
    const window = admission?.window ?? null;
    const { claimKey, wallMs } = request;
    if (claimKey !== null && window !== null) {
      const decision = window.claim(claimKey, wallMs);
      if (decision.kind === 'replay') return decision;
      if (decision.kind !== 'run') return { kind: 'refused', code: decision.kind };
    }
    this.inFlight += 1;
    return { kind: 'running', work: new RunningWork(this, admission, window, claimKey) };
  }
}
