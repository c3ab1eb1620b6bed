/** Injects the troubles of a soak from outside the processes: by signals, on their disks and on the network. */
import { appendFileSync } from 'node:fs';
import { join } from 'node:path';
import { NO_ANSWER_FAULTS, type AnswerFaults, type SoakBackend } from './soak-backend.js';
import { degradeLinks, loseDisk } from './machine-disturbances.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import type { SoakOperator } from './soak-operator.js';
import {
  LIMIT_SOAK_TROUBLES,
  TOLD_LEAVE_SOAK_TROUBLES,
  type SidecarMachine,
  type SignalTroubleKind,
  type SoakTrouble,
  type SoakTroubleKind,
} from './soak-plan.js';
import { SoakSignalTroubles } from './soak-signal-troubles.js';
import { STAND_IN_BOUNDS, type StandInRoute } from '../../platform/stand-in-wire.js';
import { pause } from '../pause.js';
import { Random } from '../random.js';

/** Time in ms for which a directory counts as lost after its restart, so that no two are lost at once. */
const CATCH_UP_MS = 4_000;

const MS_PER_SECOND = 1_000;

/** Delay in ms before a process that ended is restarted. */
const RESTART_MS = 300;

/** Delay in ms before a back end that ended is replaced. */
const REPLACEMENT_MS = 1_000;

/** Extra delay of a slow link, in ms. */
const SLOW_LINK_MS = 120;

/** Time in ms within which silent connections must be detected. */
const SILENCE_DETECTED_MS = 4_500;

/** Shares of lost and corrupted answers, and of lost acknowledgements. */
const LOST_ANSWERS: AnswerFaults = { ...NO_ANSWER_FAULTS, answerLost: 0.1 };
const CORRUPTED_ANSWERS: AnswerFaults = {
  answerLost: 0,
  answerCut: 0.08,
  secondAnswer: 0.08,
  unframed: 0.15,
  unframedWithSecond: 0.05,
  headCut: 0.05,
};
const LOST_ACKNOWLEDGEMENTS = 0.6;

/** Time in ms from the acknowledgement of a leave to the end of its daemon, and for which the back end then keeps serving. */
const DAEMON_END_AFTER_LEAVE_MS = 300;
const SERVING_AFTER_DAEMON_END_MS = 6_000;

/** Time in ms for which an incarnation with late heartbeats runs, and for which its successor is busy when they arrive. */
const EARLIER_LIFE_MS = 700;
const BUSY_MS = 1_500;

/** Times in ms from a leave to the pause of a directory, from there to the end of the daemon, and to its restart. */
const PAUSE_AFTER_LEAVE_MS = 250;
const KILL_AFTER_PAUSE_MS = 150;
const QUICK_RESTART_MS = 100;

/** Delayed calls: their share, and the maximum delay in ms. */
const DELAYED_CALLS = { share: 0.4, maxDelayMs: 8_000 };

/** Minimum and maximum time in ms for which a machine has no power. */
const MIN_OUTAGE_MS = 200;
const MAX_OUTAGE_MS = 900;

/** Bytes of a torn write. */
const TORN_BYTES = Buffer.from([0, 0, 0, 200, 1, 2, 3, 4, 5, 6, 7]);
const LOG_FILE = 'log';

/** Kinds that may affect directories as well as sidecars. */
const ANY_MACHINE: ReadonlySet<SoakTroubleKind> = new Set([
  'cut-one-way',
  'slow-link',
  'reset-connections',
  'silence-connections',
]);

/** Kinds that disturb no machine and no link of the daemons. */
const UNDISTURBING: ReadonlySet<SoakTroubleKind> = new Set([
  'evacuate-zone',
  'ending-request',
  'long-change',
]);

/** Kinds that reserve no machine, so that other troubles of the same machines overlap with them. */
const SIGNAL_KINDS: ReadonlySet<SoakTroubleKind> = new Set([
  ...LIMIT_SOAK_TROUBLES,
  ...TOLD_LEAVE_SOAK_TROUBLES,
]);

/** Minimum number of routes of a long change, and range of the number added by the trouble's choice. */
const MIN_LONG_CHANGE_ROUTES = 200;
const LONG_CHANGE_ROUTES_SPREAD = 1_000;

/** Interval in ms of a request that crashes back ends. */
const CRASHING_REQUEST_INTERVAL_MS = 350;

/** Time in ms for a process to handle the signal that announces a suspension, and factor by which suspensions last longer. */
const SUSPENSION_NOTICE_MS = 60;
const SUSPENSION_FACTOR = 2.5;

/** A trouble that was injected. */
export interface TroubleRecord {
  readonly kind: SoakTroubleKind;
  readonly target: string;
  readonly atMs: number;
  endMs: number;
}

/** Injects troubles and records them. */
export class SoakTroubles {
  readonly records: TroubleRecord[] = [];
  private lostUntilMs = 0;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly signalTroubles: SoakSignalTroubles;

  constructor(
    private readonly fleet: SoakFleet,
    private readonly operator: SoakOperator,
    /** A configured route that added routes are modelled on. */
    private readonly template: StandInRoute,
    /** Sends a request that crashes every back end that runs it; the same choice sends the same request. */
    private readonly sendCrashingRequest: (choice: number) => void,
  ) {
    this.signalTroubles = new SoakSignalTroubles(fleet, {
      killAndRestart: async (machine, downMs) => {
        await this.killAndRestart(machine, downMs);
      },
      freeze: async (machine, durationMs) => {
        await this.freeze(machine, durationMs);
      },
      cut: async (machine, durationMs) => {
        await this.degradeLinks(machine, 'cut-sidecar', durationMs);
      },
    });
  }

  /** Injects a trouble; resolves when it is over. */
  async inject(trouble: SoakTrouble): Promise<void> {
    const { kind } = trouble;
    const machine = this.targetOf(trouble);
    const record = { kind, target: machine?.name ?? 'all', atMs: performance.now(), endMs: Infinity };
    const losesDirectory = targetsDirectories(kind) || kind === 'late-reports';
    if (machine?.troubled === true || (losesDirectory && !this.reserveLoss(trouble))) return;
    this.records.push(record);
    if (machine !== undefined) machine.troubled = true;
    await this.apply(trouble, machine);
    if (machine !== undefined) machine.troubled = false;
    record.endMs = performance.now();
  }

  /** Returns whether planned stops, one of them of this machine, are the only troubles since `quietMs` before `sinceMs`. */
  onlyPlannedStops(machine: string, sinceMs: number, quietMs: number): boolean {
    const recent = this.records.filter(({ endMs }) => endMs > sinceMs - quietMs);
    const stops = recent.filter(({ kind }) => kind === 'stop-sidecar' || kind === 'stop-directory');
    return stops.some(({ target }) => target === machine) && stops.length === recent.length;
  }

  /** Returns whether there has been no disturbance for `ms`; planned work such as an evacuation does not count as one. */
  undisturbedFor(ms: number): boolean {
    const nowMs = performance.now();
    return this.records.every(({ kind, endMs }) => UNDISTURBING.has(kind) || endMs < nowMs - ms);
  }

  /** Returns whether there had been no disturbance for `ms` at a past time. */
  wasUndisturbed(atMs: number, ms: number): boolean {
    return this.records.every((record) => {
      return UNDISTURBING.has(record.kind) || record.atMs > atMs || record.endMs < atMs - ms;
    });
  }

  /** Reserves the loss of a directory; only one is lost at a time, after the previous one has caught up. */
  private reserveLoss({ durationMs }: SoakTrouble): boolean {
    const nowMs = performance.now();
    if (nowMs < this.lostUntilMs) return false;
    this.lostUntilMs = nowMs + durationMs + RESTART_MS + CATCH_UP_MS;
    return true;
  }

  private targetOf({ kind, choice }: SoakTrouble): SoakMachine | undefined {
    const { directories, sidecars } = this.fleet;
    if (kind.endsWith('-leader')) return this.fleet.leader();
    if (kind === 'kill-all-directories' || kind === 'lose-acknowledgements') return undefined;
    if (kind === 'lose-answers' || kind === 'spoil-answers' || UNDISTURBING.has(kind)) return undefined;
    if (kind === 'lose-all-power' || kind === 'hold-up-grants' || isSignalKind(kind)) return undefined;
    const directoriesOnly = targetsDirectories(kind);
    const anyMachine = ANY_MACHINE.has(kind);
    const machines = anyMachine ? [...directories, ...sidecars] : directoriesOnly ? directories : sidecars;
    return machines[choice % machines.length];
  }

  private async apply(trouble: SoakTrouble, machine: SoakMachine | undefined): Promise<void> {
    const { kind, durationMs } = trouble;
    if (isSignalKind(kind)) {
      await this.signalTroubles.inject(kind, trouble);
      return;
    }
    switch (kind) {
      case 'kill-all-directories':
        await Promise.all(
          this.fleet.directories.map(async (directory) => await this.killAndRestart(directory, RESTART_MS)),
        );
        return;
      case 'lose-answers':
      case 'spoil-answers':
        this.fleet.setAnswerFaults(kind === 'lose-answers' ? LOST_ANSWERS : CORRUPTED_ANSWERS);
        await pause(durationMs);
        this.fleet.setAnswerFaults();
        return;
      case 'lose-all-power':
        await this.loseAllPower(trouble);
        return;
      case 'hold-up-grants':
        this.fleet.setDelayedCalls(DELAYED_CALLS);
        await pause(durationMs);
        this.fleet.setDelayedCalls();
        return;
      case 'evacuate-zone':
        await this.evacuate(trouble);
        return;
      case 'ending-request':
        this.repeatCrashingRequest(trouble);
        return;
      case 'long-change':
        await this.operator.changeMany(
          this.template,
          MIN_LONG_CHANGE_ROUTES + (trouble.choice % LONG_CHANGE_ROUTES_SPREAD),
        );
        return;
      case 'lose-acknowledgements':
        this.operator.lostShare = LOST_ACKNOWLEDGEMENTS;
        await pause(durationMs);
        this.operator.lostShare = 0;
        return;
      default:
        if (machine !== undefined) await this.applyTo(machine, trouble);
    }
  }

  /** Repeats the request until the soak is over, so that the undisturbed phase at its end shows whether it is contained. */
  private repeatCrashingRequest({ choice }: SoakTrouble): void {
    this.timers.push(
      setInterval(() => {
        this.sendCrashingRequest(choice);
      }, CRASHING_REQUEST_INTERVAL_MS),
    );
  }

  /** Stops repeating requests. */
  stop(): void {
    for (const timer of this.timers.splice(0)) clearInterval(timer);
  }

  /** Evacuates a zone for longer than the bound, so that there is a time in which no request may arrive. */
  private async evacuate({ choice, durationMs }: SoakTrouble): Promise<void> {
    const zones = [...new Set(this.fleet.plan.sidecars.map(({ zone }) => zone))];
    const zone = zones[choice % zones.length];
    if (zone === undefined) return;
    await this.operator.evacuate(zone, true);
    await pause(STAND_IN_BOUNDS.evacuate_s * MS_PER_SECOND + durationMs);
    await this.operator.evacuate(zone, false);
  }

  private async applyTo(machine: SoakMachine, { kind, durationMs }: SoakTrouble): Promise<void> {
    switch (kind) {
      case 'kill-sidecar':
      case 'kill-directory':
      case 'kill-leader':
        await this.killAndRestart(machine, durationMs);
        break;
      case 'wipe-directory':
        await this.killAndRestart(machine, durationMs, () => {
          loseDisk(machine);
        });
        break;
      case 'tear-log':
        await this.killAndRestart(machine, durationMs, () => {
          tearLog(machine);
        });
        break;
      case 'pause-sidecar':
      case 'pause-directory':
      case 'pause-leader':
        await this.freeze(machine, durationMs);
        break;
      case 'suspend-sidecar':
      case 'suspend-directory':
        await suspend(machine, durationMs * SUSPENSION_FACTOR);
        this.fleet.excuse(machine);
        break;
      case 'stop-sidecar':
      case 'stop-directory':
        await machine.process.stop();
        this.fleet.excuse(machine);
        await pause(RESTART_MS);
        this.fleet.start(machine);
        break;
      case 'crash-back-end':
      case 'leave-back-end':
        await this.replaceBackend(machine, kind);
        break;
      case 'late-heartbeats':
        await this.replaceWithLateHeartbeats(machine, durationMs);
        break;
      case 'late-reports':
        await this.killWithLateReports(machine, durationMs);
        break;
      case 'leave-then-kill':
      case 'goodbye-then-kill':
      case 'leave-then-stop':
        await this.leaveAndEndDaemon(machine, kind);
        break;
      case 'reset-connections':
        this.fleet.network.reset(machine.name);
        break;
      case 'silence-connections':
        this.fleet.network.silence(machine.name);
        await pause(SILENCE_DETECTED_MS);
        break;
      default:
        await this.degradeLinks(machine, kind, durationMs);
    }
  }

  /** Kills every process at once; if no directory was lost recently, one of the directories also loses its disk. */
  private async loseAllPower(trouble: SoakTrouble): Promise<void> {
    const machines = [...this.fleet.directories, ...this.fleet.sidecars].filter(({ troubled }) => !troubled);
    const wiped = this.reserveLoss(trouble)
      ? this.fleet.directories[trouble.choice % this.fleet.directories.length]
      : undefined;
    await Promise.all(
      machines.map(async (machine, at) => {
        machine.troubled = true;
        await this.killAndRestart(machine, outageMs(trouble.choice, at), () => {
          if (machine === wiped) loseDisk(machine);
        });
        machine.troubled = false;
      }),
    );
  }

  private async freeze(machine: SoakMachine, durationMs: number): Promise<void> {
    machine.process.signal('SIGSTOP');
    await pause(durationMs);
    machine.process.signal('SIGCONT');
    this.fleet.excuse(machine);
  }

  private async killAndRestart(machine: SoakMachine, downMs: number, whileDown?: () => void): Promise<void> {
    await machine.process.kill();
    this.fleet.excuse(machine);
    whileDown?.();
    await pause(downMs);
    this.fleet.start(machine);
  }

  private placeOf(machine: SoakMachine): SidecarMachine | undefined {
    return this.fleet.plan.sidecars.find(({ name }) => name === machine.name);
  }

  private async replaceBackend(machine: SoakMachine, kind: SoakTroubleKind): Promise<void> {
    const backend = this.fleet.backends.get(machine.name);
    const place = this.placeOf(machine);
    if (backend === undefined || place === undefined) return;
    if (kind === 'crash-back-end') await backend.crash();
    else await backend.leave();
    await pause(REPLACEMENT_MS);
    await this.fleet.startBackend(place);
  }

  /**
   * Replaces a back end twice. The heartbeats of the incarnation in between arrive while its successor is up and, for a while,
   * too busy for probes.
   */
  private async replaceWithLateHeartbeats(machine: SoakMachine, delayMs: number): Promise<void> {
    const place = this.placeOf(machine);
    if (place === undefined) return;
    await this.fleet.startBackend(place, { holdsHeartbeats: true });
    const earlier = this.fleet.backends.get(machine.name);
    await pause(EARLIER_LIFE_MS);
    await this.fleet.startBackend(place);
    const successor = this.fleet.backends.get(machine.name);
    await pause(delayMs);
    if (successor !== undefined) successor.isTooBusyForProbes = true;
    await earlier?.deliverHeldHeartbeats();
    await pause(BUSY_MS);
    if (successor !== undefined) successor.isTooBusyForProbes = false;
  }

  /**
   * Has a back end leave and kills its daemon while a directory is paused, which may hold the last commands of the daemon and
   * forwards them to the leader when it resumes.
   */
  private async killWithLateReports(machine: SoakMachine, durationMs: number): Promise<void> {
    const { directories, backends } = this.fleet;
    const place = this.placeOf(machine);
    const backend = backends.get(machine.name);
    const directory = directories.find((known) => known !== this.fleet.leader() && !known.troubled);
    if (place === undefined || backend === undefined || directory === undefined) return;
    directory.troubled = true;
    const leaving = backend.leave();
    await pause(PAUSE_AFTER_LEAVE_MS);
    directory.process.signal('SIGSTOP');
    await pause(KILL_AFTER_PAUSE_MS);
    await this.killAndRestart(machine, QUICK_RESTART_MS);
    await pause(durationMs);
    directory.process.signal('SIGCONT');
    directory.troubled = false;
    await leaving;
    if (backends.get(machine.name) === backend) await this.fleet.startBackend(place);
  }

  /**
   * Has all back ends of a service leave, so that no daemon can choose another, and keep serving; the daemon of one of them
   * ends just after the acknowledgement and is restarted at once.
   */
  private async leaveAndEndDaemon(machine: SoakMachine, kind: SoakTroubleKind): Promise<void> {
    const { sidecars } = this.fleet.plan;
    const service = sidecars.find(({ name }) => name === machine.name)?.service;
    const places = sidecars.filter((place) => place.service === service);
    const leaving = places.flatMap(({ name }) => this.fleet.backends.get(name) ?? []);
    const leave = async (backend: SoakBackend): Promise<void> => {
      if (kind === 'goodbye-then-kill') await backend.sayGoodbye();
      else await backend.announceLeave();
    };
    await Promise.all(leaving.map(leave));
    await pause(DAEMON_END_AFTER_LEAVE_MS);
    if (kind === 'leave-then-stop') await machine.process.stop();
    else await machine.process.kill();
    this.fleet.excuse(machine);
    this.fleet.start(machine);
    await pause(SERVING_AFTER_DAEMON_END_MS);
    await Promise.all(leaving.map(async (backend) => await backend.crash()));
    await pause(REPLACEMENT_MS);
    for (const [at, place] of places.entries()) {
      if (this.fleet.backends.get(place.name) === leaving[at]) await this.fleet.startBackend(place);
    }
  }

  private async degradeLinks(machine: SoakMachine, kind: SoakTroubleKind, durationMs: number): Promise<void> {
    const degraded = kind === 'slow-link' ? { delayMs: SLOW_LINK_MS } : { held: true };
    const directions = kind === 'cut-one-way' ? 'outgoing' : 'both';
    const clear = degradeLinks(this.fleet, machine, directions, degraded);
    await pause(durationMs);
    clear();
  }
}

function isSignalKind(kind: SoakTroubleKind): kind is SignalTroubleKind {
  return SIGNAL_KINDS.has(kind);
}

/** Returns the outage of a machine; the order of restarts differs between troubles. */
function outageMs(choice: number, at: number): number {
  const random = new Random(choice + at);
  return MIN_OUTAGE_MS + random.below(MAX_OUTAGE_MS - MIN_OUTAGE_MS);
}

function targetsDirectories(kind: SoakTroubleKind): boolean {
  return kind.endsWith('-directory') || kind.endsWith('-leader') || kind === 'tear-log';
}

async function suspend({ process }: SoakMachine, durationMs: number): Promise<void> {
  process.signal('SIGUSR2');
  await pause(SUSPENSION_NOTICE_MS);
  process.signal('SIGSTOP');
  await pause(durationMs);
  process.signal('SIGCONT');
}

/** Appends an incomplete write to the log, as after a crash during a write. */
function tearLog({ dataFolder }: SoakMachine): void {
  if (dataFolder !== null) appendFileSync(join(dataFolder, LOG_FILE), TORN_BYTES);
}
