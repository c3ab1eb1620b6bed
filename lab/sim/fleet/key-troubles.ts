/**
 * Troubles that bring processes, replicas or all of them back with older knowledge of who owns which keys, drawn at random
 * beside moves of keys.
 */
import type { KeyRange } from '../../../src/directory/directory-state.js';
import { incarnationName } from '../../../src/model/backend-life.js';
import type { Random } from '../../random.js';
import type { SimReplica } from '../sim-directory.js';
import type { FleetMachine } from './fleet-machine.js';
import type { FleetWorld } from './fleet-world.js';

/** Mean pauses between moves of keys, and between troubles, in ms. */
const MOVE_EVERY_MS = 250;
const TROUBLE_EVERY_MS = 600;

/** Share of the calls that are held up while calls are, and within which time in ms they are carried out. */
const HELD_UP_SHARE = 0.4;
const LATEST_CALL_MS = 12_000;

/** A span of time in ms to draw from. */
interface Span {
  readonly shortestMs: number;
  readonly longestMs: number;
}

const HELD_UP_FOR: Span = { shortestMs: 500, longestMs: 3_000 };
const POWER_LOST_FOR: Span = { shortestMs: 300, longestMs: 900 };
const DAEMON_DOWN_FOR: Span = { shortestMs: 20, longestMs: 1_200 };
const REPLICA_DOWN_FOR: Span = { shortestMs: 300, longestMs: 1_500 };
const DISK_STALLS_FOR: Span = { shortestMs: 200, longestMs: 1_800 };
const CUT_FOR: Span = { shortestMs: 200, longestMs: 1_500 };
const HEARTBEAT_LATE_BY: Span = { shortestMs: 300, longestMs: 2_000 };

/** A kind of trouble. */
export type KeyTroubleKind = keyof typeof TROUBLES;

type Bring = (troubles: KeyTroubles) => void;

const TROUBLES = {
  'calls-held-up': (troubles) => {
    troubles.holdUpCalls();
  },
  'power-lost': (troubles) => {
    troubles.losePower();
  },
  'daemon-killed': (troubles) => {
    troubles.killDaemon();
  },
  'replica-killed': (troubles) => {
    troubles.strikeReplica('crash', REPLICA_DOWN_FOR);
  },
  'replica-cut': (troubles) => {
    troubles.strikeReplica('cut', CUT_FOR);
  },
  'replica-mute': (troubles) => {
    troubles.strikeReplica('mute', CUT_FOR);
  },
  'disk-lost': (troubles) => {
    troubles.loseDisk();
  },
  'disk-stalled': (troubles) => {
    troubles.stallDisk();
  },
  'daemon-mute': (troubles) => {
    troubles.cutDaemon('mute');
  },
  'daemon-deaf': (troubles) => {
    troubles.cutDaemon('deaf');
  },
  'back-end-ended': (troubles) => {
    troubles.machine().endBackend();
  },
  'back-end-reborn': (troubles) => {
    troubles.rebear();
  },
  'grant-mode-changed': (troubles) => {
    troubles.changeGrantMode();
  },
} as const satisfies Record<string, Bring>;

/** All kinds. */
export const KEY_TROUBLES = Object.keys(TROUBLES) as readonly KeyTroubleKind[];

/** Brings troubles to the keyed service of a fleet. */
export class KeyTroubles {
  /** What was brought, in order. */
  readonly brought: string[] = [];

  constructor(
    private readonly world: FleetWorld,
    private readonly service: string,
    private readonly random: Random,
    private readonly kinds: readonly KeyTroubleKind[] = KEY_TROUBLES,
  ) {}

  /** Moves keys and brings troubles until a time. */
  start(untilMs: number): void {
    this.repeat(MOVE_EVERY_MS, untilMs, () => {
      this.move();
    });
    this.repeat(TROUBLE_EVERY_MS, untilMs, () => {
      const kind = this.random.pick(this.kinds);
      this.brought.push(`${Math.round(this.world.queue.nowMs)} ${kind}`);
      TROUBLES[kind](this);
    });
  }

  // ---- what the kinds do

  /** A machine of the service. */
  machine(): FleetMachine {
    return this.random.pick(this.world.machines.filter(({ service }) => service.name === this.service));
  }

  /** Calls to one back end are held up for a while. */
  holdUpCalls(): void {
    const machine = this.machine();
    machine.heldUpMs = () => {
      return this.random.fraction() < HELD_UP_SHARE ? this.random.below(LATEST_CALL_MS) : null;
    };
    this.later(HELD_UP_FOR, () => {
      machine.heldUpMs = () => null;
    });
  }

  /** All replicas and daemons lose power. */
  losePower(): void {
    this.world.losePower(() => this.draw(POWER_LOST_FOR));
  }

  /** A daemon is killed, and is back. */
  killDaemon(): void {
    const machine = this.machine();
    if (machine.node === null) return;
    machine.crash();
    this.later(DAEMON_DOWN_FOR, () => {
      if (machine.node === null) void machine.start();
    });
  }

  /** A fault strikes a replica. */
  strikeReplica(fault: 'crash' | 'cut' | 'mute', span: Span): void {
    this.world.directory.strike(fault, this.replica(), this.draw(span));
  }

  /** A replica loses its disk, where every other one holds all that is committed: one loss at a time is tolerated. */
  loseDisk(): void {
    const { directory } = this.world;
    if (directory.isWhole()) directory.strike('lose-disk', this.replica(), this.draw(REPLICA_DOWN_FOR));
  }

  /** A disk answers late. */
  stallDisk(): void {
    this.replica().disk.stallFor(this.draw(DISK_STALLS_FOR));
  }

  /** A daemon and the replicas hear each other in one direction only. */
  cutDaemon(how: 'mute' | 'deaf'): void {
    const machine = this.machine();
    if (how === 'mute') this.world.muteToDirectory(machine);
    else this.world.deafenToDirectory(machine);
    this.later(CUT_FOR, () => {
      this.world.heal();
    });
  }

  /** A back end ends and begins again at once, and tells so late. */
  rebear(): void {
    const machine = this.machine();
    machine.delayNextHeartbeat(this.draw(HEARTBEAT_LATE_BY));
    machine.restartBackend();
  }

  /** Keys are granted the other way from now on. */
  changeGrantMode(): void {
    this.world.changeGrantMode(this.service, this.random.below(2) === 0 ? 'heartbeat' : 'invoke');
  }

  // ---- drawing

  private move(): void {
    const range = this.ownedRange();
    const target = this.machine().backend;
    if (range === null || target === null) return;
    const from = range.from + this.random.below(range.to - range.from + 1);
    const to = from + this.random.below(range.to - from + 1);
    this.world.beginMove(this.service, from, to, incarnationName(target));
  }

  private ownedRange(): KeyRange | null {
    const ranges = this.world.directory.leader()?.state.ranges.get(this.service) ?? [];
    const owned = ranges.filter(({ owner, movingTo }) => owner !== null && movingTo === null);
    return owned.length === 0 ? null : this.random.pick(owned);
  }

  private replica(): SimReplica {
    return this.random.pick(this.world.directory.replicas);
  }

  private draw({ shortestMs, longestMs }: Span): number {
    return shortestMs + this.random.below(longestMs - shortestMs);
  }

  private later(span: Span, run: () => void): void {
    const { queue } = this.world;
    queue.at(queue.nowMs + this.draw(span), run);
  }

  private repeat(everyMs: number, untilMs: number, run: () => void): void {
    const { queue } = this.world;
    const next = (): void => {
      if (queue.nowMs >= untilMs) return;
      run();
      queue.at(queue.nowMs + this.random.exponential(everyMs), next);
    };
    next();
  }
}
