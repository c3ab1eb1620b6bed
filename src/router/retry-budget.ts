/** Limits retries to a fraction of the requests, so that retries cannot amplify an overload. */

/** Retries added to the budget per request. */
const RETRIES_PER_REQUEST = 0.1;

/** Maximum balance of the budget in retries; also the initial balance. */
const MAX_BALANCE = 20;

/** Retry budget of a router for one service. */
export class RetryBudget {
  private balance = MAX_BALANCE;

  /** Credits the budget for a new request. */
  requestStarted(): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + RETRIES_PER_REQUEST);
  }

  /** Consumes one retry; false if none is left. */
  tryConsume(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
