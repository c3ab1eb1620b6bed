/**
 * Limits the request rate of a back end while it is cold, as after its start. A cold back end that gets much more than
 * it can sustain fails and starts cold again. Pure: every call passes the time.
 */
import type { ColdStart } from '../directory/directory-state.js';
import type { PacingEstimate } from '../link/link-messages.js';

/** Length in ms of the sliding window in which requests are counted. */
const WINDOW_MS = 1_000;

/** Time in ms by which the window is extended, to allow for varying network latency. */
const WINDOW_MARGIN_MS = 50;

/** Fraction of the accepted excess that is left unused, as a margin for requests that were not counted here. */
const UNUSED_SLACK_SHARE = 0.25;

/** Burst size after a pause. It is 2 rather than 1, so that a pause does not waste a whole interval. */
const BURST = 2;

/** Consecutive warm reports that are required before a back end that may have become cold counts as warm. */
const REQUIRED_WARM_REPORTS = 2;

/** Maximum time in ms for which one report can make a back end count as cold. */
export const MAX_COLD_MS = 60_000;

/** By how much the request rate of a cold back end may exceed what it can sustain. */
export interface ColdStartBound {
  /** Factor on the sustainable number of requests per second. */
  readonly factor: number;
  /** Number of requests per second in addition. */
  readonly slack: number;
}

/** Rate limiter for one cold back end. Times are ms of the steady clock, which counts only elapsed time. */
export class ColdStartLimit {
  private coldStart: ColdStart | null = null;
  private coldUntilMs = -Infinity;
  /** Warm reports still required before the back end counts as warm. */
  private pendingWarmReports = 0;
  /** Times at which requests were sent in the last window, oldest first. */
  private readonly sentMs: number[] = [];
  /** Time from which the next request may be sent while the back end is cold. */
  private nextAllowedMs: number;
  /** End of the window in which requests of a previous process of this daemon may still count. */
  private blockedUntilMs: number;

  /** The first window after `startedMs` is blocked, since a previous process of this daemon may have sent requests. */
  constructor(
    private readonly bound: ColdStartBound,
    startedMs: number,
  ) {
    this.nextAllowedMs = startedMs;
    this.blockedUntilMs = startedMs + WINDOW_MS + WINDOW_MARGIN_MS;
  }

  /** Records that no previous process of this daemon can have sent requests to the present incarnation. */
  confirmNewToDaemon(): void {
    this.blockedUntilMs = -Infinity;
  }

  /** Sets the service's configuration; null disables the limit. */
  configure(coldStart: ColdStart | null): void {
    this.coldStart = coldStart;
  }

  /** Resets the state for a new incarnation of the back end, which is cold unless it reports otherwise. */
  startIncarnation(reportedMs: number | null, nowMs: number): void {
    this.pendingWarmReports = 0;
    this.coldUntilMs = -Infinity;
    this.recordReport(reportedMs ?? this.coldStart?.durationMs ?? 0, nowMs);
  }

  /** Records how long in ms the back end reports to stay cold; null if it did not report it. */
  recordReport(reportedMs: number | null, nowMs: number): void {
    if (reportedMs === null) return;
    this.pendingWarmReports = reportedMs > 0 ? 0 : Math.max(0, this.pendingWarmReports - 1);
    this.coldUntilMs = nowMs + Math.min(MAX_COLD_MS, reportedMs);
  }

  /** Treats the back end as cold until it has reported otherwise, because it may have become cold unnoticed. */
  assumeCold(): void {
    this.pendingWarmReports = REQUIRED_WARM_REPORTS;
  }

  /** Whether the back end counts as cold. */
  isCold(nowMs: number): boolean {
    return this.coldStart !== null && (this.pendingWarmReports > 0 || nowMs < this.coldUntilMs);
  }

  /** Returns the time in ms until a request may be sent behind `ahead` others; 0 if the rate is not limited. */
  delayMs(ahead: number, nowMs: number): number {
    if (!this.isCold(nowMs)) return 0;
    return Math.max(0, this.nextSendMs(nowMs) - nowMs + ahead * this.intervalMs);
  }

  /** Records that a request is sent. */
  recordSent(nowMs: number): void {
    if (this.coldStart === null) return;
    this.forget(nowMs);
    this.sentMs.push(nowMs);
    if (!this.isCold(nowMs)) return;
    const earliestMs = nowMs - (BURST - 1) * this.intervalMs;
    this.nextAllowedMs = Math.max(this.nextAllowedMs, earliestMs) + this.intervalMs;
  }

  /** Returns the current delay, interval and remaining cold time; null if the rate is not limited. */
  estimate(nowMs: number): PacingEstimate | null {
    if (!this.isCold(nowMs)) return null;
    const leftMs = Math.max(0, this.coldUntilMs - nowMs);
    const assumedMs = this.pendingWarmReports > 0 ? (this.coldStart?.durationMs ?? 0) : 0;
    return {
      delayMs: Math.round(this.delayMs(0, nowMs)),
      intervalMs: Math.round(this.intervalMs),
      leftMs: Math.round(Math.max(leftMs, assumedMs)),
    };
  }

  private get intervalMs(): number {
    const perSecond = this.coldStart?.requestsPerSecond ?? Infinity;
    return WINDOW_MS / perSecond;
  }

  /** Maximum number of requests in any window. */
  private get maxPerWindow(): number {
    const perSecond = this.coldStart?.requestsPerSecond ?? Infinity;
    const { factor, slack } = this.bound;
    return Math.max(1, Math.floor(perSecond * factor + slack * (1 - UNUSED_SLACK_SHARE)));
  }

  /** Counts requests that were sent while the back end was warm, too: they may have arrived after it became cold. */
  private nextSendMs(nowMs: number): number {
    this.forget(nowMs);
    const oldestCountedMs = this.sentMs[this.sentMs.length - this.maxPerWindow];
    const windowMs =
      oldestCountedMs === undefined ? -Infinity : oldestCountedMs + WINDOW_MS + WINDOW_MARGIN_MS;
    return Math.max(this.nextAllowedMs, windowMs, this.blockedUntilMs);
  }

  private forget(nowMs: number): void {
    const sinceMs = nowMs - WINDOW_MS - WINDOW_MARGIN_MS;
    while ((this.sentMs[0] ?? Infinity) <= sinceMs) this.sentMs.shift();
  }
}
