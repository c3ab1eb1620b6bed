/** Interface of a replica's durable storage. */
import type {
  DurableState,
  HardState,
  LogEntry,
  Membership,
  SnapshotPosition,
} from '../consensus/raft-types.js';

/** Identity of a data folder and of the replica that owns it. */
export interface FolderIdentity {
  /** The replica's name in the settings. */
  readonly name: string;
  /** Random identifier, generated when the folder is created. */
  readonly identity: string;
  /** Whether the folder was created at the first start of its deployment and may therefore take part in formation. */
  readonly founding?: boolean;
}

/**
 * The latest snapshot, opened for reading while it is sent to a replica. It stays readable when a later snapshot replaces it.
 * Its content is the text of `{ position, data }` as written by `writeText`.
 */
export interface SnapshotSource {
  readonly position: SnapshotPosition;
  /** Length of the content in bytes. */
  readonly bytes: number;
  /** Reads up to `length` bytes of the content from `offset`. */
  read(offset: number, length: number): Promise<Buffer>;
  close(): Promise<void>;
}

/** Durable state of one replica. Calls must not overlap unless a method permits it. */
export interface ReplicaStore {
  readonly owner: FolderIdentity;
  /** Initial state of the consensus core; its log has the commands beyond a limit in bytes as `stored`. */
  readonly initialState: DurableState;
  /** Content of the snapshot in `initialState`; null before the first snapshot. */
  readonly snapshotData: unknown;
  /** Frees the log and the snapshot's content in `initialState` and `snapshotData`, once the replica has taken them over. */
  releaseInitialState(): void;
  /** Whether the membership of the log is known: the cluster was formed here, or a leader has sent its log. */
  readonly formed: boolean;
  /** Size of the log in bytes. */
  readonly logBytes: number;
  /** Size of the latest snapshot in bytes. */
  readonly snapshotBytes: number;
  /** Returns the size in bytes of the log from the latest snapshot up to an entry. */
  logBytesUpTo(index: number): number;
  /** Durably writes the initial membership of a new cluster. */
  form(membership: Membership): Promise<void>;
  /** Durably replaces the hard state. */
  saveHardState(hardState: HardState): Promise<void>;
  /** Appends entries; durable after `sync`. */
  append(entries: readonly LogEntry[]): Promise<void>;
  /** Removes the entry at `fromIndex` and all later entries; durable after `sync`. */
  truncate(fromIndex: number): Promise<void>;
  /** Makes appended and truncated entries durable. */
  sync(): Promise<void>;
  /** Durably writes a snapshot without changing the log. May overlap other calls, but not another `writeSnapshot`. */
  writeSnapshot(position: SnapshotPosition, data: unknown): Promise<void>;
  /** Makes a written snapshot the current one and drops the entries that it contains. */
  adoptSnapshot(position: SnapshotPosition): Promise<void>;
  /** Returns the position of the snapshot that precedes the log. */
  currentSnapshot(): { readonly position: SnapshotPosition };
  /**
   * Reads the entries from `fromIndex` to `toIndex`, both inclusive, with their commands. Entries that are truncated or
   * discarded in the meantime are missing. May overlap other calls.
   */
  readEntries(fromIndex: number, toIndex: number): Promise<readonly LogEntry[]>;
  /** Opens the latest written snapshot for reading. May overlap other calls. */
  openSnapshot(): Promise<SnapshotSource>;
  /** Closes the files. */
  close(): Promise<void>;
}
