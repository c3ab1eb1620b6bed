/**
 * Tells whether requests that can meet their target latency arrive at a back end. Late requests leave slots free for
 * them; where none arrive, as while the work takes longer than every target, these slots would serve nobody. Pure.
 */

/**
 * Time in ms after such a request during which another one is expected. A route with fewer than one request in this
 * time loses little by waiting for the next slot, since it goes before late requests.
 */
const EXPECTED_WITHIN_MS = 1_000;

/** Arrivals at one back end of requests that can meet their target. */
export class InTimeDemand {
  private lastArrivalMs = -Infinity;

  /** Records the arrival of a request that can meet its target. */
  recordArrival(nowMs: number): void {
    this.lastArrivalMs = nowMs;
  }

  /** Whether such a request has arrived recently. */
  isPresent(nowMs: number): boolean {
    return nowMs - this.lastArrivalMs < EXPECTED_WITHIN_MS;
  }
}
