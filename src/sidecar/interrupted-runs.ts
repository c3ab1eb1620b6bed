/**
 * Runs of one life of a back end that ended without its answer a moment ago. When the back end turns out to have ended,
 * they are the runs that it ended under.
 */
import type { RequestHead } from '../link/link-messages.js';
import { requestFingerprint } from '../quarantine/request-fingerprint.js';

/**
 * Time in ms for which a run that was broken off from here may still be at work at the back end: the way there, and a
 * look of the back end at its connections.
 */
const LINGERING_MS = 250;

/** Runs that are kept; more cannot have been at work at once. */
const MOST_KEPT = 256;

/** A run that has no answer. */
export interface InterruptedRun {
  readonly requestId: string;
  readonly fingerprint: string;
  /** When it ended, in ms of the daemon's clock. */
  readonly endedMs: number;
  readonly usedMs: number;
}

/** The runs of one back end. */
export class InterruptedRuns {
  private runs: InterruptedRun[] = [];

  /** A run has ended without an answer. */
  note(head: RequestHead, body: Buffer, endedMs: number, usedMs: number): InterruptedRun {
    const run = {
      requestId: head.requestId,
      fingerprint: requestFingerprint({ ...head, body }),
      endedMs,
      usedMs: Math.round(usedMs),
    };
    this.runs = [...this.runs, run].slice(-MOST_KEPT);
    return run;
  }

  /** The runs under which the back end has ended; they are not kept any longer. */
  take(): readonly InterruptedRun[] {
    const lastMs = this.runs.at(-1)?.endedMs ?? -Infinity;
    const taken = this.runs.filter(({ endedMs }) => endedMs >= lastMs - LINGERING_MS);
    this.runs = [];
    return taken;
  }
}
