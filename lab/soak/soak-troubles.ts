/** Brings about the troubles of a soak, from outside the processes: by signals, on their disks and on the network. */
import { appendFileSync, rmSync, mkdirSync } from 'node:fs';
import { join } from 'node:path';
import type { SoakBackend } from './soak-backend.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import type { SoakOperator } from './soak-operator.js';
import type { SoakTrouble, SoakTroubleKind } from './soak-plan.js';
import { STAND_IN_BOUNDS, type StandInRoute } from '../../platform/stand-in-wire.js';
import { pause } from '../pause.js';
import { Random } from '../random.js';

/** Time in ms for which a directory counts as lost after it came back, so that no two are lost at once. */
const CATCH_UP_MS = 4_000;

const MS_PER_SECOND = 1_000;

/** Pause before a process that ended is started again, in ms. */
const RESTART_MS = 300;

/** Time in ms before a back end that has ended is followed by another. */
const REPLACEMENT_MS = 1_000;

/** Extra delay of a slow link, in ms. */
const SLOW_LINK_MS = 120;

/** Time in ms in which silent connections must be noticed. */
const SILENCE_NOTICED_MS = 4_500;

/** Shares of spoilt answers, and of lost acknowledgements. */
const LOST_ANSWERS = { answerLost: 0.1, answerCut: 0, secondAnswer: 0 };
const SPOILT_ANSWERS = { answerLost: 0, answerCut: 0.08, secondAnswer: 0.08 };
const LOST_ACKNOWLEDGEMENTS = 0.6;

/** Time in ms from the acknowledgement of a leave until its daemon is struck, and for which the back end serves on. */
const STRUCK_AFTER_LEAVE_MS = 300;
const SERVES_ON_AFTER_STRIKE_MS = 6_000;

/** Calls that are held up: their share, and the longest time in ms. */
const HELD_UP = { share: 0.4, latestMs: 8_000 };

/** Shortest and longest time in ms for which a machine has no power. */
const SHORTEST_OUTAGE_MS = 200;
const LONGEST_OUTAGE_MS = 900;

/** Bytes of a write that was torn. */
const TORN_BYTES = Buffer.from([0, 0, 0, 200, 1, 2, 3, 4, 5, 6, 7]);
const LOG_FILE = 'log';

/** Kinds that may strike machines of both sorts. */
const EVERYWHERE: ReadonlySet<SoakTroubleKind> = new Set([
  'cut-one-way',
  'slow-link',
  'reset-connections',
  'silence-connections',
]);

/** Kinds that concern no machine and no link of the daemons. */
const BESIDE_CALM: ReadonlySet<SoakTroubleKind> = new Set(['evacuate-zone', 'ending-request', 'long-change']);

/** Routes of a long change, by the choice of its trouble. */
const FEWEST_ROUTES = 200;
const FURTHER_ROUTES = 1_000;

/** Pause in ms between two comings of a request that ends what runs it. */
const ENDING_EVERY_MS = 350;

/** Time in ms in which a process takes note that its stop is a suspension, and how much longer than others it lasts. */
const ANNOUNCED_MS = 60;
const SUSPENSION_FACTOR = 2.5;

/** A trouble that was brought about. */
export interface TroubleRecord {
  readonly kind: SoakTroubleKind;
  readonly target: string;
  readonly atMs: number;
  endMs: number;
}

/** Brings troubles about. */
export class SoakTroubles {
  readonly records: TroubleRecord[] = [];
  private lostUntilMs = 0;
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(
    private readonly fleet: SoakFleet,
    private readonly operator: SoakOperator,
    /** A route that stands; what is added is like it. */
    private readonly template: StandInRoute,
    /** Sends a request that ends every back end which runs it, the same for the same choice. */
    private readonly sendEnding: (choice: number) => void,
  ) {}

  /** Brings one about; resolves when it is over. */
  async bring(trouble: SoakTrouble): Promise<void> {
    const { kind } = trouble;
    const machine = this.targetOf(trouble);
    const record = { kind, target: machine?.name ?? 'all', atMs: performance.now(), endMs: Infinity };
    if (machine?.troubled === true || (concernsDisks(kind) && !this.takeLoss(trouble))) return;
    this.records.push(record);
    if (machine !== undefined) machine.troubled = true;
    await this.carryOut(trouble, machine);
    if (machine !== undefined) machine.troubled = false;
    record.endMs = performance.now();
  }

  /** Whether the stop of a machine is the only trouble since shortly before `sinceMs`. */
  onlyStops(machine: string, sinceMs: number, quietMs: number): boolean {
    const recent = this.records.filter(({ endMs }) => endMs > sinceMs - quietMs);
    const stops = recent.filter(({ kind }) => kind === 'stop-sidecar' || kind === 'stop-directory');
    return stops.some(({ target }) => target === machine) && stops.length === recent.length;
  }

  /** Whether nothing has been amiss for so long; an evacuation is planned work. */
  calmFor(ms: number): boolean {
    const nowMs = performance.now();
    return this.records.every(({ kind, endMs }) => BESIDE_CALM.has(kind) || endMs < nowMs - ms);
  }

  /** Directories are lost one at a time, and the one before must have caught up. */
  private takeLoss({ forMs }: SoakTrouble): boolean {
    const nowMs = performance.now();
    if (nowMs < this.lostUntilMs) return false;
    this.lostUntilMs = nowMs + forMs + RESTART_MS + CATCH_UP_MS;
    return true;
  }

  private targetOf({ kind, choice }: SoakTrouble): SoakMachine | undefined {
    const { directories, sidecars } = this.fleet;
    if (kind.endsWith('-leader')) return this.fleet.leader();
    if (kind === 'kill-all-directories' || kind === 'lose-acknowledgements') return undefined;
    if (kind === 'lose-answers' || kind === 'spoil-answers' || BESIDE_CALM.has(kind)) return undefined;
    if (kind === 'lose-all-power' || kind === 'hold-up-grants') return undefined;
    const onDisks = concernsDisks(kind);
    const everywhere = EVERYWHERE.has(kind);
    const machines = everywhere ? [...directories, ...sidecars] : onDisks ? directories : sidecars;
    return machines[choice % machines.length];
  }

  private async carryOut(trouble: SoakTrouble, machine: SoakMachine | undefined): Promise<void> {
    const { kind, forMs } = trouble;
    switch (kind) {
      case 'kill-all-directories':
        await Promise.all(
          this.fleet.directories.map(async (directory) => await this.killFor(directory, RESTART_MS)),
        );
        return;
      case 'lose-answers':
      case 'spoil-answers':
        this.fleet.misbehave(kind === 'lose-answers' ? LOST_ANSWERS : SPOILT_ANSWERS);
        await pause(forMs);
        this.fleet.misbehave();
        return;
      case 'lose-all-power':
        await this.loseAllPower(trouble);
        return;
      case 'hold-up-grants':
        this.fleet.holdUpCalls(HELD_UP);
        await pause(forMs);
        this.fleet.holdUpCalls();
        return;
      case 'evacuate-zone':
        await this.evacuate(trouble);
        return;
      case 'ending-request':
        this.keepSendingEnding(trouble);
        return;
      case 'long-change':
        await this.operator.changeMany(this.template, FEWEST_ROUTES + (trouble.choice % FURTHER_ROUTES));
        return;
      case 'lose-acknowledgements':
        this.operator.lostShare = LOST_ACKNOWLEDGEMENTS;
        await pause(forMs);
        this.operator.lostShare = 0;
        return;
      default:
        if (machine !== undefined) await this.carryOutOn(machine, trouble);
    }
  }

  /** Comes until the soak is over, so that the time when all is calm again tells whether it is contained. */
  private keepSendingEnding({ choice }: SoakTrouble): void {
    this.timers.push(
      setInterval(() => {
        this.sendEnding(choice);
      }, ENDING_EVERY_MS),
    );
  }

  /** Brings nothing about any more. */
  stop(): void {
    for (const timer of this.timers.splice(0)) clearInterval(timer);
  }

  /** Longer than the bound, so that there is a time in which nothing may arrive. */
  private async evacuate({ choice, forMs }: SoakTrouble): Promise<void> {
    const zones = [...new Set(this.fleet.plan.sidecars.map(({ zone }) => zone))];
    const zone = zones[choice % zones.length];
    if (zone === undefined) return;
    await this.operator.evacuate(zone, true);
    await pause(STAND_IN_BOUNDS.evacuate_s * MS_PER_SECOND + forMs);
    await this.operator.evacuate(zone, false);
  }

  private async carryOutOn(machine: SoakMachine, { kind, forMs }: SoakTrouble): Promise<void> {
    switch (kind) {
      case 'kill-sidecar':
      case 'kill-directory':
      case 'kill-leader':
        await this.killFor(machine, forMs);
        break;
      case 'wipe-directory':
        await this.killFor(machine, forMs, () => {
          wipe(machine);
        });
        break;
      case 'tear-log':
        await this.killFor(machine, forMs, () => {
          tearLog(machine);
        });
        break;
      case 'pause-sidecar':
      case 'pause-directory':
      case 'pause-leader':
        machine.process.signal('SIGSTOP');
        await pause(forMs);
        machine.process.signal('SIGCONT');
        break;
      case 'suspend-sidecar':
      case 'suspend-directory':
        await suspend(machine, forMs * SUSPENSION_FACTOR);
        break;
      case 'stop-sidecar':
      case 'stop-directory':
        await machine.process.stop();
        await pause(RESTART_MS);
        this.fleet.start(machine);
        break;
      case 'crash-back-end':
      case 'leave-back-end':
        await this.replaceBackend(machine, kind);
        break;
      case 'leave-then-kill':
      case 'goodbye-then-kill':
      case 'leave-then-stop':
        await this.leaveUnder(machine, kind);
        break;
      case 'reset-connections':
        this.fleet.network.reset(machine.name);
        break;
      case 'silence-connections':
        this.fleet.network.silence(machine.name);
        await pause(SILENCE_NOTICED_MS);
        break;
      default:
        await this.harmLinks(machine, kind, forMs);
    }
  }

  /** Every process is killed at one moment; where no disk was lost lately, one of the directories loses its own. */
  private async loseAllPower(trouble: SoakTrouble): Promise<void> {
    const machines = [...this.fleet.directories, ...this.fleet.sidecars].filter(({ troubled }) => !troubled);
    const wiped = this.takeLoss(trouble)
      ? this.fleet.directories[trouble.choice % this.fleet.directories.length]
      : undefined;
    await Promise.all(
      machines.map(async (machine, at) => {
        machine.troubled = true;
        await this.killFor(machine, outageMs(trouble.choice, at), () => {
          if (machine === wiped) wipe(machine);
        });
        machine.troubled = false;
      }),
    );
  }

  private async killFor(machine: SoakMachine, forMs: number, meanwhile?: () => void): Promise<void> {
    await machine.process.kill();
    meanwhile?.();
    await pause(forMs);
    this.fleet.start(machine);
  }

  private async replaceBackend(machine: SoakMachine, kind: SoakTroubleKind): Promise<void> {
    const backend = this.fleet.backends.get(machine.name);
    const place = this.fleet.plan.sidecars.find(({ name }) => name === machine.name);
    if (backend === undefined || place === undefined) return;
    if (kind === 'crash-back-end') await backend.crash();
    else await backend.leave();
    await pause(REPLACEMENT_MS);
    await this.fleet.startBackend(place);
  }

  /**
   * All back ends of a service leave, so that nobody can choose another, and serve on; the daemon of one of them ends just
   * after it has acknowledged that, and is started at once.
   */
  private async leaveUnder(machine: SoakMachine, kind: SoakTroubleKind): Promise<void> {
    const { sidecars } = this.fleet.plan;
    const service = sidecars.find(({ name }) => name === machine.name)?.service;
    const places = sidecars.filter((place) => place.service === service);
    const leaving = places.flatMap(({ name }) => this.fleet.backends.get(name) ?? []);
    const leave = async (backend: SoakBackend): Promise<void> => {
      if (kind === 'goodbye-then-kill') await backend.sayGoodbye();
      else await backend.announceLeave();
    };
    await Promise.all(leaving.map(leave));
    await pause(STRUCK_AFTER_LEAVE_MS);
    if (kind === 'leave-then-stop') await machine.process.stop();
    else await machine.process.kill();
    this.fleet.start(machine);
    await pause(SERVES_ON_AFTER_STRIKE_MS);
    await Promise.all(leaving.map(async (backend) => await backend.crash()));
    await pause(REPLACEMENT_MS);
    for (const [at, place] of places.entries()) {
      if (this.fleet.backends.get(place.name) === leaving[at]) await this.fleet.startBackend(place);
    }
  }

  private async harmLinks(machine: SoakMachine, kind: SoakTroubleKind, forMs: number): Promise<void> {
    const { network, directories, sidecars } = this.fleet;
    const others = [...directories, ...sidecars].filter((other) => other !== machine);
    const harmed = kind === 'slow-link' ? { delayMs: SLOW_LINK_MS } : { held: true };
    const sound = { delayMs: 0, held: false };
    for (const { name } of others) {
      network.set(machine.name, name, harmed);
      if (kind !== 'cut-one-way') network.set(name, machine.name, harmed);
    }
    await pause(forMs);
    for (const { name } of others) {
      network.set(machine.name, name, sound);
      network.set(name, machine.name, sound);
    }
  }
}

/** Machines come back in an order that differs from trouble to trouble. */
function outageMs(choice: number, at: number): number {
  const random = new Random(choice + at);
  return SHORTEST_OUTAGE_MS + random.below(LONGEST_OUTAGE_MS - SHORTEST_OUTAGE_MS);
}

function concernsDisks(kind: SoakTroubleKind): boolean {
  return kind.endsWith('-directory') || kind.endsWith('-leader') || kind === 'tear-log';
}

async function suspend({ process }: SoakMachine, forMs: number): Promise<void> {
  process.signal('SIGUSR2');
  await pause(ANNOUNCED_MS);
  process.signal('SIGSTOP');
  await pause(forMs);
  process.signal('SIGCONT');
}

function wipe({ dataFolder }: SoakMachine): void {
  if (dataFolder === null) return;
  rmSync(dataFolder, { recursive: true, force: true });
  mkdirSync(dataFolder, { recursive: true });
}

/** A write that was under way when the process died: its bytes stand at the end of the log, not whole. */
function tearLog({ dataFolder }: SoakMachine): void {
  if (dataFolder !== null) appendFileSync(join(dataFolder, LOG_FILE), TORN_BYTES);
}
