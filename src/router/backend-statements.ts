/**
 * What one back end states about itself in its answers to a router: the request rate that it accepts, of which this
 * router uses its share, and its leave. Neither applies to the next incarnation of the back end.
 */
import type { BackendSignals } from '../sidecar/backend-signals.js';
import { RequestLimit } from '../sidecar/request-limit.js';

/** Time in ms after the first answer that states a leave from which the router sends no more requests. */
const LEAVE_CLOSE_MS = 1_600;

/** Called with each change, for the log. */
export type StatementLog = (event: string, fields: Readonly<Record<string, unknown>>) => void;

/** Statements of one back end. */
export class BackendStatements {
  private readonly limit: RequestLimit;
  private closesAtMs = Infinity;

  constructor(
    private readonly backend: string,
    private readonly clockMs: () => number,
    /** Share of a limit that this router may use. */
    share: number,
    private readonly log: StatementLog,
  ) {
    this.limit = new RequestLimit(clockMs(), share);
    this.limit.startIncarnation(false);
  }

  /** Limit in force in requests per second, for all routers together; null if there is none or none is known. */
  get limitPerSecond(): number | null {
    return this.limit.perSecond;
  }

  /** Whether the back end has stated its leave. */
  get leaving(): boolean {
    return this.closesAtMs !== Infinity;
  }

  /** Whether the back end must receive no more requests. */
  get closed(): boolean {
    return this.clockMs() >= this.closesAtMs;
  }

  /** Starts a new session: another incarnation may run now, so nothing that was stated applies any more. */
  startSession(): void {
    this.limit.startIncarnation(false);
    this.closesAtMs = Infinity;
  }

  /** Returns the time in ms until a request may be sent behind `ahead` others. */
  delayMs(ahead: number): number {
    return this.limit.delayMs(ahead, this.clockMs());
  }

  /** Returns the time in ms after which a request that is refused now may find a turn. */
  retryAfterMs(queued: number): number {
    return this.limit.promiseTurn(queued, this.clockMs());
  }

  /** Records that a request is sent; returns its number. */
  recordSent(): number {
    return this.limit.recordSent(this.clockMs());
  }

  /** Records what the answer to a request states. */
  recordAnswer({ limit, leaving }: BackendSignals, requestNumber: number): void {
    const { backend } = this;
    const change = this.limit.recordStatement(limit, requestNumber, this.clockMs());
    if (change !== null)
      this.log(`limit-${change.kind}`, { backend, before: change.before, after: change.after });
    if (!leaving || this.leaving) return;
    this.closesAtMs = this.clockMs() + LEAVE_CLOSE_MS;
    this.log('leave-stated', { backend, closesInMs: LEAVE_CLOSE_MS });
  }
}
