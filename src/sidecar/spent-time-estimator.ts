/**
 * Estimates how long a caller has already been retrying. A caller that retries after a refusal states a shorter
 * deadline than on its first attempt, and the deadline of first attempts is the one that many requests of the route
 * share.
 */

/** Number of most recent deadlines that are counted. */
const WINDOW_SIZE = 128;

/** Width in ms of the buckets in which deadlines are counted. */
const BUCKET_MS = 20;

/** Minimum number of requests before an estimate is made. */
const MIN_SAMPLES = 16;

/**
 * Minimum share of the counted requests for a deadline to count as frequent. If most requests are refused and retried
 * twice, a quarter of all requests are first attempts; the deadlines of retries spread over many buckets.
 */
const MIN_FREQUENT_SHARE = 0.15;

/** Estimates the time that callers of one route have spent on earlier attempts. */
export class SpentTimeEstimator {
  private readonly recent: number[] = [];
  private readonly counts = new Map<number, number>();

  /** Counts the deadline in ms of a request and returns the estimated time in ms that its caller has spent before. */
  spentMs(deadlineMs: number): number {
    this.count(Math.round(deadlineMs / BUCKET_MS));
    const usualBucket = this.longestFrequentBucket();
    if (usualBucket === null) return 0;
    const spentMs = usualBucket * BUCKET_MS - deadlineMs;
    return spentMs < BUCKET_MS ? 0 : spentMs;
  }

  private count(bucket: number): void {
    this.recent.push(bucket);
    this.counts.set(bucket, (this.counts.get(bucket) ?? 0) + 1);
    if (this.recent.length <= WINDOW_SIZE) return;
    const oldest = this.recent.shift() ?? 0;
    const left = (this.counts.get(oldest) ?? 1) - 1;
    if (left > 0) this.counts.set(oldest, left);
    else this.counts.delete(oldest);
  }

  /** Returns the longest frequent bucket: deadlines only shrink with retries, so it is that of first attempts. */
  private longestFrequentBucket(): number | null {
    if (this.recent.length < MIN_SAMPLES) return null;
    const minCount = this.recent.length * MIN_FREQUENT_SHARE;
    let longest: number | null = null;
    for (const [bucket, count] of this.counts) {
      if (count > minCount && (longest === null || bucket > longest)) longest = bucket;
    }
    return longest;
  }
}
