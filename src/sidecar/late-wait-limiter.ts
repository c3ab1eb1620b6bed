/**
 * Limits how many requests wait for a slot although they will miss their target latency ("late" requests). Requests
 * that can meet theirs go first, so under lasting overload a late request would only be held until its deadline. The
 * limit is the number of late requests that the recent rate of slots granted to them can serve, plus a few more; none
 * may wait if too many of the recent late waits ended without a slot.
 */

/** Weight of the newest outcome in the success ratio. */
const EWMA_WEIGHT = 0.2;

/** Minimum ratio of late waits that ended with a slot, below which no further request may wait. */
const MIN_SUCCESS_RATIO = 0.75;

/** Time in ms without outcomes after which the success ratio has recovered to 1. */
const RECOVERY_MS = 6_000;

/** Length in ms of the window in which slots granted to late requests are counted. */
const RATE_WINDOW_MS = 1_000;

/** Number of late requests that may wait without any recent grants, as a fraction of the slots. */
const BASE_SHARE_OF_SLOTS = 0.34;

/** Outcome of a late wait: with a slot, without one, or withdrawn by the caller. */
export type LateWaitOutcome = 'place' | 'in-vain' | 'withdrawn';

/** Limits the late waits at one back end. */
export class LateWaitLimiter {
  /** Number of ended waits by outcome. */
  readonly counters: Record<LateWaitOutcome, number> = { place: 0, 'in-vain': 0, withdrawn: 0 };
  private successRatio = 1;
  private lastOutcomeMs = -Infinity;
  private waitingCount = 0;
  /** Times in ms at which late requests got slots, within the window. */
  private recentGrantsMs: number[] = [];

  /** Number of late requests that wait now. */
  get waiting(): number {
    return this.waitingCount;
  }

  /** Whether another request may start to wait for up to `waitMs`, at a back end with the given number of slots. */
  mayWait(waitMs: number, slots: number, nowMs: number): boolean {
    if (this.successRatioAt(nowMs) < MIN_SUCCESS_RATIO) return false;
    this.evictOldGrants(nowMs);
    const expectedGrants = (this.recentGrantsMs.length * waitMs) / RATE_WINDOW_MS;
    return this.waitingCount < expectedGrants + slots * BASE_SHARE_OF_SLOTS;
  }

  /** Records that a request starts to wait. */
  begin(): void {
    this.waitingCount += 1;
  }

  /** Records the outcome of a wait. */
  end(outcome: LateWaitOutcome, nowMs: number): void {
    this.waitingCount -= 1;
    this.counters[outcome] += 1;
    if (outcome === 'withdrawn') return;
    if (outcome === 'place') this.recentGrantsMs.push(nowMs);
    const ratio = this.successRatioAt(nowMs);
    this.successRatio = ratio + ((outcome === 'place' ? 1 : 0) - ratio) * EWMA_WEIGHT;
    this.lastOutcomeMs = nowMs;
  }

  private evictOldGrants(nowMs: number): void {
    const firstRecent = this.recentGrantsMs.findIndex((grantedMs) => nowMs - grantedMs < RATE_WINDOW_MS);
    this.recentGrantsMs = firstRecent < 0 ? [] : this.recentGrantsMs.slice(firstRecent);
  }

  private successRatioAt(nowMs: number): number {
    const recoveredShare = Math.min(1, (nowMs - this.lastOutcomeMs) / RECOVERY_MS);
    return this.successRatio + (1 - this.successRatio) * recoveredShare;
  }
}
