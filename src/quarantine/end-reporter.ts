/**
 * Detects whether the back end beside this daemon crashed when runs were interrupted, and reports the crash to the leader
 * until it is recorded. Callers are answered only afterwards, so that a retry of the request that caused the crash reaches
 * daemons that know of it.
 */
import type { CrashedRun } from './crash-commands.js';
import type { RunNotice, RunRequest } from './crash-messages.js';
import { pause } from '../runtime/pause.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { EventFields } from '../telemetry/event-log.js';
import type { InterruptedRun, InterruptedRuns } from './interrupted-runs.js';

/** Interval in ms at which an unacknowledged report is resent: several round trips between replicas. */
const RESEND_INTERVAL_MS = 150;

/** Maximum number of times that one crash is reported; if the leader is unavailable for longer, later crashes suffice. */
const MAX_REPORT_ATTEMPTS = 40;

/**
 * Maximum time in ms by which answers to interrupted runs are delayed until the crash is recorded. A commit takes about
 * 10 ms, and a caller that retries before it may crash one more back end.
 */
const MAX_HOLD_MS = 200;

/** Time in ms within which all connections of a crashed back end break; 2 ms were observed. */
const CONNECTION_SETTLE_MS = 15;

/**
 * Maximum age in ms of interrupted runs that count as evidence of a crash when a new incarnation appears without a refused
 * connection in between.
 */
const MAX_INTERRUPTION_AGE_MS = 10_000;

/** Incarnation of a back end, with its service and software version. */
export interface VersionedIncarnation {
  readonly id: string;
  readonly service: string;
  readonly version: string;
}

/** Dependencies of a reporter. */
export interface CrashReporterPorts {
  readonly runtime: Runtime;
  readonly log: { event(name: string, fields: EventFields): void };
  readonly interrupted: InterruptedRuns;
  /** Returns the current incarnation of the back end; null if there is none or it is draining. */
  readonly life: () => VersionedIncarnation | null;
  /** Checks whether any process listens at the back end's address. */
  readonly listens: () => Promise<boolean>;
  readonly send: (request: RunRequest) => boolean;
}

interface PendingReport {
  readonly token: number;
  readonly life: VersionedIncarnation;
  readonly runs: readonly CrashedRun[];
  attempts: number;
  cancelTimer: CancelTimer;
  readonly done: () => void;
}

/** Crash detection and reports of one daemon. */
export class CrashReporter {
  /** Number of crashes detected. */
  ends = 0;
  private readonly pendingReports = new Map<number, PendingReport>();
  private nextToken = 1;
  private checkInFlight: Promise<void> | null = null;
  private lastCrashedId: string | null = null;

  constructor(private readonly ports: CrashReporterPorts) {}

  /**
   * Handles an interrupted run: resolves once the back end was found to be listening, its crash was recorded, or the maximum
   * delay has passed.
   */
  async handleInterruptedRun(): Promise<void> {
    this.checkInFlight ??= this.checkBackend();
    const { checkInFlight } = this;
    await Promise.race([checkInFlight, pause(this.ports.runtime, MAX_HOLD_MS)]);
  }

  /** Handles the appearance of a new incarnation when no refused connection has revealed the end of the previous one. */
  handleNewIncarnation(previous: VersionedIncarnation): void {
    const runs = this.ports.interrupted.takeCrashRuns(this.ports.runtime.nowMs() - MAX_INTERRUPTION_AGE_MS);
    if (runs.length > 0) void this.report(previous, runs);
  }

  /** Handles a message of the leader. */
  handleNotice(notice: RunNotice): void {
    if (notice.kind !== 'end-recorded') return;
    const report = this.pendingReports.get(notice.token);
    if (report !== undefined) this.finish(report);
  }

  /** Abandons all pending reports. */
  stop(): void {
    for (const report of [...this.pendingReports.values()]) this.finish(report);
  }

  private async checkBackend(): Promise<void> {
    const life = this.ports.life();
    const listens = life === null || (await this.ports.listens());
    if (!listens) await pause(this.ports.runtime, CONNECTION_SETTLE_MS);
    this.checkInFlight = null;
    if (listens) return;
    const runs = this.ports.interrupted.takeCrashRuns(-Infinity);
    if (runs.length > 0) await this.report(life, runs);
  }

  private async report(life: VersionedIncarnation, runs: readonly InterruptedRun[]): Promise<void> {
    if (this.lastCrashedId !== life.id) this.ends += 1;
    this.lastCrashedId = life.id;
    this.ports.log.event('backend-ended', { instance: life.id, version: life.version, runs });
    const ended = toCrashedRuns(runs);
    await new Promise<void>((resolve) => {
      const token = this.nextToken;
      this.nextToken += 1;
      const report = { token, life, runs: ended, attempts: 0, cancelTimer: () => undefined, done: resolve };
      this.pendingReports.set(token, report);
      this.send(report);
    });
  }

  private send(report: PendingReport): void {
    const { token, life, runs } = report;
    if (report.attempts >= MAX_REPORT_ATTEMPTS) {
      this.ports.log.event('end-not-recorded', { instance: life.id });
      this.finish(report);
      return;
    }
    report.attempts += 1;
    const { id, service, version } = life;
    this.ports.send({ kind: 'backend-ended', token, life: id, service, version, runs: [...runs] });
    report.cancelTimer = this.ports.runtime.after(RESEND_INTERVAL_MS, () => {
      this.send(report);
    });
  }

  private finish(report: PendingReport): void {
    report.cancelTimer();
    this.pendingReports.delete(report.token);
    report.done();
  }
}

/** Returns one entry per fingerprint. A run was alone only if it is also the only interrupted one. */
function toCrashedRuns(runs: readonly InterruptedRun[]): CrashedRun[] {
  const isOnlyRun = runs.length === 1;
  const byFingerprint = new Map(runs.map((run) => [run.fingerprint, run]));
  return [...byFingerprint.values()].map(({ fingerprint, alone }) => ({
    fingerprint,
    alone: alone && isOnlyRun,
  }));
}
