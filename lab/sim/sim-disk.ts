/** A simulated disk of one control replica: only synced bytes survive a crash; an unsynced tail may in part. */
import type {
  DurableState,
  HardState,
  LogEntry,
  Membership,
  SnapshotPosition,
} from '../../src/consensus/raft-types.js';
import { entriesAfter } from '../../src/storage/replica-storage.js';
import type { FolderIdentity, ReplicaStore } from '../../src/storage/replica-store.js';
import type { Random } from '../random.js';
import type { SimProcess } from './sim-process.js';

interface Content {
  owner: FolderIdentity;
  hardState: HardState;
  position: SnapshotPosition;
  data: unknown;
  entries: readonly LogEntry[];
}

/** What a disk does worse than it should, for proving that the guard against it is needed. */
export interface DiskFaults {
  /** Votes and terms are not synced: a crash brings the last but one back. */
  readonly forgetsHardState: boolean;
  /** `sync` returns without syncing. */
  readonly skipsSync: boolean;
  /** A lost disk comes back under its old identity. */
  readonly keepsIdentity: boolean;
}

const NO_MEMBERSHIP: Membership = { voters: [], learners: [] };
const EMPTY_POSITION: SnapshotPosition = { index: 0, term: 0, membership: NO_MEMBERSHIP };
const SHORTEST_SYNC_MS = 0.2;
const LONGEST_SYNC_MS = 4;

/** One disk, over all lives of its replica. */
export class SimDisk {
  private durable: Content;
  private earlierHardState: HardState;
  private stallMs = 0;

  constructor(
    private readonly replica: string,
    private readonly nextId: () => string,
    private readonly random: Random,
    private readonly faults: DiskFaults,
    /** Whether the folder is made at the first start of its deployment. */
    founding = false,
  ) {
    this.durable = this.emptyContent();
    if (founding) this.durable.owner = { ...this.durable.owner, founding };
    this.earlierHardState = this.durable.hardState;
  }

  /** The folder is lost; the next life starts with a new one. */
  lose(): void {
    const { identity } = this.durable.owner;
    this.durable = this.emptyContent();
    if (this.faults.keepsIdentity) this.durable.owner = { name: this.replica, identity };
    this.earlierHardState = this.durable.hardState;
  }

  /** Opens the disk for a new life. */
  open(process: SimProcess): ReplicaStore {
    if (this.faults.forgetsHardState) this.durable.hardState = this.earlierHardState;
    return new SimReplicaStore(process, this.durable, this, this.faults);
  }

  /** The next access takes so long, as on a disk that stalls. */
  stallFor(ms: number): void {
    this.stallMs = ms;
  }

  /** Remembers the hard state that a forgetful disk goes back to. */
  hardStateReplaced(earlier: HardState): void {
    this.earlierHardState = earlier;
  }

  /** Time that a sync takes, in ms. */
  syncMs(): number {
    const { stallMs } = this;
    this.stallMs = 0;
    return stallMs + SHORTEST_SYNC_MS + this.random.fraction() * (LONGEST_SYNC_MS - SHORTEST_SYNC_MS);
  }

  /** How many of `count` unsynced writes have reached the disk at a crash. */
  survivingWrites(count: number): number {
    return count === 0 ? 0 : this.random.below(count + 1);
  }

  private emptyContent(): Content {
    return {
      owner: { name: this.replica, identity: this.nextId() },
      hardState: { term: 0, votedFor: null },
      position: EMPTY_POSITION,
      data: null,
      entries: [],
    };
  }
}

type Write = (entries: readonly LogEntry[]) => readonly LogEntry[];

/** The disk as one life of the replica sees it. */
export class SimReplicaStore implements ReplicaStore {
  readonly owner: FolderIdentity;
  readonly logBytes = 0;
  private unsynced: Write[] = [];
  private entries: readonly LogEntry[];
  private adopted: { readonly position: SnapshotPosition; readonly data: unknown };

  constructor(
    private readonly process: SimProcess,
    private readonly content: Content,
    private readonly disk: SimDisk,
    private readonly faults: DiskFaults,
  ) {
    this.owner = content.owner;
    this.entries = content.entries;
    this.adopted = { position: content.position, data: content.data };
  }

  /** See `ReplicaStore`. */
  get initialState(): DurableState {
    const { hardState, position: snapshot, entries } = this.content;
    return { hardState, snapshot, entries };
  }

  /** See `ReplicaStore`. */
  get snapshotData(): unknown {
    return this.content.data;
  }

  /** See `ReplicaStore`. */
  get formed(): boolean {
    return this.adopted.position.membership.voters.length > 0 || this.entries.length > 0;
  }

  /** See `ReplicaStore`. */
  async form(membership: Membership): Promise<void> {
    const position = { index: 0, term: 0, membership };
    await this.writeSnapshot(position, null);
    await this.adoptSnapshot(position, null);
  }

  /** See `ReplicaStore`. */
  async saveHardState(hardState: HardState): Promise<void> {
    await this.wait();
    this.disk.hardStateReplaced(this.content.hardState);
    this.content.hardState = hardState;
  }

  /** See `ReplicaStore`. */
  append(entries: readonly LogEntry[]): Promise<void> {
    return this.write((present) => [...present, ...entries]);
  }

  /** See `ReplicaStore`. */
  truncate(fromIndex: number): Promise<void> {
    return this.write((present) => present.filter((entry) => entry.index < fromIndex));
  }

  /** See `ReplicaStore`. */
  async sync(): Promise<void> {
    if (this.faults.skipsSync) return;
    const writes = this.unsynced.length;
    await this.wait();
    this.apply(writes);
  }

  /** See `ReplicaStore`. */
  async writeSnapshot(position: SnapshotPosition, data: unknown): Promise<void> {
    await this.wait();
    this.content.position = position;
    this.content.data = data;
    // Who opens the disk after a crash leaves out the entries that the snapshot has.
    this.content.entries = entriesAfter(position, this.content.entries);
  }

  /** See `ReplicaStore`. */
  async adoptSnapshot(position: SnapshotPosition, data: unknown): Promise<void> {
    await this.wait();
    this.entries = entriesAfter(position, this.entries);
    this.adopted = { position, data };
  }

  /** See `ReplicaStore`. */
  currentSnapshot(): { readonly position: SnapshotPosition; readonly data: unknown } {
    return this.adopted;
  }

  /** See `ReplicaStore`. */
  async close(): Promise<void> {
    await Promise.resolve();
  }

  /** The process has crashed: some of the unsynced writes, in order, have reached the disk. */
  crash(): void {
    this.apply(this.disk.survivingWrites(this.unsynced.length));
    this.unsynced = [];
  }

  private write(write: Write): Promise<void> {
    this.unsynced.push(write);
    this.entries = write(this.entries);
    return Promise.resolve();
  }

  private apply(writes: number): void {
    for (const write of this.unsynced.splice(0, writes)) this.content.entries = write(this.content.entries);
  }

  private async wait(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.process.schedule(this.disk.syncMs(), resolve);
    });
  }
}
