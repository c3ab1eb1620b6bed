/** Keeps requests from a life of a back end at which runs break off one after the other, but for one now and then. */

/** Runs in a row that broke off, after which only one request at a time is let through as a trial. */
const BROKEN_LIMIT = 4;

/** Pause between trials, in ms. */
const TRIAL_PAUSE_MS = 300;

/** The trials of one back end. */
export class BackendTrials {
  private brokenInRow = 0;
  private lastTrialMs = -Infinity;

  /** Another life has begun; what broke off at the one before says nothing of it. */
  startLife(): void {
    this.brokenInRow = 0;
  }

  /** A run has ended. */
  noteRun(isBroken: boolean): void {
    this.brokenInRow = isBroken ? this.brokenInRow + 1 : 0;
  }

  /** Whether a request may be sent; one that may is the trial where the back end is on trial. */
  admits(nowMs: number): boolean {
    if (this.brokenInRow < BROKEN_LIMIT) return true;
    if (nowMs - this.lastTrialMs < TRIAL_PAUSE_MS) return false;
    this.lastTrialMs = nowMs;
    return true;
  }
}
