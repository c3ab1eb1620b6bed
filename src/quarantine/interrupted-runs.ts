/**
 * Runs of one life of a back end that ended without its answer a moment ago. When the back end turns out to have ended,
 * they are the runs that it ended under.
 */
/**
 * Time in ms for which a run that was broken off from here may still be at work at the back end: the way there, and a
 * look of the back end at its connections.
 */
const LINGERING_MS = 250;

/** Time in ms within which an answer may be read after a connection broke although it was sent before that. */
const SAME_BURST_MS = 50;

/** Runs that are kept; more cannot have been at work at once. */
const MOST_KEPT = 256;

/** A run that has no answer. */
export interface InterruptedRun {
  readonly requestId: string;
  readonly fingerprint: string;
  /** Whether the back end broke the connection; otherwise the run was broken off from here. */
  readonly byBackend: boolean;
  /** Whether nothing else ran at the back end from its begin to its end. */
  readonly alone: boolean;
  /** When it ended, in ms of the daemon's clock. */
  readonly endedMs: number;
  readonly usedMs: number;
}

/** The runs of one back end. */
export class InterruptedRuns {
  private runs: InterruptedRun[] = [];

  /** A run has ended without an answer. */
  note(run: InterruptedRun): void {
    this.runs = [...this.runs, run].slice(-MOST_KEPT);
  }

  /** The back end has answered: it lives, so what broke off before has not ended it. */
  backendAnswered(nowMs: number): void {
    if (this.runs.length > 0) this.runs = this.runs.filter(({ endedMs }) => endedMs > nowMs - SAME_BURST_MS);
  }

  /**
   * The runs under which the back end has ended, if their connections broke after `sinceMs`; they are not kept any longer.
   * Without a broken connection there is no sign that anything ended.
   */
  take(sinceMs: number): readonly InterruptedRun[] {
    const lastMs = this.runs.findLast(({ byBackend }) => byBackend)?.endedMs ?? -Infinity;
    const taken = this.runs.filter(({ endedMs }) => Math.abs(endedMs - lastMs) <= LINGERING_MS);
    this.runs = [];
    return lastMs >= sinceMs && lastMs !== -Infinity ? taken : [];
  }
}
