/**
 * Recent runs at one incarnation of a back end that ended without an answer. If the back end turns out to have crashed,
 * they are the runs that were in flight during the crash.
 */

/**
 * Time in ms for which a run that this daemon cancelled may still be executed by the back end: the network latency plus the
 * time until the back end notices the closed connection.
 */
const CANCELLED_RUN_LINGER_MS = 250;

/** Time in ms by which an answer may be read later than a broken connection although it was sent before the break. */
const ANSWER_DELAY_TOLERANCE_MS = 50;

/** Maximum number of runs stored; no more can have been in flight at the same time. */
const MAX_STORED_RUNS = 256;

/** A run that ended without an answer. */
export interface InterruptedRun {
  readonly requestId: string;
  readonly fingerprint: string;
  /** Whether the back end closed the connection; otherwise this daemon cancelled the run. */
  readonly byBackend: boolean;
  /** Whether the back end executed no other request between the start and the end of the run. */
  readonly alone: boolean;
  /** Time of the end of the run, in ms of the daemon's clock. */
  readonly endedMs: number;
  readonly usedMs: number;
}

/** Interrupted runs of one back end. */
export class InterruptedRuns {
  private runs: InterruptedRun[] = [];

  /** Records a run that ended without an answer. */
  add(run: InterruptedRun): void {
    this.runs = [...this.runs, run].slice(-MAX_STORED_RUNS);
  }

  /** Handles an answer of the back end: it is live, so the runs interrupted earlier did not crash it and are discarded. */
  handleAnswer(nowMs: number): void {
    if (this.runs.length > 0)
      this.runs = this.runs.filter(({ endedMs }) => endedMs > nowMs - ANSWER_DELAY_TOLERANCE_MS);
  }

  /**
   * Removes all runs and returns those that were in flight during the crash, provided that the back end closed a connection
   * at `sinceMs` or later. Without such a connection there is no evidence of a crash, and none is returned.
   */
  takeCrashRuns(sinceMs: number): readonly InterruptedRun[] {
    const lastBreakMs = this.runs.findLast(({ byBackend }) => byBackend)?.endedMs ?? -Infinity;
    const crashRuns = this.runs.filter(
      ({ endedMs }) => Math.abs(endedMs - lastBreakMs) <= CANCELLED_RUN_LINGER_MS,
    );
    this.runs = [];
    return lastBreakMs >= sinceMs && lastBreakMs !== -Infinity ? crashRuns : [];
  }
}
