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
import { Err, Ok, type Result } from '../result.js';
import {
  createFolder,
  readIfPresent,
  readSingleRecord,
  replaceFile,
  replaceFileSync,
} from './durable-file.js';
import { LogFile } from './log-file.js';
import type { CorruptionError } from './record-file.js';
import type { FolderIdentity, ReplicaStore, SnapshotSource } from './replica-store.js';
import { snapshotFromMemory } from './snapshot-buffer.js';

const IDENTITY_FILE = 'identity';
const HARD_STATE_FILE = 'hard-state';
const SNAPSHOT_FILE = 'snapshot';
const LOG_FILE = 'log';

/** Reason why a data folder cannot be opened. */
export type StorageError =
  CorruptionError | { readonly kind: 'wrong-owner'; readonly folder: string; readonly detail: string };

interface SnapshotFileContent {
  readonly position: SnapshotPosition;
  readonly data: unknown;
}

/** Snapshot position of a new folder without a log. */
const EMPTY_POSITION: SnapshotPosition = { index: 0, term: 0, membership: { voters: [], learners: [] } };

/** An open data folder. */
export class ReplicaStorage implements ReplicaStore {
  private constructor(
    private readonly folder: string,
    readonly owner: FolderIdentity,
    private readonly log: LogFile,
    private durable: DurableState,
    private data: unknown,
    private retained: LogEntry[],
  ) {}

  /** Opens the folder; creates it with a new identity when it does not exist. */
  static async open(
    folder: string,
    name: string,
    founding = false,
  ): Promise<Result<ReplicaStorage, StorageError>> {
    await createFolder(folder);
    const identity = await readSingleRecord(join(folder, IDENTITY_FILE));
    if (identity.err) return identity;
    if (identity.val === null) await createFiles(folder, name, founding);
    return await openExisting(folder, name, (owner, log, durable, data, retained) => {
      return new ReplicaStorage(folder, owner, log, durable, data, retained);
    });
  }

  /** Initial state of the consensus core. */
  get initialState(): DurableState {
    return this.durable;
  }

  /** Content of the snapshot in `initialState`; null before the first snapshot. */
  get snapshotData(): unknown {
    return this.data;
  }

  /** Whether the membership of the log is known: the cluster was formed here, or a leader has sent its log. */
  get formed(): boolean {
    return this.durable.snapshot.membership.voters.length > 0 || this.retained.length > 0;
  }

  /** Size of the log file in bytes. */
  get logBytes(): number {
    return this.log.bytes;
  }

  /** Durably writes the initial membership of a new cluster. */
  async form(membership: Membership): Promise<void> {
    const position = { index: 0, term: 0, membership };
    await this.writeSnapshot(position, null);
    await this.adoptSnapshot(position, null);
  }

  /** Durably replaces the hard state. */
  saveHardState(hardState: HardState): Promise<void> {
    replaceFileSync(join(this.folder, HARD_STATE_FILE), hardState);
    this.durable = { ...this.durable, hardState };
    return Promise.resolve();
  }

  /** Appends entries; durable after `sync`. */
  async append(entries: readonly LogEntry[]): Promise<void> {
    await this.log.append(entries);
    this.retained.push(...entries);
  }

  /** Removes the entry at `fromIndex` and all later entries; durable after `sync`. */
  async truncate(fromIndex: number): Promise<void> {
    await this.log.truncate(fromIndex);
    this.retained = this.retained.filter((entry) => entry.index < fromIndex);
  }

  /** Makes appended and truncated entries durable. */
  async sync(): Promise<void> {
    await this.log.sync();
  }

  /** See `ReplicaStore`. */
  async writeSnapshot(position: SnapshotPosition, data: unknown): Promise<void> {
    const content: SnapshotFileContent = { position, data };
    await replaceFile(join(this.folder, SNAPSHOT_FILE), content);
  }

  /** See `ReplicaStore`. After a crash before this call the log still has entries of the snapshot; `open` drops them. */
  async adoptSnapshot(position: SnapshotPosition, data: unknown): Promise<void> {
    const remaining = entriesAfter(position, this.retained);
    if (remaining.length !== this.retained.length) await this.log.rewrite(remaining);
    this.retained = remaining;
    this.durable = { ...this.durable, snapshot: position, entries: remaining };
    this.data = data;
  }

  /** Returns the latest snapshot, to send to a replica that lacks discarded entries. */
  currentSnapshot(): { readonly position: SnapshotPosition; readonly data: unknown } {
    return { position: this.durable.snapshot, data: this.data };
  }

  /** See `ReplicaStore`. */
  readEntries(fromIndex: number, toIndex: number): Promise<readonly LogEntry[]> {
    return Promise.resolve(this.retained.filter(({ index }) => index >= fromIndex && index <= toIndex));
  }

  /** See `ReplicaStore`. */
  openSnapshot(): Promise<SnapshotSource> {
    return Promise.resolve(snapshotFromMemory(this.durable.snapshot, this.data));
  }

  /** Closes the files. */
  async close(): Promise<void> {
    await this.log.close();
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

type StorageFactory = (
  owner: FolderIdentity,
  log: LogFile,
  durable: DurableState,
  data: unknown,
  retained: LogEntry[],
) => ReplicaStorage;

async function openExisting(
  folder: string,
  name: string,
  create: StorageFactory,
): Promise<Result<ReplicaStorage, StorageError>> {
  const identity = await readRequired(join(folder, IDENTITY_FILE));
  if (identity.err) return identity;
  const owner = identity.val as FolderIdentity;
  if (owner.name !== name) {
    const detail = `the folder belongs to replica ${owner.name}, not to ${name}`;
    return Err({ kind: 'wrong-owner', folder, detail });
  }
  const hardState = await readRequired(join(folder, HARD_STATE_FILE));
  if (hardState.err) return hardState;
  const snapshot = await readRequired(join(folder, SNAPSHOT_FILE));
  if (snapshot.err) return snapshot;
  const logPath = join(folder, LOG_FILE);
  if ((await readIfPresent(logPath)) === null) return Err(missingFile(logPath));
  const log = await LogFile.open(logPath);
  if (log.err) return log;
  const { position, data } = snapshot.val as SnapshotFileContent;
  const retained = entriesAfter(position, log.val.entries);
  if (retained.length !== log.val.entries.length) await log.val.file.rewrite(retained);
  const hasGap = retained[0] !== undefined && retained[0].index !== position.index + 1;
  if (hasGap) return Err({ kind: 'corrupt-file', file: logPath, offset: 0, detail: 'entries are missing' });
  const durable = { hardState: hardState.val as HardState, snapshot: position, entries: retained };
  return Ok(create(owner, log.val.file, durable, data, [...retained]));
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
