/**
 * Tells refused callers when to return: one after another at the rate at which the back end finishes requests. Callers
 * that are all told the same short time return into the overload that refused them. Pure: every call passes the time.
 */

/** Length in ms of the window in which finished requests are counted; the work of a cold back end changes in seconds. */
const RATE_WINDOW_MS = 1_000;

/** Time in ms ahead up to which callers are told to return; later demand is unknown, and callers rarely wait longer. */
const MAX_AHEAD_MS = 4_000;

/** What is known of the refused request and the back end. Times are in ms. */
export interface ReturnBounds {
  /** Time until the queue in front of the back end is expected to have a free place. */
  readonly firstMs: number;
  /** Latest time after which the request could still be answered before its deadline. */
  readonly latestMs: number;
  /** Expected interval between finished requests, used until some have been finished. */
  readonly expectedIntervalMs: number;
}

/** Return times of the requests that one back end refuses. */
export class ReturnSchedule {
  /** Times at which requests were finished, within the window, oldest first. */
  private readonly finishedMs: number[] = [];
  /** Newest return time that was told. */
  private newestMs = -Infinity;

  /** Records that a request has been finished. */
  recordFinished(nowMs: number): void {
    this.discardOld(nowMs);
    this.finishedMs.push(nowMs);
  }

  /** Returns the time in ms after which a refused request may return. */
  nextDelayMs({ firstMs, latestMs, expectedIntervalMs }: ReturnBounds, nowMs: number): number {
    const aheadMs = Math.max(firstMs, this.newestMs + this.intervalMs(expectedIntervalMs, nowMs) - nowMs);
    // Beyond the bound, the times start again, so that callers spread over all of it.
    const delayMs = aheadMs <= Math.max(firstMs, MAX_AHEAD_MS) ? aheadMs : firstMs;
    this.newestMs = nowMs + delayMs;
    return withinLatest(delayMs, firstMs, latestMs);
  }

  private intervalMs(expectedMs: number, nowMs: number): number {
    this.discardOld(nowMs);
    const { length } = this.finishedMs;
    return length === 0 ? expectedMs : RATE_WINDOW_MS / length;
  }

  private discardOld(nowMs: number): void {
    while ((this.finishedMs[0] ?? Infinity) <= nowMs - RATE_WINDOW_MS) this.finishedMs.shift();
  }
}

/** Moves a delay that is of no use to the request into the span that is, spread like the delays themselves. */
function withinLatest(delayMs: number, firstMs: number, latestMs: number): number {
  if (delayMs <= latestMs) return delayMs;
  const spanMs = latestMs - firstMs;
  return spanMs <= 0 ? firstMs : firstMs + ((delayMs - firstMs) % spanMs);
}
