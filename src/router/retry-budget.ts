/** Limits retries to a share of the requests, so that retries cannot multiply an overload. */

/** Retries earned by one request. */
const RETRIES_PER_REQUEST = 0.1;

/** Retries that may be saved up; also the number that a router starts with. */
const MAX_SAVED_RETRIES = 20;

/** A router's budget for one service. */
export class RetryBudget {
  private saved = MAX_SAVED_RETRIES;

  /** A first attempt was made. */
  requestStarted(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; false when none is left. */
  tryTake(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
