/**
 * What the ended runs of one gateway show of their requests, and when callers are told of broken ones: a caller comes back
 * at once after a failure, so it is told only when other daemons know what there is to know.
 */
import type { FailureHead } from '../link/link-messages.js';
import { cachedFingerprint, type IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { Runtime } from '../runtime/runtime.js';
import { MISDIRECTED_STATUS, type RunOutcome } from './backend-run.js';
import type { CrashGuard } from './crash-guard.js';

/** A run that has ended. */
export interface ReportedRun {
  readonly requestId: string;
  readonly identity: IdentifiedRequest;
  /** Whether nothing else ran at the back end meanwhile. */
  readonly alone: boolean;
  readonly usedMs: number;
}

/** The reports of one gateway. */
export class RunReports {
  /** Answers to broken runs that wait until it is known whether the back end has ended. */
  private readonly held = new Set<() => void>();

  constructor(
    private readonly guard: CrashGuard,
    private readonly runtime: Runtime,
  ) {}

  /** Reports how a run ended; returns the fingerprint of one that its back end may have ended under. */
  report({ requestId, identity, alone, usedMs }: ReportedRun, outcome: RunOutcome): string | undefined {
    if (outcome.kind === 'answered') this.guard.answered(identity, outcome.statusCode);
    if (outcome.kind === 'declined' && outcome.statusCode === MISDIRECTED_STATUS) this.guard.misdirected();
    const byBackend = isBroken(outcome);
    const wasBrokenOff = outcome.kind === 'cancelled' || outcome.kind === 'deadline';
    if (!byBackend && !wasBrokenOff) return undefined;
    const endedMs = this.runtime.nowMs();
    const fingerprint = cachedFingerprint(identity);
    const rounded = Math.round(usedMs);
    this.guard.interrupted({ requestId, fingerprint, byBackend, alone, endedMs, usedMs: rounded });
    return fingerprint;
  }

  /** Calls back once it is known and recorded what a run has shown; at once, unless it broke off. */
  whenKnown(outcome: RunOutcome, then: () => void): void {
    if (isBroken(outcome)) void this.guard.runBroke().then(then);
    else then();
  }

  /** Tells the caller's daemon of a failure as soon as that is known. */
  fail(failure: FailureHead, tell: (failure: FailureHead) => void): void {
    if (failure.reason !== 'broken') {
      tell(failure);
      return;
    }
    const tellOnce = (): void => {
      if (this.held.delete(tellOnce)) tell(failure);
    };
    this.held.add(tellOnce);
    void this.guard.runBroke().then(tellOnce);
  }

  /** Tells of all failures that are held: once a daemon has said goodbye, what has no answer counts as not run. */
  flush(): void {
    for (const tellOnce of [...this.held]) tellOnce();
  }
}

/** Whether the back end broke the connection of a run that had reached it. */
function isBroken(outcome: RunOutcome): boolean {
  return outcome.kind === 'broken' && outcome.reason === 'broken' && outcome.sent;
}
