/**
 * What a router itself saw of a back end. A refused connection means that the process is gone; requests
 * that ended without an answer mean that it is frozen or cut off. Health endpoints are not asked: they
 * lag behind or mislead, and an attempt tells more.
 */

/** Unanswered requests in a row after which a back end counts as down. */
const UNANSWERED_LIMIT = 3;

/** Pause between attempts on a back end that is down, in ms. */
export const PROBE_PAUSE_MS = 200;

/** Observations of one back end. Times are ms of the router's monotonic clock. */
export class BackendHealth {
  private unanswered = 0;
  private downSince: number | null = null;
  private lastProbeMs = 0;

  /** When it went down; null while it is up. */
  get downSinceMs(): number | null {
    return this.downSince;
  }

  /** It answered, whatever it said. */
  answered(): void {
    this.unanswered = 0;
    this.downSince = null;
  }

  /** It refused the connection. */
  connectionRefused(nowMs: number): void {
    this.downSince ??= nowMs;
    this.lastProbeMs = nowMs;
  }

  /** A request ended without an answer. */
  unansweredRequest(nowMs: number): void {
    this.unanswered += 1;
    if (this.unanswered < UNANSWERED_LIMIT) return;
    this.downSince ??= nowMs;
    this.lastProbeMs = nowMs;
  }

  /** Whether a request may be tried now; while down, one in each pause. */
  admits(nowMs: number): boolean {
    if (this.downSince === null) return true;
    if (nowMs - this.lastProbeMs < PROBE_PAUSE_MS) return false;
    this.lastProbeMs = nowMs;
    return true;
  }
}
