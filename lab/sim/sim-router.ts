/** A simulated router: the real table watch, target selection and attempt policy, without HTTP. */
import type { NamedAddress } from '../../src/config/daemon-settings.js';
import { ControlWatch } from '../../src/control-client/control-watch.js';
import { WatchedTable } from '../../src/control-client/watched-table.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import {
  decideAfterFailure,
  OWNER_RETRY_AFTER_MS,
  type AttemptFailure,
} from '../../src/router/attempt-policy.js';
import { createRefusal, type Refusal } from '../../src/router/refusal.js';
import { selectOwner, type RoutingView, type Target } from '../../src/router/target-selection.js';
import type { BackendAnswer, BackendRequest, SimBackend } from './sim-backend.js';
import type { SimNetwork } from './sim-network.js';
import type { SimProcess } from './sim-process.js';

const MAX_OWNER_WAIT_MS = 300;
const TOKEN = 'simulation-token-0123';

/** A caller's request. */
export interface RoutedRequest {
  readonly service: string;
  readonly key: string;
  readonly sendingId: string;
  readonly idempotencyKey: string | null;
  /** Time until the deadline of the caller, in ms. */
  readonly remainingMs: number;
}

/** Outcome of a request. */
export type RoutedOutcome =
  { readonly kind: 'answered' } | { readonly kind: 'ended'; readonly refusal: Refusal };

type AttemptResult =
  { readonly kind: 'answered' } | { readonly kind: 'failed'; readonly failure: AttemptFailure };

/** One incarnation of a router. */
export class SimRouter {
  readonly table = new WatchedTable();
  private readonly view: RoutingView;
  private waiting: (() => void)[] = [];

  constructor(
    readonly name: string,
    readonly process: SimProcess,
    private readonly runtime: Runtime,
    private readonly network: SimNetwork,
    control: readonly NamedAddress[],
    private readonly backends: ReadonlyMap<string, SimBackend>,
    onUpdate: () => void,
  ) {
    const identity = { role: 'router', name, zone: 'zone', token: TOKEN } as const;
    new ControlWatch(runtime, this.table, identity, control, null, () => {
      for (const wake of this.waiting.splice(0)) wake();
      onUpdate();
    });
    this.view = {
      row: (service, shard) => this.table.row(service, shard),
      availableBackends: () => [],
      admits: () => true,
      hasTurn: () => true,
      loadOf: () => 0,
      random: () => 0,
    };
  }

  /** Routes one request and retries it as the attempt policy allows. */
  async handle(request: RoutedRequest): Promise<RoutedOutcome> {
    const deadlineMs = this.runtime.nowMs() + request.remainingMs;
    const service = this.table.services.get(request.service);
    if (service === undefined)
      return endedWith(createRefusal('not-ready', 'no table yet', OWNER_RETRY_AFTER_MS));
    let waitedMs = 0;
    for (let attempts = 0; ;) {
      const target = selectOwner(this.view, request.service, service, request.key);
      if (typeof target === 'string') {
        if (waitedMs >= MAX_OWNER_WAIT_MS)
          return endedWith(createRefusal(target, 'no owner', OWNER_RETRY_AFTER_MS));
        waitedMs += await this.waitForUpdate(MAX_OWNER_WAIT_MS - waitedMs);
        continue;
      }
      attempts += 1;
      const result = await this.attempt(request, target, deadlineMs - this.runtime.nowMs());
      if (result.kind === 'answered') return result;
      const decision = decideAfterFailure(result.failure, {
        repeatable: request.idempotencyKey === null,
        bodyAvailable: true,
        attempts,
        remainingMs: deadlineMs - this.runtime.nowMs(),
        tryConsumeRetry: () => true,
      });
      if (decision.kind === 'end') return endedWith(decision.refusal);
      waitedMs += await this.waitForUpdate(decision.backoffMs);
      if (waitedMs >= MAX_OWNER_WAIT_MS)
        return endedWith(createRefusal('no-owner', 'changing owner', OWNER_RETRY_AFTER_MS));
    }
  }

  /** Waits for a table update for at most `ms`; returns the elapsed time. */
  private async waitForUpdate(ms: number): Promise<number> {
    const startedMs = this.runtime.nowMs();
    await new Promise<void>((resolve) => {
      const cancel = this.runtime.after(ms, resolve);
      this.waiting.push(() => {
        cancel();
        resolve();
      });
    });
    return this.runtime.nowMs() - startedMs;
  }

  private async attempt(request: RoutedRequest, target: Target, remainingMs: number): Promise<AttemptResult> {
    const backend = this.backends.get(target.backend);
    if (backend?.process.alive !== true || target.fence === null) {
      await this.waitForUpdate(0);
      return { kind: 'failed', failure: { kind: 'not-sent', gone: true } };
    }
    const { shard, epoch } = target.fence;
    const { key, sendingId, idempotencyKey } = request;
    return await this.exchange(backend, { shard, epoch, key, sendingId, idempotencyKey }, remainingMs);
  }

  private async exchange(
    backend: SimBackend,
    request: BackendRequest,
    remainingMs: number,
  ): Promise<AttemptResult> {
    return await new Promise((resolve) => {
      this.deliver(backend.process, this.process.name, () => {
        backend.serve(request, (answer) => {
          this.deliver(this.process, backend.process.name, () => {
            resolve(toAttemptResult(answer));
          });
        });
      });
      this.runtime.after(Math.max(0, remainingMs), () => {
        resolve({ kind: 'failed', failure: { kind: 'deadline-passed', sent: true } });
      });
    });
  }

  /** Delivers a message to `process`; delayed while the connection is cut. */
  private deliver(process: SimProcess, from: string, run: () => void): void {
    process.schedule(this.network.drawDelayMs(), () => {
      if (this.network.canDeliver(from, process.name)) run();
      else this.deliver(process, from, run);
    });
  }
}

function toAttemptResult(answer: BackendAnswer): AttemptResult {
  if (answer.kind === 'answered') return answer;
  return { kind: 'failed', failure: { kind: 'refused', code: answer.code, retryAfterMs: 0 } };
}

function endedWith(cause: Refusal): RoutedOutcome {
  return { kind: 'ended', refusal: cause };
}
