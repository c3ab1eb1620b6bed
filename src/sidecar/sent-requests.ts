/** Number of requests sent in a sliding window. Pure. */

/** Length in ms of the window, and of the buckets in which requests are counted. */
const WINDOW_MS = 4_000;
const BUCKET_MS = 100;

/** Requests counted by the time at which they were sent. */
export class SentRequests {
  /** Counts by bucket number, oldest first. */
  private readonly buckets = new Map<number, number>();

  /** Records one request. */
  record(nowMs: number): void {
    this.discardOld(nowMs);
    const bucket = bucketOf(nowMs);
    this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + 1);
  }

  /** Returns the number of requests in the window. */
  count(nowMs: number): number {
    this.discardOld(nowMs);
    return [...this.buckets.values()].reduce((sum, count) => sum + count, 0);
  }

  private discardOld(nowMs: number): void {
    const oldest = bucketOf(nowMs - WINDOW_MS);
    for (const bucket of this.buckets.keys()) {
      if (bucket >= oldest) return;
      this.buckets.delete(bucket);
    }
  }
}

function bucketOf(timeMs: number): number {
  return Math.floor(timeMs / BUCKET_MS);
}
