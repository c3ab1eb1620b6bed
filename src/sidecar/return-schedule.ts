/**
 * Tells refused callers when to return: one after another at the rate at which the back end finishes requests while all
 * of its slots are used. Callers that are all told the same short time return into the overload that refused them. Pure:
 * every call passes the time.
 */

/** Length in ms of the window of finished requests that are used; the work of a cold back end changes in seconds. */
const WINDOW_MS = 1_000;

/** Time in ms ahead up to which callers are told to return; later demand is unknown, and callers rarely wait longer. */
const MAX_AHEAD_MS = 4_000;

/** What is known of the refused request and the back end. Times are in ms. */
export interface ReturnBounds {
  /** Time until the queue in front of the back end is expected to have a free place. */
  readonly firstMs: number;
  /** Latest time after which the request could still be answered before its deadline. */
  readonly latestMs: number;
  /** Expected time for which a request holds its slot, used until some have been finished. */
  readonly expectedUseMs: number;
  readonly slots: number;
}

/** A finished request, and the time in ms for which it held its slot. */
interface FinishedRequest {
  readonly atMs: number;
  readonly usedMs: number;
}

/** Return times of the requests that one back end refuses. */
export class ReturnSchedule {
  /** Requests finished within the window, oldest first. */
  private readonly finished: FinishedRequest[] = [];
  /** Newest return time that was told. */
  private newestMs = -Infinity;

  /** Records that a request has been finished that held its slot for `usedMs`. */
  recordFinished(usedMs: number, nowMs: number): void {
    this.discardOld(nowMs);
    this.finished.push({ atMs: nowMs, usedMs });
  }

  /** Returns the time in ms after which a refused request may return. */
  nextDelayMs({ firstMs, latestMs, expectedUseMs, slots }: ReturnBounds, nowMs: number): number {
    const intervalMs = (this.recentUseMs(nowMs) ?? expectedUseMs) / slots;
    const aheadMs = Math.max(firstMs, this.newestMs + intervalMs - nowMs);
    // Beyond the bound, the times start again, so that callers spread over all of it.
    const delayMs = aheadMs <= Math.max(firstMs, MAX_AHEAD_MS) ? aheadMs : firstMs;
    this.newestMs = nowMs + delayMs;
    return withinLatest(delayMs, firstMs, latestMs);
  }

  /** Returns the mean time in ms for which the recent requests held their slots; null if there were none. */
  private recentUseMs(nowMs: number): number | null {
    this.discardOld(nowMs);
    const { length } = this.finished;
    return length === 0 ? null : this.finished.reduce((sum, { usedMs }) => sum + usedMs, 0) / length;
  }

  private discardOld(nowMs: number): void {
    while ((this.finished[0]?.atMs ?? Infinity) <= nowMs - WINDOW_MS) this.finished.shift();
  }
}

/** Moves a delay that is of no use to the request into the span that is, spread like the delays themselves. */
function withinLatest(delayMs: number, firstMs: number, latestMs: number): number {
  if (delayMs <= latestMs) return delayMs;
  const spanMs = latestMs - firstMs;
  return spanMs <= 0 ? firstMs : firstMs + ((delayMs - firstMs) % spanMs);
}
