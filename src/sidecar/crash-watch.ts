/** The guard of a sidecar: joins its table, its directory and the back end beside it. */
import type { DirectoryNotice, DirectoryRequest } from '../directory/directory-messages.js';
import { CrashReporter, type BackendIncarnation } from '../quarantine/end-reporter.js';
import { InterruptedRuns, type InterruptedRun } from '../quarantine/interrupted-runs.js';
import type { RequestClassification, QuarantineView } from '../quarantine/quarantine-view.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import { runOutcomeOf } from '../quarantine/run-answer.js';
import { RunPermits } from '../quarantine/run-permits.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { CrashGuard } from './crash-guard.js';
import type { SuspectPermits } from './suspect-runs.js';

/** What the watch needs of its daemon. */
export interface CrashWatchPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly quarantine: QuarantineView;
  /** The life of the back end, as long as it does not leave and this daemon does not stop. */
  readonly life: () => BackendIncarnation | null;
  /** Asks whether any process listens at the back end's address. */
  readonly listens: () => Promise<boolean>;
  readonly send: (request: DirectoryRequest) => boolean;
  /** The back end broke off a run, or holds no key that it was sent work on: it may have begun another life. */
  readonly onDoubt: () => void;
  /** A suspect may run now. */
  readonly onPermit: () => void;
}

/** The guard of one sidecar. */
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
    this.permits = this.makePermits();
  }

  /** Times that the back end has ended by itself. */
  get ends(): number {
    return this.reporter.ends;
  }

  /** See `CrashGuard`. */
  judge(request: IdentifiedRequest): RequestClassification {
    return this.ports.quarantine.classify(request, this.version);
  }

  /** See `CrashGuard`. */
  answered(request: IdentifiedRequest, statusCode: number): void {
    this.runs.handleAnswer(this.ports.runtime.nowMs());
    const { record, fingerprint } = this.judge(request);
    const says = runOutcomeOf(statusCode);
    if (record === null || fingerprint === null || says === null) return;
    this.runPermits.reportCompletion(fingerprint, this.version, says === 'good');
  }

  /** See `CrashGuard`. */
  misdirected(): void {
    this.ports.onDoubt();
  }

  /** See `CrashGuard`. */
  interrupted(run: InterruptedRun): void {
    this.runs.add(run);
  }

  /** See `CrashGuard`. */
  async runBroke(): Promise<void> {
    this.ports.onDoubt();
    await this.reporter.handleInterruptedRun();
  }

  /** Another life of the back end has begun, and the one before had not said that it leaves. */
  lifeReplaced(before: BackendIncarnation): void {
    this.reporter.handleNewIncarnation(before);
  }

  /** Takes an answer of the directory. */
  receive(notice: DirectoryNotice): void {
    if (notice.kind === 'end-recorded') this.reporter.handleNotice(notice);
    if (notice.kind === 'run-permitted') this.runPermits.handleNotice(notice);
  }

  /** Reports no more. */
  stop(): void {
    this.reporter.stop();
  }

  private get version(): string {
    return this.ports.life()?.version ?? '';
  }

  /** Permits of the life that is beside this daemon now. */
  private makePermits(): SuspectPermits {
    const { runPermits } = this;
    const { life } = this.ports;
    return {
      holds: (fingerprint) => {
        const present = life();
        return present !== null && runPermits.holds(fingerprint, present.id);
      },
      ask: (fingerprint) => {
        const present = life();
        if (present !== null) runPermits.requestPermit(fingerprint, present);
      },
      release: (fingerprint, begun) => {
        runPermits.release(fingerprint, begun);
      },
    };
  }
}
