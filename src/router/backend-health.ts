/**
 * Passive health tracking of a back end from the router's own requests. A refused connection means that the
 * process has ended; requests without an answer mean that it is frozen or partitioned. Health endpoints are
 * not queried: they lag behind or mislead, and an actual attempt is more informative.
 */

/** Consecutive unanswered requests after which a back end is considered down. */
const MAX_CONSECUTIVE_UNANSWERED = 3;

/** Interval between probing requests to a back end that is down, in ms. */
export const PROBE_INTERVAL_MS = 200;

/** Health of one back end. Times are in ms of the router's monotonic clock. */
export class BackendHealth {
  private unanswered = 0;
  private downSince: number | null = null;
  private lastProbeMs = 0;

  /** Time at which the back end went down; null while it is up. */
  get downSinceMs(): number | null {
    return this.downSince;
  }

  /** Records an answer of any kind, including a refusal. */
  answered(): void {
    this.unanswered = 0;
    this.downSince = null;
  }

  /** Records a refused connection. */
  recordConnectionRefused(nowMs: number): void {
    this.downSince ??= nowMs;
    this.lastProbeMs = nowMs;
  }

  /** Records a request that ended without an answer. */
  recordUnansweredRequest(nowMs: number): void {
    this.unanswered += 1;
    if (this.unanswered < MAX_CONSECUTIVE_UNANSWERED) return;
    this.downSince ??= nowMs;
    this.lastProbeMs = nowMs;
  }

  /** Whether a request may be sent now. While the back end is down, admits one request per probe interval. */
  admits(nowMs: number): boolean {
    if (this.downSince === null) return true;
    if (nowMs - this.lastProbeMs < PROBE_INTERVAL_MS) return false;
    this.lastProbeMs = nowMs;
    return true;
  }
}
