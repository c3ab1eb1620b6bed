/** The replicas of one simulated directory: real nodes on virtual time, network and disks, with fault injection. */
import type { ReplicaLimits } from '../../src/consensus/replica-limits.js';
import { DirectoryNode } from '../../src/directory/directory-node.js';
import { DEFAULT_DIRECTORY_TIMING } from '../../src/directory/directory-settings.js';
import { SILENT_EVENT_LOG, type EventLog } from '../../src/telemetry/event-log.js';
import type { Random } from '../random.js';
import type { EventQueue } from './event-queue.js';
import { SimDisk, type SimReplicaStore } from './sim-disk.js';
import { SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';
import { simRuntime } from './sim-runtime.js';

/** Shared secret of all simulated daemons. */
export const SIM_TOKEN = 'simulation-token-0123';

const PORT = 1;
const LEASE_TERM_MS = 9_500;
const NO_DISK_FAULTS = { losesHardState: false, skipsSync: false, reusesIdentity: false } as const;

/** One replica across all its incarnations. */
export interface SimReplica {
  readonly name: string;
  readonly process: SimProcess;
  readonly disk: SimDisk;
  node: DirectoryNode | null;
  store: SimReplicaStore | null;
  /** Whether the machine was removed for good. */
  removed: boolean;
}

/** Faults that can be injected into one replica. */
export type DirectoryFault =
  | 'crash'
  | 'lose-disk'
  | 'freeze'
  /** The machine is suspended, and its steady clock stops. */
  | 'suspend'
  | 'cut'
  /** The other replicas receive nothing from it, while it receives from them. */
  | 'mute'
  /** It receives nothing from the other replicas, while they receive from it. */
  | 'deaf';

/** Number of replicas, and the losses that they tolerate. */
export interface SimDirectorySize {
  readonly replicas: number;
  /** Number of replicas whose addresses every daemon is configured with. */
  readonly seeds: number;
  readonly toleratedLosses: number;
  readonly snapshotEveryEntries: number;
  /** Processor time for writing or reading 1,000 characters of a message, in ms; default 0. */
  readonly workMsPerKilobyte?: number;
  /** Limits in bytes of each replica; those of the usual machine when this is left out. */
  readonly limits?: ReplicaLimits;
  /** See `NetworkOptions`. */
  readonly maxFrameBytes?: number;
}

/** The replicas of one directory, and their network. */
export class SimDirectory {
  readonly replicas: SimReplica[];
  readonly network: SimNetwork;
  private nextIdNumber = 0;

  constructor(
    readonly queue: EventQueue,
    readonly random: Random,
    private readonly size: SimDirectorySize,
    private readonly log: EventLog = SILENT_EVENT_LOG,
  ) {
    this.network = new SimNetwork(random, {
      delayMs: [0.2, 2.5],
      lossShare: 0.01,
      duplicateShare: 0.01,
      maxReorderDelayMs: 4,
      workMsPerKilobyte: size.workMsPerKilobyte ?? 0,
      ...(size.maxFrameBytes === undefined ? {} : { maxFrameBytes: size.maxFrameBytes }),
    });
    this.replicas = Array.from({ length: size.replicas }, (_, at) => this.createReplica(addressOf(at), true));
  }

  /** Replicas whose machines were not removed. */
  get presentReplicas(): readonly SimReplica[] {
    return this.replicas.filter(({ removed }) => !removed);
  }

  /** Addresses that a daemon that starts now is configured with. */
  get seeds(): string[] {
    return this.presentReplicas.slice(0, this.size.seeds).map(({ name }) => name);
  }

  /** Adds a replica at a new address with an empty disk, and starts it. */
  addReplica(): SimReplica {
    const replica = this.createReplica(addressOf(this.replicas.length), false);
    this.replicas.push(replica);
    void this.startReplica(replica);
    return replica;
  }

  /** Ends a replica for good. */
  removeReplica(replica: SimReplica): void {
    this.applyFault('lose-disk', replica);
    replica.removed = true;
  }

  /** Starts all replicas. */
  async start(): Promise<void> {
    for (const replica of this.replicas) await this.startReplica(replica);
  }

  /** Returns the leader of the newest term, or null. */
  leader(): DirectoryNode | null {
    return this.leaderReplica()?.node ?? null;
  }

  /** Returns the replica, with its process, that leads the newest term, or null. */
  leaderReplica(): SimReplica | null {
    const leaders = this.replicas.filter(({ node, process }) => {
      return node?.leading === true && process.alive && !process.frozen;
    });
    const termOf = ({ node }: SimReplica): number => node?.consensus?.core.term ?? 0;
    leaders.sort((left, right) => termOf(right) - termOf(left));
    return leaders[0] ?? null;
  }

  /** Whether every replica is running, is a voter, and holds all committed entries. */
  isFullyReplicated(): boolean {
    const core = this.leader()?.consensus?.core;
    if (core === undefined || core.committedMembership()?.voters.length !== this.replicas.length)
      return false;
    return this.replicas.every(({ process, node }) => {
      const own = node?.consensus?.core;
      const holdsAll = own !== undefined && own.commitIndex >= core.commitIndex;
      return process.alive && holdsAll && core.membership.voters.includes(own.id);
    });
  }

  /** Injects a fault, and repairs it after `lastsMs`. */
  injectFault(fault: DirectoryFault, replica: SimReplica, durationMs: number): void {
    this.applyFault(fault, replica);
    this.queue.at(this.queue.nowMs + durationMs, () => {
      this.repairFault(fault, replica);
    });
  }

  /** Creates a process with clocks of its own. */
  createProcess(name: string): SimProcess {
    const startMs = this.random.below(1_000_000);
    return new SimProcess(name, this.queue, { startMs, rate: 1, wallOffsetMs: 0 });
  }

  /** Returns an identifier that is unique in the simulation. */
  nextId(): string {
    this.nextIdNumber += 1;
    return `id-${this.nextIdNumber}`;
  }

  private applyFault(fault: DirectoryFault, { process, store, disk }: SimReplica): void {
    switch (fault) {
      case 'freeze':
        process.freeze();
        break;
      case 'suspend':
        process.suspend();
        break;
      case 'cut':
        for (const { name } of this.replicas) {
          this.network.cut(process.name, name);
          this.network.cut(name, process.name);
        }
        break;
      case 'mute':
        for (const { name } of this.replicas) this.network.cut(process.name, name);
        break;
      case 'deaf':
        for (const { name } of this.replicas) this.network.cut(name, process.name);
        break;
      default:
        store?.crash();
        process.crash();
        this.network.breakConnectionsOf(process);
        if (fault === 'lose-disk') disk.loseContent();
    }
  }

  private repairFault(fault: DirectoryFault, replica: SimReplica): void {
    if (fault === 'freeze' || fault === 'suspend') replica.process.thaw();
    else if (fault === 'cut' || fault === 'mute' || fault === 'deaf') this.network.healAll();
    // A second fault may have hit the replica while it was down, and its repair may already have restarted it.
    else if (!replica.process.alive && !replica.removed) void this.startReplica(replica);
  }

  private async startReplica(replica: SimReplica): Promise<void> {
    const { name, process, disk } = replica;
    process.start();
    const store = disk.open(process) as SimReplicaStore;
    replica.store = store;
    const listen = { host: name.slice(0, name.indexOf(':')), port: PORT };
    const started = await DirectoryNode.start({
      settings: {
        listen,
        advertised: listen,
        zone: 'zone',
        dataFolder: 'none',
        seeds: this.seeds,
        firstStart: false,
        toleratedLosses: this.size.toleratedLosses,
        leaseTermMs: LEASE_TERM_MS,
        timing: { ...DEFAULT_DIRECTORY_TIMING, snapshotEveryEntries: this.size.snapshotEveryEntries },
      },
      token: SIM_TOKEN,
      runtime: simRuntime(process, this.network, () => this.nextId()),
      storage: store,
      ...(this.size.limits === undefined ? {} : { limits: this.size.limits }),
      log: this.log,
      onFatal: (error) => {
        throw error;
      },
    });
    replica.node = started.unwrap();
  }

  private createReplica(name: string, founding: boolean): SimReplica {
    const disk = new SimDisk(name, () => this.nextId(), this.random, NO_DISK_FAULTS, founding);
    return { name, process: this.createProcess(name), disk, node: null, store: null, removed: false };
  }
}

function addressOf(at: number): string {
  return `10.0.0.${at + 1}:${PORT}`;
}
