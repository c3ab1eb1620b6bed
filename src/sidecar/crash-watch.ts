/** Crash guard of a sidecar, based on its quarantine table, the directory and the state of the local back end. */
import type { DirectoryNotice, DirectoryRequest } from '../directory/directory-messages.js';
import { CrashReporter, type VersionedIncarnation } from '../quarantine/crash-reporter.js';
import { InterruptedRuns, type InterruptedRun } from '../quarantine/interrupted-runs.js';
import type { RequestClassification, QuarantineView } from '../quarantine/quarantine-view.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import { runOutcomeOf } from '../quarantine/run-outcome.js';
import { RunPermits } from '../quarantine/run-permits.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { CrashGuard } from './crash-guard.js';
import type { SuspectPermits } from './suspect-scheduler.js';

/** Dependencies of a crash watch. */
export interface CrashWatchPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly quarantine: QuarantineView;
  /** Returns the present incarnation of the back end; null while it is leaving or this daemon is stopping. */
  readonly life: () => VersionedIncarnation | null;
  /** Checks whether a process listens at the back end's address. */
  readonly listens: () => Promise<boolean>;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Called when a run broke, or the back end rejected a key as not its own: it may have restarted. */
  readonly onPossibleRestart: () => void;
  /** Called when the back end rejected a request that names an instance. */
  readonly onMisdirected: (instance: string) => void;
  /** Called when a suspect gets a permit to run. */
  readonly onPermit: () => void;
}

/** Crash watch of one sidecar. */
export class CrashWatch implements CrashGuard {
  readonly permits: SuspectPermits;
  private readonly runs = new InterruptedRuns();
  private readonly reporter: CrashReporter;
  private readonly runPermits: RunPermits;

  constructor(private readonly ports: CrashWatchPorts) {
    const { runtime, log, life, listens, send, onPermit } = ports;
    this.reporter = new CrashReporter({ runtime, log, interrupted: this.runs, life, listens, send });
    const isPresent = (id: string): boolean => life()?.id === id;
    this.runPermits = new RunPermits({ runtime, send, isPresent, onPermit });
    this.permits = this.createPermits();
  }

  /** Number of unplanned ends of the back end. */
  get ends(): number {
    return this.reporter.ends;
  }

  /** See `CrashGuard`. */
  classify(request: IdentifiedRequest): RequestClassification {
    return this.ports.quarantine.classify(request, this.version);
  }

  /** See `CrashGuard`. */
  answered(request: IdentifiedRequest, statusCode: number): void {
    this.runs.handleAnswer(this.ports.runtime.nowMs());
    const { record, fingerprint } = this.classify(request);
    const runOutcome = runOutcomeOf(statusCode);
    if (record === null || fingerprint === null || runOutcome === null) return;
    this.runPermits.reportCompletion(fingerprint, this.version, runOutcome === 'good');
  }

  /** See `CrashGuard`. */
  misdirected(instance: string): void {
    this.ports.onMisdirected(instance);
    this.ports.onPossibleRestart();
  }

  /** See `CrashGuard`. */
  interrupted(run: InterruptedRun): void {
    this.runs.add(run);
  }

  /** See `CrashGuard`. */
  async checkBackendEnd(): Promise<void> {
    this.ports.onPossibleRestart();
    await this.reporter.handleInterruptedRun();
  }

  /** Called when a new incarnation of the back end has replaced one that had not announced that it leaves. */
  incarnationReplaced(previous: VersionedIncarnation): void {
    this.reporter.handleNewIncarnation(previous);
  }

  /** Handles a notice from the directory. */
  receive(notice: DirectoryNotice): void {
    if (notice.kind === 'end-recorded') this.reporter.handleNotice(notice);
    if (notice.kind === 'run-permitted') this.runPermits.handleNotice(notice);
  }

  /** Stops reporting. */
  stop(): void {
    this.reporter.stop();
  }

  private get version(): string {
    return this.ports.life()?.version ?? '';
  }

  /** Creates the view of the permits that is restricted to the present incarnation. */
  private createPermits(): SuspectPermits {
    const { runPermits } = this;
    const { life } = this.ports;
    return {
      holds: (fingerprint) => {
        const present = life();
        return present !== null && runPermits.holds(fingerprint, present.id);
      },
      request: (fingerprint) => {
        const present = life();
        if (present !== null) runPermits.requestPermit(fingerprint, present);
      },
      release: (fingerprint, begun) => {
        runPermits.release(fingerprint, begun);
      },
    };
  }
}
