/** Interface between a gateway and the crash records: classifies requests, and receives reports of runs. */
import type { InterruptedRun } from '../quarantine/interrupted-runs.js';
import type { RequestClassification } from '../quarantine/quarantine-view.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { SuspectPermits } from './suspect-scheduler.js';

/** Crash guard of one gateway. */
export interface CrashGuard {
  readonly permits: SuspectPermits;
  /** Returns the classification of a request at the present back end. */
  classify(request: IdentifiedRequest): RequestClassification;
  /** Called for every answered run, so it must be cheap while there are no records. */
  answered(request: IdentifiedRequest, statusCode: number): void;
  /**
   * Called when the back end rejects a request that names an instance as meant for another one, or because it does not hold the
   * key.
   */
  misdirected(instance: string): void;
  /** Called when a run ended without an answer; the back end may have crashed during it. */
  interrupted(run: InterruptedRun): void;
  /** Resolves once it is known whether the back end has ended during a broken run, and an end has been recorded. */
  checkBackendEnd(): Promise<void>;
}

/** A guard without crash records: admits every request and reports nothing. */
export const NO_CRASH_GUARD: CrashGuard = {
  permits: { holds: () => false, request: () => undefined, release: () => undefined },
  classify: () => ({ stage: 'free', fingerprint: null, record: null }),
  answered: () => undefined,
  misdirected: () => undefined,
  interrupted: () => undefined,
  checkBackendEnd: async () => {
    await Promise.resolve();
  },
};
