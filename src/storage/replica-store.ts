/** What a replica needs of its disk. */
import type {
  DurableState,
  HardState,
  LogEntry,
  Membership,
  SnapshotPosition,
} from '../consensus/raft-types.js';

/** Who a data folder belongs to. */
export interface FolderIdentity {
  /** The replica's name in the settings. */
  readonly name: string;
  /** Random; made once, when the folder was created. */
  readonly identity: string;
  /** Whether the folder was created at the first start of its deployment, so that it may take part in founding it. */
  readonly founding?: boolean;
}

/** Durable state of one replica. Methods are called one at a time, where nothing else is said. */
export interface ReplicaStore {
  readonly owner: FolderIdentity;
  /** What the consensus core starts from. */
  readonly initialState: DurableState;
  /** Content of the snapshot that `initialState` starts from; null before the first. */
  readonly snapshotData: unknown;
  /** Whether the membership of this log is known: it was formed, or a leader has sent its log. */
  readonly formed: boolean;
  /** Bytes of the log. */
  readonly logBytes: number;
  /** Writes the first membership of a new cluster, durably. */
  form(membership: Membership): Promise<void>;
  /** Durably replaces the hard state. */
  saveHardState(hardState: HardState): Promise<void>;
  /** Adds entries; durable after `sync`. */
  append(entries: readonly LogEntry[]): Promise<void>;
  /** Removes entries from `fromIndex` on; durable after `sync`. */
  truncate(fromIndex: number): Promise<void>;
  /** Makes appended and truncated entries durable. */
  sync(): Promise<void>;
  /** Durably writes a snapshot; the log stays as it is. May run beside other calls, but one at a time. */
  writeSnapshot(position: SnapshotPosition, data: unknown): Promise<void>;
  /** Makes a snapshot that was written the present one, and drops the entries that it replaces. */
  adoptSnapshot(position: SnapshotPosition, data: unknown): Promise<void>;
  /** The newest snapshot, for sending to a replica that is far behind. */
  currentSnapshot(): { readonly position: SnapshotPosition; readonly data: unknown };
  /** Closes the files. */
  close(): Promise<void>;
}
