/**
 * The holder's side of a session lease. The holder counts its term from when it sent the renewal, control
 * from when it received it, so the holder's deadline always comes first; a margin covers clocks that run
 * at different rates.
 */

import type { Runtime } from '../runtime/runtime.js';

/** Part of a term by which the holder stops early: clocks may differ in rate by this much together. */
export const CLOCK_DRIFT_MARGIN = 0.02;

/** A lease as its holder sees it. Times are ms of the agent's clock, which counts suspended time. */
export class LeaseHolder {
  private sessionId: number | null = null;
  private currentDeadlineMs = 0;

  /** The open session, or null. */
  get session(): number | null {
    return this.sessionId;
  }

  /** Until when the session's grants may be used. */
  get deadlineMs(): number {
    return this.currentDeadlineMs;
  }

  /** A session was opened by a request sent at `sentMs`. */
  opened(session: number, sentMs: number, termMs: number): void {
    this.sessionId = session;
    this.currentDeadlineMs = deadline(sentMs, termMs);
  }

  /** A renewal sent at `sentMs` was answered; ignored when it is for another session. */
  renewed(session: number, sentMs: number, termMs: number): boolean {
    if (session !== this.sessionId) return false;
    this.currentDeadlineMs = Math.max(this.currentDeadlineMs, deadline(sentMs, termMs));
    return true;
  }

  /** The session has ended, or was given up. */
  ended(): void {
    this.sessionId = null;
  }

  /** Whether the lease has run out by itself. */
  expired(nowMs: number): boolean {
    return this.sessionId !== null && nowMs >= this.currentDeadlineMs;
  }
}

/**
 * A deadline of the agent's clock as a reading of the host's steady clock, which the back end reads as well. What the
 * agent's clock has skipped in suspension is taken off, since the steady clock has not counted it.
 */
export function steadyDeadline(clocks: Pick<Runtime, 'nowMs' | 'steadyMs'>, deadlineMs: number): number {
  return deadlineMs - (clocks.nowMs() - clocks.steadyMs());
}

function deadline(sentMs: number, termMs: number): number {
  return sentMs + termMs * (1 - CLOCK_DRIFT_MARGIN);
}
