/**
 * Finds out whether the back end beside this daemon has ended under the runs that broke off, and reports it to the
 * leader until it is recorded there. Callers are answered after that, so that the next coming of the request that did
 * it meets daemons that know.
 */
import type { EndedRun } from './crash-commands.js';
import type { RunNotice, RunRequest } from './crash-messages.js';
import { pause } from '../runtime/pause.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { EventFields } from '../telemetry/event-log.js';
import type { InterruptedRun, InterruptedRuns } from './interrupted-runs.js';

/** Pause between reports of one end that was not acknowledged, in ms: some rounds between replicas. */
const RESEND_MS = 150;

/** Reports of one end; a leader that is away for longer is told by the ends that follow. */
const MOST_REPORTS = 40;

/**
 * Longest time in ms for which answers to broken runs wait for the record: a commit takes some 10 ms, and a caller that
 * comes back a little too early costs one back end.
 */
const LONGEST_HOLD_MS = 200;

/** Time in ms in which the connections of an ended back end break one after the other; 2 ms were seen. */
const SETTLE_MS = 15;

/** Age in ms up to which runs that broke off explain a life that follows without a refused connection in between. */
const LONGEST_SILENCE_MS = 10_000;

/** The life of a back end. */
export interface EndedLife {
  readonly id: string;
  readonly service: string;
  readonly version: string;
}

/** What the reporter needs of its daemon. */
export interface EndReporterPorts {
  readonly runtime: Runtime;
  readonly log: { event(name: string, fields: EventFields): void };
  readonly interrupted: InterruptedRuns;
  /** The life that is beside this daemon now, if it was not leaving. */
  readonly life: () => EndedLife | null;
  /** Asks whether any process listens at the back end's address. */
  readonly listens: () => Promise<boolean>;
  readonly send: (request: RunRequest) => boolean;
}

interface Report {
  readonly token: number;
  readonly life: EndedLife;
  readonly runs: readonly EndedRun[];
  sent: number;
  cancelTimer: CancelTimer;
  readonly done: () => void;
}

/** Reports of one daemon. */
export class EndReporter {
  /** Ends that were found. */
  ends = 0;
  private readonly reports = new Map<number, Report>();
  private nextToken = 1;
  private looking: Promise<void> | null = null;
  private lastEnded: string | null = null;

  constructor(private readonly ports: EndReporterPorts) {}

  /** A run has broken off: resolves once its back end is known to live, or its end is recorded, or after a while. */
  async runBroke(): Promise<void> {
    this.looking ??= this.look();
    const { looking } = this;
    await Promise.race([looking, pause(this.ports.runtime, LONGEST_HOLD_MS)]);
  }

  /** Another life has begun, and no connection to the one before was refused. */
  lifeReplaced(life: EndedLife): void {
    const runs = this.ports.interrupted.take(this.ports.runtime.nowMs() - LONGEST_SILENCE_MS);
    if (runs.length > 0) void this.report(life, runs);
  }

  /** Takes an answer of the leader. */
  receive(notice: RunNotice): void {
    if (notice.kind !== 'end-recorded') return;
    const report = this.reports.get(notice.token);
    if (report !== undefined) this.finish(report);
  }

  /** Reports no more. */
  stop(): void {
    for (const report of [...this.reports.values()]) this.finish(report);
  }

  private async look(): Promise<void> {
    const life = this.ports.life();
    const listens = life === null || (await this.ports.listens());
    if (!listens) await pause(this.ports.runtime, SETTLE_MS);
    this.looking = null;
    if (listens) return;
    const runs = this.ports.interrupted.take(-Infinity);
    if (runs.length > 0) await this.report(life, runs);
  }

  private async report(life: EndedLife, runs: readonly InterruptedRun[]): Promise<void> {
    if (this.lastEnded !== life.id) this.ends += 1;
    this.lastEnded = life.id;
    this.ports.log.event('backend-ended', { instance: life.id, version: life.version, runs });
    const ended = endedRuns(runs);
    await new Promise<void>((resolve) => {
      const token = this.nextToken;
      this.nextToken += 1;
      const report = { token, life, runs: ended, sent: 0, cancelTimer: () => undefined, done: resolve };
      this.reports.set(token, report);
      this.send(report);
    });
  }

  private send(report: Report): void {
    const { token, life, runs } = report;
    if (report.sent >= MOST_REPORTS) {
      this.ports.log.event('end-not-recorded', { instance: life.id });
      this.finish(report);
      return;
    }
    report.sent += 1;
    const { id, service, version } = life;
    this.ports.send({ kind: 'backend-ended', token, life: id, service, version, runs: [...runs] });
    report.cancelTimer = this.ports.runtime.after(RESEND_MS, () => {
      this.send(report);
    });
  }

  private finish(report: Report): void {
    report.cancelTimer();
    this.reports.delete(report.token);
    report.done();
  }
}

/** One entry for each request; one that ran beside another was not alone. */
function endedRuns(runs: readonly InterruptedRun[]): EndedRun[] {
  const isOnly = runs.length === 1;
  const byFingerprint = new Map(runs.map((run) => [run.fingerprint, run]));
  return [...byFingerprint.values()].map(({ fingerprint, alone }) => ({
    fingerprint,
    alone: alone && isOnly,
  }));
}
