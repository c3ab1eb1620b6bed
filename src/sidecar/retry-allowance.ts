/**
 * This sidecar's part of a retry budget that all sidecars share: a ratio of its own requests to a service within a
 * sliding window, plus an equal share of a fixed number. The parts add up to the budget without any coordination.
 */

/** Length in ms of the buckets in which requests and repeats are counted. */
const BUCKET_MS = 500;

/** Share of the budget that is used, since the windows over which it is checked may begin at any time. */
const USED_SHARE = 0.5;

/** Retry budget of one service over all sidecars. */
export interface RetryBudget {
  /** Repeats allowed per request. */
  readonly ratio: number;
  /** Additional repeats allowed per window. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
}

interface CountBucket {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Retry allowance of this sidecar for one service. */
export class RetryAllowance {
  private buckets: CountBucket[] = [];

  constructor(private readonly budget: RetryBudget) {}

  /** Records a request to the service. */
  recordRequest(nowMs: number): void {
    this.tick(nowMs).requests += 1;
  }

  /**
   * Charges a repeat to the allowance; false if none is left. `daemons` is the number of sidecars sharing the budget.
   */
  takeRepeat(nowMs: number, daemons: number): boolean {
    const bucket = this.tick(nowMs);
    const requests = this.buckets.reduce((sum, known) => sum + known.requests, 0);
    const repeats = this.buckets.reduce((sum, known) => sum + known.repeats, 0);
    const extraShare = (this.budget.extra * USED_SHARE) / Math.max(1, daemons);
    if (repeats + 1 > requests * this.budget.ratio * USED_SHARE + extraShare) return false;
    bucket.repeats += 1;
    return true;
  }

  /** Discards expired buckets and returns the current one. */
  private tick(nowMs: number): CountBucket {
    const oldestMs = nowMs - this.budget.windowMs;
    this.buckets = this.buckets.filter(({ startMs }) => startMs + BUCKET_MS > oldestMs);
    const last = this.buckets.at(-1);
    if (last !== undefined && nowMs - last.startMs < BUCKET_MS) return last;
    const bucket = { startMs: nowMs, requests: 0, repeats: 0 };
    this.buckets.push(bucket);
    return bucket;
  }
}
