/** Paces the requests to one back end, and tracks the request limit that it names in its answers. */
import type { ColdStartEstimate } from '../link/link-messages.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { StatedLimit } from './backend-signals.js';
import type { ColdStartLimit } from './cold-start-limit.js';
import { LimitTracker, type LimitChange } from './limit-tracker.js';
import { SentRequests } from './sent-requests.js';

/** Dependencies of the pacing. */
export interface RequestPacingPorts {
  readonly runtime: Pick<Runtime, 'steadyMs'>;
  readonly log: EventLog;
  /** Limits the request rate while the back end is cold. */
  readonly coldLimit: ColdStartLimit;
}

/** Request rate to one back end. */
export class RequestPacing {
  private readonly limit = new LimitTracker();
  private readonly sent = new SentRequests();
  private incarnation: string | null = null;

  constructor(private readonly ports: RequestPacingPorts) {}

  /** Limit that the back end has named, in requests per second; null if none is in force. */
  get limitPerSecond(): number | null {
    return this.limit.perSecond;
  }

  /** Number of statements of a limit that were not readable. */
  get unreadableLimits(): number {
    return this.limit.unreadable;
  }

  /** Number of requests sent in the last seconds. */
  get recentlySent(): number {
    return this.sent.count(this.ports.runtime.steadyMs());
  }

  /** Returns the time in ms until a request may be sent behind `ahead` others. */
  delayMs(ahead: number): number {
    return this.ports.coldLimit.delayMs(ahead, this.ports.runtime.steadyMs());
  }

  /** Returns the current rate; null if it is not limited. */
  estimate(): ColdStartEstimate | null {
    return this.ports.coldLimit.estimate(this.ports.runtime.steadyMs());
  }

  /** Starts tracking a new incarnation, or none; nothing that the previous one stated applies to it. */
  startIncarnation(incarnation: string | null): void {
    const before = this.limit.perSecond;
    if (before !== null) this.ports.log.event('limit-forgotten', { instance: this.incarnation, before });
    this.incarnation = incarnation;
    this.limit.startIncarnation();
  }

  /** Records that a request is sent; returns its number. */
  recordSent(): number {
    const nowMs = this.ports.runtime.steadyMs();
    this.ports.coldLimit.recordSent(nowMs);
    this.sent.record(nowMs);
    return this.limit.recordSent();
  }

  /** Records the limit that an answer states. */
  recordStatement(stated: StatedLimit, requestId: string, requestNumber: number): void {
    const { log } = this.ports;
    const unreadableBefore = this.limit.unreadable;
    const change = this.limit.recordStatement(stated, requestNumber);
    // Only the first one is logged; a counter holds the total.
    const isFirstUnreadable = unreadableBefore === 0 && this.limit.unreadable > 0;
    if (isFirstUnreadable) log.event('figure-unreadable', { figure: 'limit', requestId });
    if (change !== null) this.logChange(change, requestId);
  }

  private logChange({ kind, before, after }: LimitChange, requestId: string): void {
    const { log } = this.ports;
    const fields = { instance: this.incarnation, before, after, requestId };
    if (kind === 'named') log.event('limit-named', fields);
    else if (kind === 'changed') log.event('limit-changed', fields);
    else log.event('limit-lifted', fields);
  }
}
