/**
 * Data folder of a control replica: identity, hard state, snapshot and log.
 * The identity is unique to the folder: a replica whose folder was lost gets a new identity and must join again.
 */
import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import type {
  DurableState,
  HardState,
  LogEntry,
  Membership,
  SnapshotPosition,
} from '../consensus/raft-types.js';
import { replicaLimits } from '../consensus/replica-limits.js';
import { Err, Ok, type Result } from '../result.js';
import { createFolder, exists, readSingleRecord, replaceFile, replaceFileSync } from './durable-file.js';
import { LogFile } from './log-file.js';
import type { CorruptionError } from './record-file.js';
import type { FolderIdentity, ReplicaStore, SnapshotSource } from './replica-store.js';
import { SnapshotFile, type SnapshotFileContent } from './snapshot-file.js';

const IDENTITY_FILE = 'identity';
const HARD_STATE_FILE = 'hard-state';
const SNAPSHOT_FILE = 'snapshot';
const LOG_FILE = 'log';

/** Reason why a data folder cannot be opened. */
export type StorageError =
  CorruptionError | { readonly kind: 'wrong-owner'; readonly folder: string; readonly detail: string };

/** Snapshot position of a new folder without a log. */
const EMPTY_POSITION: SnapshotPosition = { index: 0, term: 0, membership: { voters: [], learners: [] } };

/** Options of a data folder. */
export interface StorageOptions {
  /** Size in bytes of the log's commands that are read into memory at a start. */
  readonly cachedLogBytes?: number;
}

/** What the replica takes over at its start. */
interface InitialContent {
  readonly entries: readonly LogEntry[];
  readonly data: unknown;
}

/** An open data folder. */
export class ReplicaStorage implements ReplicaStore {
  private constructor(
    private readonly folder: string,
    readonly owner: FolderIdentity,
    private readonly log: LogFile,
    private snapshotFile: SnapshotFile,
    private position: SnapshotPosition,
    private hardState: HardState,
    private initial: InitialContent,
  ) {}

  /** Opens the folder; creates it with a new identity when it does not exist. */
  static async open(
    folder: string,
    name: string,
    founding = false,
    { cachedLogBytes = replicaLimits(null).cachedLogBytes }: StorageOptions = {},
  ): Promise<Result<ReplicaStorage, StorageError>> {
    await createFolder(folder);
    const identity = await readSingleRecord(join(folder, IDENTITY_FILE));
    if (identity.err) return identity;
    if (identity.val === null) await createFiles(folder, name, founding);
    const files = await openFiles(folder, name, cachedLogBytes);
    if (files.err) return files;
    const { owner, log, snapshotFile, position, hardState, initial } = files.val;
    return Ok(new ReplicaStorage(folder, owner, log, snapshotFile, position, hardState, initial));
  }

  /** See `ReplicaStore`. */
  get initialState(): DurableState {
    return { hardState: this.hardState, snapshot: this.position, entries: this.initial.entries };
  }

  /** See `ReplicaStore`. */
  get snapshotData(): unknown {
    return this.initial.data;
  }

  /** See `ReplicaStore`. */
  releaseInitialState(): void {
    this.initial = { entries: [], data: null };
  }

  /** Whether the membership of the log is known: the cluster was formed here, or a leader has sent its log. */
  get formed(): boolean {
    return this.position.membership.voters.length > 0 || this.log.count > 0;
  }

  /** Size of the log file in bytes. */
  get logBytes(): number {
    return this.log.bytes;
  }

  /** Size of the snapshot in bytes. */
  get snapshotBytes(): number {
    return this.snapshotFile.bytes;
  }

  /** See `ReplicaStore`. */
  logBytesUpTo(index: number): number {
    return this.log.bytesUpTo(index);
  }

  /** Durably writes the initial membership of a new cluster. */
  async form(membership: Membership): Promise<void> {
    const position = { index: 0, term: 0, membership };
    await this.writeSnapshot(position, null);
    await this.adoptSnapshot(position);
  }

  /** Durably replaces the hard state. */
  saveHardState(hardState: HardState): Promise<void> {
    replaceFileSync(join(this.folder, HARD_STATE_FILE), hardState);
    this.hardState = hardState;
    return Promise.resolve();
  }

  /** Appends entries; durable after `sync`. */
  async append(entries: readonly LogEntry[]): Promise<void> {
    await this.log.append(entries);
  }

  /** Removes the entry at `fromIndex` and all later entries; durable after `sync`. */
  async truncate(fromIndex: number): Promise<void> {
    await this.log.truncate(fromIndex);
  }

  /** Makes appended and truncated entries durable. */
  async sync(): Promise<void> {
    await this.log.sync();
  }

  /** See `ReplicaStore`. */
  async writeSnapshot(position: SnapshotPosition, data: unknown): Promise<void> {
    const previous = this.snapshotFile;
    this.snapshotFile = await SnapshotFile.write(join(this.folder, SNAPSHOT_FILE), { position, data });
    await previous.release();
  }

  /** See `ReplicaStore`. After a crash before this call the log still has entries of the snapshot; `open` drops them. */
  async adoptSnapshot(position: SnapshotPosition): Promise<void> {
    // The position comes first: whoever misses an entry of the log finds that the snapshot contains it.
    this.position = position;
    await this.log.discard(position);
  }

  /** See `ReplicaStore`. */
  currentSnapshot(): { readonly position: SnapshotPosition } {
    return { position: this.position };
  }

  /** See `ReplicaStore`. */
  async readEntries(fromIndex: number, toIndex: number): Promise<readonly LogEntry[]> {
    return await this.log.readEntries(fromIndex, toIndex);
  }

  /** See `ReplicaStore`. */
  openSnapshot(): Promise<SnapshotSource> {
    return Promise.resolve(this.snapshotFile.source());
  }

  /** Closes the files. */
  async close(): Promise<void> {
    await this.log.close();
    await this.snapshotFile.release();
  }
}

/** Creates all files of a new folder. The identity is written last: its presence implies that the others exist. */
async function createFiles(folder: string, name: string, founding: boolean): Promise<void> {
  const hardState: HardState = { term: 0, votedFor: null };
  const content: SnapshotFileContent = { position: EMPTY_POSITION, data: null };
  await replaceFile(join(folder, HARD_STATE_FILE), hardState);
  await replaceFile(join(folder, SNAPSHOT_FILE), content);
  const log = await LogFile.open(join(folder, LOG_FILE));
  if (log.ok) await log.val.file.close();
  const owner: FolderIdentity = { name, identity: randomUUID(), founding };
  await replaceFile(join(folder, IDENTITY_FILE), owner);
}

interface OpenFiles {
  readonly owner: FolderIdentity;
  readonly log: LogFile;
  readonly snapshotFile: SnapshotFile;
  readonly position: SnapshotPosition;
  readonly hardState: HardState;
  readonly initial: InitialContent;
}

async function openFiles(
  folder: string,
  name: string,
  cachedBytes: number,
): Promise<Result<OpenFiles, StorageError>> {
  const identity = await readRequired(join(folder, IDENTITY_FILE));
  if (identity.err) return identity;
  const owner = identity.val as FolderIdentity;
  if (owner.name !== name) {
    const detail = `the folder belongs to replica ${owner.name}, not to ${name}`;
    return Err({ kind: 'wrong-owner', folder, detail });
  }
  const hardState = await readRequired(join(folder, HARD_STATE_FILE));
  if (hardState.err) return hardState;
  const snapshotPath = join(folder, SNAPSHOT_FILE);
  const snapshot = await readRequired(snapshotPath);
  if (snapshot.err) return snapshot;
  const { position, data } = snapshot.val as SnapshotFileContent;
  const logPath = join(folder, LOG_FILE);
  if (!(await exists(logPath))) return Err(missingFile(logPath));
  const log = await LogFile.open(logPath, { snapshot: position, cachedBytes });
  if (log.err) return log;
  const { file, entries } = log.val;
  await file.discard(position);
  const snapshotFile = await SnapshotFile.open(snapshotPath, position);
  const initial = { entries, data };
  return Ok({ owner, log: file, snapshotFile, position, hardState: hardState.val as HardState, initial });
}

async function readRequired(file: string): Promise<Result<unknown, CorruptionError>> {
  const content = await readSingleRecord(file);
  if (content.ok && content.val === null) return Err(missingFile(file));
  return content;
}

function missingFile(file: string): CorruptionError {
  return { kind: 'corrupt-file', file, offset: 0, detail: 'the file is missing' };
}

/**
 * Returns the entries to keep after a snapshot: those that follow it, provided that the log agrees with the snapshot
 * at its position (Raft 5.1). A log that disagrees is stale and is discarded as a whole.
 */
export function entriesAfter(position: SnapshotPosition, entries: readonly LogEntry[]): LogEntry[] {
  const atPosition = entries.find((entry) => entry.index === position.index);
  const first = entries[0];
  const follows = first?.index === position.index + 1;
  const agrees = atPosition?.term === position.term || follows;
  return agrees ? entries.filter((entry) => entry.index > position.index) : [];
}
