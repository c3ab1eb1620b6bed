/** A simulated disk of one control replica: synced writes survive a crash; of unsynced ones a prefix may survive. */
import type {
  DurableState,
  HardState,
  LogEntry,
  Membership,
  SnapshotPosition,
} from '../../src/consensus/raft-types.js';
import { entryBytes } from '../../src/consensus/entry-size.js';
import { entriesAfter } from '../../src/storage/replica-storage.js';
import type { FolderIdentity, ReplicaStore, SnapshotSource } from '../../src/storage/replica-store.js';
import { snapshotFromMemory } from '../../src/storage/snapshot-buffer.js';
import type { Random } from '../random.js';
import type { SimProcess } from './sim-process.js';

interface DiskContent {
  owner: FolderIdentity;
  hardState: HardState;
  position: SnapshotPosition;
  data: unknown;
  entries: readonly LogEntry[];
}

/** Defects of a disk that stand for a missing guard, to prove that the guard is needed. */
export interface DiskFaults {
  /** Votes and terms are not synced: a crash restores the previous hard state. */
  readonly losesHardState: boolean;
  /** `sync` returns without syncing. */
  readonly skipsSync: boolean;
  /** A lost disk is replaced under its old identity. */
  readonly reusesIdentity: boolean;
}

const NO_MEMBERSHIP: Membership = { voters: [], learners: [] };
const EMPTY_POSITION: SnapshotPosition = { index: 0, term: 0, membership: NO_MEMBERSHIP };
const MIN_SYNC_MS = 0.2;
const MAX_SYNC_MS = 4;
const READ_MS = 1;

/** Number of commands that a disk with a small limit returns at a start; later ones are `stored`. */
const CACHED_COMMANDS = 2;

/** One disk, across all incarnations of its replica. */
export class SimDisk {
  private durable: DiskContent;
  private previousHardState: HardState;
  private nextSyncStallMs = 0;
  private full = false;
  /** Whether a start reads only a few commands into memory. It follows from the first drawn delay, so that no other draw changes. */
  private storesCommands: boolean | null = null;

  constructor(
    private readonly replica: string,
    private readonly nextId: () => string,
    private readonly random: Random,
    private readonly faults: DiskFaults,
    /** Whether the folder is created at the first start of its deployment. */
    founding = false,
  ) {
    this.durable = this.emptyContent();
    if (founding) this.durable.owner = { ...this.durable.owner, founding };
    this.previousHardState = this.durable.hardState;
  }

  /** Index of the last entry that is durable. */
  get lastIndex(): number {
    return this.durable.entries.at(-1)?.index ?? this.durable.position.index;
  }

  /** Loses the folder; the next incarnation starts with a new one. */
  loseContent(): void {
    const { identity } = this.durable.owner;
    this.durable = this.emptyContent();
    if (this.faults.reusesIdentity) this.durable.owner = { name: this.replica, identity };
    this.previousHardState = this.durable.hardState;
  }

  /** Opens the disk for a new incarnation. */
  open(process: SimProcess): ReplicaStore {
    if (this.faults.losesHardState) this.durable.hardState = this.previousHardState;
    const cachedCommands = this.storesCommands === true ? CACHED_COMMANDS : Infinity;
    return new SimReplicaStore(process, this.durable, this, this.faults, cachedCommands);
  }

  /** Delays the next sync by `ms`, as on a stalling disk. */
  stallNextSync(ms: number): void {
    this.nextSyncStallMs = ms;
  }

  /** Makes the disk refuse every write, or accept writes again. */
  setFull(full: boolean): void {
    this.full = full;
  }

  /** Throws the error of a full disk while the disk is full. */
  checkSpace(): void {
    if (this.full) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
  }

  /** Records the previous hard state, which a disk that does not sync votes reverts to at a crash. */
  recordPreviousHardState(previous: HardState): void {
    this.previousHardState = previous;
  }

  /** Duration of the next sync, in ms. */
  syncMs(): number {
    const { nextSyncStallMs } = this;
    this.nextSyncStallMs = 0;
    const fraction = this.random.fraction();
    this.storesCommands ??= fraction < 0.5;
    return nextSyncStallMs + MIN_SYNC_MS + fraction * (MAX_SYNC_MS - MIN_SYNC_MS);
  }

  /** Draws how many of `count` unsynced writes have reached the disk at a crash. */
  survivingWrites(count: number): number {
    return count === 0 ? 0 : this.random.below(count + 1);
  }

  private emptyContent(): DiskContent {
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

/** The store that one incarnation of the replica uses. */
export class SimReplicaStore implements ReplicaStore {
  readonly owner: FolderIdentity;
  readonly logBytes = 0;
  readonly snapshotBytes = 0;
  private unsyncedWrites: Write[] = [];
  private entries: readonly LogEntry[];
  private adoptedSnapshot: { readonly position: SnapshotPosition };

  constructor(
    private readonly process: SimProcess,
    private readonly content: DiskContent,
    private readonly disk: SimDisk,
    private readonly faults: DiskFaults,
    private readonly cachedCommands: number,
  ) {
    this.owner = content.owner;
    this.entries = content.entries;
    this.adoptedSnapshot = { position: content.position };
  }

  /** See `ReplicaStore`. */
  get initialState(): DurableState {
    const { hardState, position: snapshot, entries } = this.content;
    return { hardState, snapshot, entries: withStoredCommands(entries, this.cachedCommands) };
  }

  /** See `ReplicaStore`. */
  get snapshotData(): unknown {
    return this.content.data;
  }

  /** See `ReplicaStore`. */
  releaseInitialState(): void {
    // The content stands for files.
  }

  /** See `ReplicaStore`. */
  logBytesUpTo(index: number): number {
    const upTo = this.entries.filter((entry) => entry.index <= index);
    return upTo.reduce((bytes, entry) => bytes + entryBytes(entry), 0);
  }

  /** See `ReplicaStore`. */
  get formed(): boolean {
    return this.adoptedSnapshot.position.membership.voters.length > 0 || this.entries.length > 0;
  }

  /** See `ReplicaStore`. */
  async form(membership: Membership): Promise<void> {
    const position = { index: 0, term: 0, membership };
    await this.writeSnapshot(position, null);
    await this.adoptSnapshot(position);
  }

  /** See `ReplicaStore`. */
  async saveHardState(hardState: HardState): Promise<void> {
    this.disk.checkSpace();
    await this.waitForDisk();
    this.disk.recordPreviousHardState(this.content.hardState);
    this.content.hardState = hardState;
  }

  /** See `ReplicaStore`. */
  async append(entries: readonly LogEntry[]): Promise<void> {
    this.disk.checkSpace();
    await this.write((present) => [...present, ...entries]);
  }

  /** See `ReplicaStore`. */
  truncate(fromIndex: number): Promise<void> {
    return this.write((present) => present.filter((entry) => entry.index < fromIndex));
  }

  /** See `ReplicaStore`. */
  async sync(): Promise<void> {
    if (this.faults.skipsSync) return;
    const writes = this.unsyncedWrites.length;
    await this.waitForDisk();
    this.apply(writes);
  }

  /** See `ReplicaStore`. */
  async writeSnapshot(position: SnapshotPosition, data: unknown): Promise<void> {
    this.disk.checkSpace();
    await this.waitForDisk();
    this.content.position = position;
    this.content.data = data;
    // Opening the disk after a crash skips the entries that the snapshot covers.
    this.content.entries = entriesAfter(position, this.content.entries);
  }

  /** See `ReplicaStore`. */
  async adoptSnapshot(position: SnapshotPosition): Promise<void> {
    this.disk.checkSpace();
    await this.waitForDisk();
    this.entries = entriesAfter(position, this.entries);
    this.adoptedSnapshot = { position };
  }

  /** See `ReplicaStore`. */
  currentSnapshot(): { readonly position: SnapshotPosition } {
    return this.adoptedSnapshot;
  }

  /** See `ReplicaStore`. */
  async readEntries(fromIndex: number, toIndex: number): Promise<readonly LogEntry[]> {
    await new Promise<void>((resolve) => {
      this.process.schedule(READ_MS, resolve);
    });
    return this.entries.filter(({ index }) => index >= fromIndex && index <= toIndex);
  }

  /** See `ReplicaStore`. */
  openSnapshot(): Promise<SnapshotSource> {
    const { position, data } = this.content;
    return Promise.resolve(snapshotFromMemory(position, data));
  }

  /** See `ReplicaStore`. */
  async close(): Promise<void> {
    await Promise.resolve();
  }

  /** Applies a crash of the process: a prefix of the unsynced writes has reached the disk. */
  crash(): void {
    this.apply(this.disk.survivingWrites(this.unsyncedWrites.length));
    this.unsyncedWrites = [];
  }

  /** Drops all unsynced writes. */
  dropUnsynced(): void {
    this.unsyncedWrites = [];
  }

  private write(write: Write): Promise<void> {
    this.unsyncedWrites.push(write);
    this.entries = write(this.entries);
    return Promise.resolve();
  }

  private apply(writes: number): void {
    for (const write of this.unsyncedWrites.splice(0, writes))
      this.content.entries = write(this.content.entries);
  }

  private async waitForDisk(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.process.schedule(this.disk.syncMs(), resolve);
    });
  }
}

function withStoredCommands(entries: readonly LogEntry[], cachedCommands: number): readonly LogEntry[] {
  let commands = 0;
  return entries.map((entry) => {
    if (entry.payload.kind !== 'command') return entry;
    commands += 1;
    return commands <= cachedCommands
      ? entry
      : { ...entry, payload: { kind: 'stored', bytes: entryBytes(entry) } };
  });
}
