/**
 * Random faults, concurrent with moves of keys, after which processes, replicas or all of them resume with outdated
 * knowledge of the owners of keys.
 */
import type { KeyRange } from '../../../src/directory/directory-state.js';
import { incarnationName } from '../../../src/model/backend-incarnation.js';
import type { Random } from '../../random.js';
import type { SimReplica } from '../sim-directory.js';
import type { FleetMachine } from './fleet-machine.js';
import type { FleetWorld } from './fleet-world.js';

/** Mean intervals between moves of keys, and between faults, in ms. */
const MEAN_MOVE_INTERVAL_MS = 250;
const MEAN_FAULT_INTERVAL_MS = 600;

/** Fraction of calls delayed during a `calls-held-up` fault, and the maximum delay in ms until they take effect. */
const DELAYED_CALL_PROBABILITY = 0.4;
const MAX_CALL_DELAY_MS = 12_000;

/** A range of durations in ms to draw from. */
interface DurationRange {
  readonly minMs: number;
  readonly maxMs: number;
}

const CALL_DELAY_DURATION: DurationRange = { minMs: 500, maxMs: 3_000 };
const POWER_LOSS_DURATION: DurationRange = { minMs: 300, maxMs: 900 };
const DAEMON_DOWNTIME: DurationRange = { minMs: 20, maxMs: 1_200 };
const REPLICA_DOWNTIME: DurationRange = { minMs: 300, maxMs: 1_500 };
const DISK_STALL_DURATION: DurationRange = { minMs: 200, maxMs: 1_800 };
const CUT_DURATION: DurationRange = { minMs: 200, maxMs: 1_500 };
const HEARTBEAT_LATENCY: DurationRange = { minMs: 300, maxMs: 2_000 };
const EARLIER_LIFE_DURATION: DurationRange = { minMs: 50, maxMs: 900 };
const HEARTBEAT_CUT_DURATION: DurationRange = { minMs: 500, maxMs: 8_000 };
const REPORT_DELAY: DurationRange = { minMs: 30, maxMs: 600 };
const SUSPENSION_DURATION: DurationRange = { minMs: 800, maxMs: 4_000 };

/** How back ends may answer probes while late heartbeats arrive. */
const PROBE_ANSWERS = ['answered', 'busy', 'unanswered'] as const;

/** A kind of fault. */
export type KeyFaultKind = keyof typeof FAULTS;

type InjectFault = (faults: KeyFaults) => void;

const FAULTS = {
  'calls-held-up': (faults) => {
    faults.delayCalls();
  },
  'power-lost': (faults) => {
    faults.losePower();
  },
  'daemon-killed': (faults) => {
    faults.killDaemon();
  },
  'replica-killed': (faults) => {
    faults.injectReplicaFault('crash', REPLICA_DOWNTIME);
  },
  'replica-cut': (faults) => {
    faults.injectReplicaFault('cut', CUT_DURATION);
  },
  'replica-mute': (faults) => {
    faults.injectReplicaFault('mute', CUT_DURATION);
  },
  'disk-lost': (faults) => {
    faults.loseDisk();
  },
  'disk-stalled': (faults) => {
    faults.stallDisk();
  },
  'daemon-mute': (faults) => {
    faults.cutDaemonOneWay('mute');
  },
  'daemon-deaf': (faults) => {
    faults.cutDaemonOneWay('deaf');
  },
  'back-end-ended': (faults) => {
    faults.machine().endBackend();
  },
  'back-end-reborn': (faults) => {
    faults.restartBackend();
  },
  'heartbeats-of-an-earlier-incarnation': (faults) => {
    faults.delayHeartbeatsOfEarlierIncarnation();
  },
  'heartbeats-cut': (faults) => {
    faults.cutHeartbeats();
  },
  'reports-of-an-earlier-process': (faults) => {
    faults.delayReportsOfEarlierProcess();
  },
  'grant-mode-changed': (faults) => {
    faults.changeGrantMode();
  },
} as const satisfies Record<string, InjectFault>;

/** All kinds of faults. */
export const KEY_FAULT_KINDS = Object.keys(FAULTS) as readonly KeyFaultKind[];

/** Injects faults into the keyed service of a fleet. */
export class KeyFaults {
  /** Injected faults with their times, in order. */
  readonly injected: string[] = [];

  constructor(
    private readonly world: FleetWorld,
    private readonly service: string,
    private readonly random: Random,
    private readonly kinds: readonly KeyFaultKind[] = KEY_FAULT_KINDS,
  ) {}

  /** Moves keys and injects faults until `untilMs`. */
  start(untilMs: number): void {
    this.repeat(MEAN_MOVE_INTERVAL_MS, untilMs, () => {
      this.moveKeys();
    });
    this.repeat(MEAN_FAULT_INTERVAL_MS, untilMs, () => {
      const kind = this.random.pick(this.kinds);
      this.injected.push(`${Math.round(this.world.queue.nowMs)} ${kind}`);
      FAULTS[kind](this);
    });
  }

  // ---- faults

  /** Picks a machine of the service. */
  machine(): FleetMachine {
    return this.random.pick(this.world.machines.filter(({ service }) => service.name === this.service));
  }

  /** Delays calls to one back end for a while. */
  delayCalls(): void {
    const machine = this.machine();
    machine.callDelayMs = () => {
      return this.random.fraction() < DELAYED_CALL_PROBABILITY ? this.random.below(MAX_CALL_DELAY_MS) : null;
    };
    this.runLater(CALL_DELAY_DURATION, () => {
      machine.callDelayMs = () => null;
    });
  }

  /** Crashes all replicas and daemons at once. */
  losePower(): void {
    this.world.losePower(() => this.drawDurationMs(POWER_LOSS_DURATION));
  }

  /** Kills a daemon and restarts it. */
  killDaemon(): void {
    const machine = this.machine();
    if (machine.node === null) return;
    machine.crash();
    this.runLater(DAEMON_DOWNTIME, () => {
      if (machine.node === null) void machine.start();
    });
  }

  /** Injects a fault into a replica. */
  injectReplicaFault(fault: 'crash' | 'cut' | 'mute', duration: DurationRange): void {
    this.world.directory.injectFault(fault, this.replica(), this.drawDurationMs(duration));
  }

  /** Makes a replica lose its disk, if all replicas hold all committed entries: one loss at a time is tolerated. */
  loseDisk(): void {
    const { directory } = this.world;
    if (directory.isFullyReplicated())
      directory.injectFault('lose-disk', this.replica(), this.drawDurationMs(REPLICA_DOWNTIME));
  }

  /** Stalls the disk of a replica. */
  stallDisk(): void {
    this.replica().disk.stallNextSync(this.drawDurationMs(DISK_STALL_DURATION));
  }

  /** Cuts the connection between a daemon and the replicas in one direction. */
  cutDaemonOneWay(direction: 'mute' | 'deaf'): void {
    const machine = this.machine();
    if (direction === 'mute') this.world.blockSendingToDirectory(machine);
    else this.world.blockReceivingFromDirectory(machine);
    this.runLater(CUT_DURATION, () => {
      this.world.heal();
    });
  }

  /** Restarts a back end at once, with a late first heartbeat of the new incarnation. */
  restartBackend(): void {
    const machine = this.machine();
    machine.delayNextHeartbeat(this.drawDurationMs(HEARTBEAT_LATENCY));
    machine.restartBackend();
  }

  /**
   * Starts an incarnation whose heartbeats are held back, replaces it, and delivers them while its successor may be too busy to
   * answer a probe.
   */
  delayHeartbeatsOfEarlierIncarnation(): void {
    const machine = this.machine();
    if (machine.backend === null || machine.holdsHeartbeats) return;
    machine.restartBackend({ holdsHeartbeats: true });
    this.runLater(EARLIER_LIFE_DURATION, () => {
      machine.restartBackend();
    });
    this.runLater(HEARTBEAT_CUT_DURATION, () => {
      machine.probes = this.random.pick(PROBE_ANSWERS);
      machine.deliverHeldHeartbeats();
      this.runLater(HEARTBEAT_LATENCY, () => {
        machine.probes = 'answered';
      });
    });
  }

  /** Holds back the heartbeats of a back end that keeps running. */
  cutHeartbeats(): void {
    const machine = this.machine();
    if (machine.backend === null || machine.holdsHeartbeats) return;
    machine.holdHeartbeats();
    this.runLater(HEARTBEAT_CUT_DURATION, () => {
      machine.deliverHeldHeartbeats();
    });
  }

  /** Suspends a replica and kills a daemon whose last commands it may hold; it forwards them when it resumes. */
  delayReportsOfEarlierProcess(): void {
    const machine = this.machine();
    const durationMs = this.drawDurationMs(SUSPENSION_DURATION);
    this.world.directory.injectFault('suspend', this.replica(), durationMs);
    this.runLater(REPORT_DELAY, () => {
      if (machine.node === null) return;
      machine.crash();
      this.runLater(DAEMON_DOWNTIME, () => {
        if (machine.node === null) void machine.start();
      });
    });
  }

  /** Sets a randomly drawn grant mode. */
  changeGrantMode(): void {
    this.world.changeGrantMode(this.service, this.random.below(2) === 0 ? 'heartbeat' : 'invoke');
  }

  // ---- random choices

  private moveKeys(): void {
    const range = this.randomOwnedRange();
    const target = this.machine().backend;
    if (range === null || target === null) return;
    const from = range.from + this.random.below(range.to - range.from + 1);
    const to = from + this.random.below(range.to - from + 1);
    this.world.beginMove(this.service, from, to, incarnationName(target));
  }

  private randomOwnedRange(): KeyRange | null {
    const ranges = this.world.directory.leader()?.state.ranges.get(this.service) ?? [];
    const owned = ranges.filter(({ owner, movingTo }) => owner !== null && movingTo === null);
    return owned.length === 0 ? null : this.random.pick(owned);
  }

  private replica(): SimReplica {
    return this.random.pick(this.world.directory.replicas);
  }

  private drawDurationMs({ minMs, maxMs }: DurationRange): number {
    return minMs + this.random.below(maxMs - minMs);
  }

  private runLater(delay: DurationRange, run: () => void): void {
    const { queue } = this.world;
    queue.at(queue.nowMs + this.drawDurationMs(delay), run);
  }

  private repeat(meanIntervalMs: number, untilMs: number, run: () => void): void {
    const { queue } = this.world;
    const next = (): void => {
      if (queue.nowMs >= untilMs) return;
      run();
      queue.at(queue.nowMs + this.random.exponential(meanIntervalMs), next);
    };
    next();
  }
}
