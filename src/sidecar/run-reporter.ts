/**
 * Reports the ended runs of one gateway to its crash guard, and delays the failures of broken runs. A caller retries
 * immediately after a failure, so it gets the failure only after a crash has been recorded for other daemons to see.
 */
import type { FailureHead } from '../link/link-messages.js';
import { cachedFingerprint, type IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { Runtime } from '../runtime/runtime.js';
import { MISDIRECTED_STATUS, type RunOutcome } from './backend-run.js';
import type { CrashGuard } from './crash-guard.js';

/** A run that has ended. */
export interface EndedRun {
  readonly requestId: string;
  /** Incarnation that the request names. */
  readonly instance: string;
  readonly identity: IdentifiedRequest;
  /** Whether no other request ran at the back end at the same time. */
  readonly alone: boolean;
  readonly usedMs: number;
}

/** Run reporter of one gateway. */
export class RunReporter {
  /** Failures of broken runs that are held until it is known whether the back end has ended. */
  private readonly pendingFailures = new Set<() => void>();

  constructor(
    private readonly guard: CrashGuard,
    private readonly runtime: Runtime,
  ) {}

  /** Reports the outcome of a run; returns the request's fingerprint if the back end may have ended during the run. */
  report(
    { requestId, instance, identity, alone, usedMs }: EndedRun,
    outcome: RunOutcome,
  ): string | undefined {
    if (outcome.kind === 'answered') this.guard.answered(identity, outcome.statusCode);
    const isMisdirected = outcome.kind === 'declined' && outcome.statusCode === MISDIRECTED_STATUS;
    if (isMisdirected) this.guard.misdirected(instance);
    const byBackend = isConnectionBroken(outcome);
    const cancelledByGateway = outcome.kind === 'cancelled' || outcome.kind === 'deadline';
    if (!byBackend && !cancelledByGateway) return undefined;
    const endedMs = this.runtime.nowMs();
    const fingerprint = cachedFingerprint(identity);
    const roundedMs = Math.round(usedMs);
    this.guard.interrupted({
      requestId,
      fingerprint,
      byBackend,
      alone,
      endedMs,
      usedMs: roundedMs,
    });
    return fingerprint;
  }

  /** Calls back once the end of a broken run has been checked and recorded; immediately for other outcomes. */
  afterEndCheck(outcome: RunOutcome, callback: () => void): void {
    if (isConnectionBroken(outcome)) void this.guard.checkBackendEnd().then(callback);
    else callback();
  }

  /** Delivers a failure to the caller's daemon; that of a broken run only after the end check. */
  fail(failure: FailureHead, deliver: (failure: FailureHead) => void): void {
    if (failure.reason !== 'broken') {
      deliver(failure);
      return;
    }
    const deliverOnce = (): void => {
      if (this.pendingFailures.delete(deliverOnce)) deliver(failure);
    };
    this.pendingFailures.add(deliverOnce);
    void this.guard.checkBackendEnd().then(deliverOnce);
  }

  /** Delivers all held failures. After a daemon's goodbye its peers treat requests without an answer as not run. */
  flush(): void {
    for (const deliverOnce of [...this.pendingFailures]) deliverOnce();
  }
}

/** Whether the back end closed the connection of a run that may have reached it. */
function isConnectionBroken(outcome: RunOutcome): boolean {
  return outcome.kind === 'broken' && outcome.reason === 'broken' && outcome.sent;
}
