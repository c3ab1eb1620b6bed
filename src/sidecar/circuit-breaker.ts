/** Circuit breaker: withholds requests from a back end whose runs keep breaking, except for occasional probes. */

/** Number of consecutive broken runs after which only probes are allowed. */
const FAILURE_THRESHOLD = 4;

/** Minimum time in ms between probes. */
const PROBE_INTERVAL_MS = 300;

/** Circuit breaker of one back end. */
export class CircuitBreaker {
  private consecutiveFailures = 0;
  private lastProbeMs = -Infinity;

  /** Closes the circuit for a new incarnation: broken runs of the previous one are no evidence about it. */
  reset(): void {
    this.consecutiveFailures = 0;
  }

  /** Records the outcome of a run. */
  recordRun(isBroken: boolean): void {
    this.consecutiveFailures = isBroken ? this.consecutiveFailures + 1 : 0;
  }

  /** Returns whether a request may be sent; while the circuit is open, an allowed request counts as the probe. */
  allowRequest(nowMs: number): boolean {
    if (this.consecutiveFailures < FAILURE_THRESHOLD) return true;
    if (nowMs - this.lastProbeMs < PROBE_INTERVAL_MS) return false;
    this.lastProbeMs = nowMs;
    return true;
  }
}
