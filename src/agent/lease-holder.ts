/**
 * Holder's side of a session lease. The holder counts the term from sending the renewal and control from
 * receiving it, so the lease always expires at the holder first; a margin covers different clock rates.
 */

import type { Runtime } from '../runtime/runtime.js';

/** Fraction of the term by which the holder's deadline is earlier: maximum relative drift between both clocks. */
export const CLOCK_DRIFT_MARGIN = 0.02;

/** Lease as seen by its holder. Times are in ms of the agent's clock, which includes suspended time. */
export class LeaseHolder {
  private sessionId: number | null = null;
  private currentDeadlineMs = 0;

  /** ID of the open session, or null. */
  get session(): number | null {
    return this.sessionId;
  }

  /** Time until which the grants of the session may be used. */
  get deadlineMs(): number {
    return this.currentDeadlineMs;
  }

  /** Starts the lease of a session that was opened by a request sent at `sentMs`. */
  opened(session: number, sentMs: number, termMs: number): void {
    this.sessionId = session;
    this.currentDeadlineMs = leaseDeadline(sentMs, termMs);
  }

  /** Extends the lease after a renewal sent at `sentMs` was answered; returns false if it is for another session. */
  renewed(session: number, sentMs: number, termMs: number): boolean {
    if (session !== this.sessionId) return false;
    this.currentDeadlineMs = Math.max(this.currentDeadlineMs, leaseDeadline(sentMs, termMs));
    return true;
  }

  /** Ends the lease when the session has ended or was left. */
  ended(): void {
    this.sessionId = null;
  }

  /** Whether the lease of the open session has expired. */
  expired(nowMs: number): boolean {
    return this.sessionId !== null && nowMs >= this.currentDeadlineMs;
  }
}

/**
 * Converts a deadline of the agent's clock to the host's monotonic clock, which the back end reads as well. Subtracts
 * the suspended time, which the agent's clock includes and the monotonic clock does not.
 */
export function toMonotonicDeadline(clocks: Pick<Runtime, 'nowMs' | 'steadyMs'>, deadlineMs: number): number {
  return deadlineMs - (clocks.nowMs() - clocks.steadyMs());
}

function leaseDeadline(sentMs: number, termMs: number): number {
  return sentMs + termMs * (1 - CLOCK_DRIFT_MARGIN);
}
