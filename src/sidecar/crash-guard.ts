/** What a gateway must know of requests under which back ends have ended, and whom it tells what it saw. */
import type { InterruptedRun } from '../quarantine/interrupted-runs.js';
import type { RequestClassification } from '../quarantine/quarantine-view.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { SuspectPermits } from './suspect-runs.js';

/** The guard of one gateway. */
export interface CrashGuard {
  readonly permits: SuspectPermits;
  /** What holds for a request at the present back end. */
  judge(request: IdentifiedRequest): RequestClassification;
  /** A back end answered a run; told for every run, so that it has to cost nothing while there are no records. */
  answered(request: IdentifiedRequest, statusCode: number): void;
  /** The back end does not know itself as the one that a request was meant for, or does not hold its key. */
  misdirected(): void;
  /** A run has ended without an answer; the back end may have ended under it. */
  interrupted(run: InterruptedRun): void;
  /** Resolves once it is known whether the back end has ended under a run that broke off, and that is recorded. */
  runBroke(): Promise<void>;
}

/** The guard of a gateway that knows nothing of any request, and tells nobody. */
export const OPEN_GUARD: CrashGuard = {
  permits: { holds: () => false, ask: () => undefined, release: () => undefined },
  judge: () => ({ stage: 'free', fingerprint: null, record: null }),
  answered: () => undefined,
  misdirected: () => undefined,
  interrupted: () => undefined,
  runBroke: async () => {
    await Promise.resolve();
  },
};
