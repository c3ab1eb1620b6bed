/** Paces the requests to one back end: while it is cold, and by the request limit that it names in its answers. */
import type { PacingEstimate } from '../link/link-messages.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { StatedLimit } from './backend-signals.js';
import type { ColdStartLimit } from './cold-start-limit.js';
import type { LimitChange } from './limit-tracker.js';
import { RequestLimit } from './request-limit.js';
import { SentRequests } from './sent-requests.js';

/** Time in ms for which an estimate of a limited rate is valid; the limit itself has no end. */
const LIMIT_ESTIMATE_VALID_MS = 10_000;

/** Dependencies of the pacing. */
export interface RequestPacingPorts {
  readonly runtime: Pick<Runtime, 'steadyMs'>;
  readonly log: EventLog;
  /** Limits the request rate while the back end is cold. */
  readonly coldLimit: ColdStartLimit;
}

/** Source of a limit: an answer to a request, or what another daemon knows. */
type LimitSource = { readonly requestId: string } | { readonly adopted: true };

/** What ended the trial mode: a registration that shows a new incarnation, an answer, or what another daemon knows. */
type TrialModeEnd = 'new' | 'answer' | 'adopted';

/** Request rate to one back end. */
export class RequestPacing {
  private readonly limit: RequestLimit;
  private readonly sent = new SentRequests();
  private incarnation: string | null = null;
  /** Start of the trial mode in ms of the steady clock. */
  private trialModeSinceMs = -Infinity;

  constructor(private readonly ports: RequestPacingPorts) {
    this.limit = new RequestLimit(ports.runtime.steadyMs());
  }

  /** Limit that the back end has named, in requests per second; null if none is in force or known. */
  get limitPerSecond(): number | null {
    return this.limit.perSecond;
  }

  /** Whether it is known if the back end has named a limit. */
  get isLimitKnown(): boolean {
    return this.limit.isKnown;
  }

  /** Number of statements of a limit that were not readable. */
  get unreadableLimits(): number {
    return this.limit.unreadable;
  }

  /** Number of requests sent in the last seconds. */
  get recentlySent(): number {
    return this.sent.count(this.nowMs);
  }

  /** Whether the next request has to wait because of the limit that the back end has named. */
  get isLimiting(): boolean {
    return this.limit.isKnown && this.limit.delayMs(0, this.nowMs) > 0;
  }

  /** Whether the next request has to wait for the answer to a trial, which shows whether a limit is in force. */
  get awaitsTrial(): boolean {
    return !this.limit.isKnown && this.limit.delayMs(0, this.nowMs) > 0;
  }

  /** Returns the time in ms until a request may be sent behind `ahead` others. */
  delayMs(ahead: number): number {
    const { nowMs } = this;
    return Math.max(this.ports.coldLimit.delayMs(ahead, nowMs), this.limit.delayMs(ahead, nowMs));
  }

  /** Returns the time in ms after which a request that is refused now may find a turn, with `queued` others waiting. */
  retryAfterMs(queued: number): number {
    return this.limit.promiseTurn(queued, this.nowMs);
  }

  /** Returns the current rate; null if it is not limited. */
  estimate(): PacingEstimate | null {
    const { nowMs } = this;
    const cold = this.ports.coldLimit.estimate(nowMs);
    const intervalMs = this.limit.currentIntervalMs(nowMs);
    if (intervalMs === null) return cold;
    return {
      delayMs: Math.round(this.delayMs(0)),
      intervalMs: Math.round(Math.max(intervalMs, cold?.intervalMs ?? 0)),
      leftMs: LIMIT_ESTIMATE_VALID_MS,
    };
  }

  /**
   * Starts pacing for a new incarnation; nothing that the previous one stated applies to it. `isNewToDaemon` states
   * that no previous process of this daemon can have served it.
   */
  startIncarnation(incarnation: string, isNewToDaemon: boolean): void {
    const before = this.limit.perSecond;
    if (before !== null) this.ports.log.event('limit-forgotten', { instance: this.incarnation, before });
    this.incarnation = incarnation;
    this.limit.startIncarnation(isNewToDaemon);
    this.trialModeSinceMs = this.nowMs;
    if (!isNewToDaemon) this.ports.log.event('limit-unknown', { instance: incarnation });
  }

  /** Records that a request is sent; returns its number. */
  recordSent(): number {
    const { nowMs } = this;
    this.ports.coldLimit.recordSent(nowMs);
    this.sent.record(nowMs);
    return this.limit.recordSent(nowMs);
  }

  /** Records that no previous process of this daemon can have served the incarnation. */
  confirmNewToDaemon(): void {
    this.endTrialMode('new', () => {
      this.limit.confirmNewToDaemon();
    });
  }

  /** Records that a request has ended without an answer. */
  recordUnanswered(requestNumber: number): void {
    this.limit.recordUnanswered(requestNumber);
  }

  /** Records the limit that an answer states. */
  recordStatement(stated: StatedLimit, requestId: string, requestNumber: number): void {
    const unreadableBefore = this.limit.unreadable;
    const change = this.endTrialMode('answer', () =>
      this.limit.recordStatement(stated, requestNumber, this.nowMs),
    );
    // Only the first one is logged; a counter holds the total.
    const isFirstUnreadable = unreadableBefore === 0 && this.limit.unreadable > 0;
    if (isFirstUnreadable) this.ports.log.event('figure-unreadable', { figure: 'limit', requestId });
    if (change !== null) this.logChange(change, { requestId });
  }

  /** Adopts a limit that another daemon knows, if this one does not know yet which one is in force. */
  adopt(perSecond: number): void {
    const change = this.endTrialMode('adopted', () => this.limit.adopt(perSecond));
    if (change !== null) this.logChange(change, { adopted: true });
  }

  private get nowMs(): number {
    return this.ports.runtime.steadyMs();
  }

  /** Runs `update` and logs if it makes known whether a limit is in force. */
  private endTrialMode<T>(by: TrialModeEnd, update: () => T): T {
    const wasKnown = this.limit.isKnown;
    const result = update();
    if (!wasKnown && this.limit.isKnown) {
      const trialMs = Math.round(this.nowMs - this.trialModeSinceMs);
      this.ports.log.event('limit-known', { instance: this.incarnation, by, trialMs });
    }
    return result;
  }

  private logChange({ kind, before, after }: LimitChange, source: LimitSource): void {
    const { log } = this.ports;
    const fields = { instance: this.incarnation, before, after, ...source };
    if (kind === 'named') log.event('limit-named', fields);
    else if (kind === 'changed') log.event('limit-changed', fields);
    else log.event('limit-lifted', fields);
  }
}
