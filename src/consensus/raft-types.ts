/**
 * Types of the consensus core: log entries, messages, effects, events and options.
 * The protocol is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote (9.6),
 * check-quorum (6.2), read-index (6.4), learners and single-server membership change (4.1 to 4.3).
 */
import { replicaLimits, type ReplicaLimits } from './replica-limits.js';

/** Replica name and identity of its data folder, as `name/identity`. */
export type ReplicaId = string;

/** Members of the cluster. */
export interface Membership {
  /** Replicas that vote and count towards a quorum. */
  readonly voters: readonly ReplicaId[];
  /** Replicas that receive the log but do not vote. */
  readonly learners: readonly ReplicaId[];
}

/** Payload of a log entry. */
export type EntryPayload =
  | { readonly kind: 'no-op' }
  | { readonly kind: 'command'; readonly proposalId: string; readonly command: unknown }
  | { readonly kind: 'membership'; readonly membership: Membership }
  /** A command that is only on this replica's disk; it took about `bytes` bytes in memory. Never written or sent. */
  | { readonly kind: 'stored'; readonly bytes: number };

/** One entry of the replicated log. Indexes start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: EntryPayload;
}

/** State besides the log that must survive a restart. */
export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/** Position of the last entry contained in a snapshot, and the membership at that position. */
export interface SnapshotPosition {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
}

/** State that a replica loads from disk when it starts. */
export interface DurableState {
  readonly hardState: HardState;
  readonly snapshot: SnapshotPosition;
  readonly entries: readonly LogEntry[];
}

interface MessageBase {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: number;
}

/** Requests a vote; with `preVote` it only asks whether the vote would be granted. */
export interface VoteRequest extends MessageBase {
  readonly kind: 'vote-request';
  readonly preVote: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answer to a vote request. `term` is the requested term when the vote is granted, the voter's own term otherwise. */
export interface VoteAnswer extends MessageBase {
  readonly kind: 'vote-answer';
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Heartbeat and log replication. `round` numbers the leader's heartbeats for read-index. */
export interface AppendRequest extends MessageBase {
  readonly kind: 'append-request';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  readonly round: number;
}

/**
 * Answer to an append request. On success `matchIndex` is the last index known to be durable at the sender; on failure
 * it is a hint for the leader's next index.
 */
export interface AppendAnswer extends MessageBase {
  readonly kind: 'append-answer';
  readonly success: boolean;
  readonly matchIndex: number;
  readonly round: number;
  /** Whether the sender accepts snapshots in parts. Processes of earlier versions leave it out and ignore it. */
  readonly snapshotParts?: boolean;
}

/** Replaces the receiver's state by a snapshot. */
export interface SnapshotRequest extends MessageBase {
  readonly kind: 'snapshot-request';
  readonly position: SnapshotPosition;
  readonly data: unknown;
  readonly round: number;
}

/**
 * One part of a snapshot that is too large for one message. The content of the whole snapshot is the text of
 * `{ position, data }`.
 */
export interface SnapshotPart extends MessageBase {
  readonly kind: 'snapshot-part';
  readonly position: SnapshotPosition;
  /** Place of this part in the whole content, in bytes. */
  readonly offset: number;
  /** Size of the whole content in bytes. */
  readonly totalBytes: number;
  /** The bytes of this part, in base64. */
  readonly content: string;
  readonly round: number;
}

/** Answer to a part of the snapshot at `index`: `offset` is the place of the part that is expected next. */
export interface SnapshotPartAnswer extends MessageBase {
  readonly kind: 'snapshot-part-answer';
  readonly index: number;
  readonly offset: number;
  readonly round: number;
}

/** Messages between replicas. */
export type RaftMessage =
  | VoteRequest
  | VoteAnswer
  | AppendRequest
  | AppendAnswer
  | SnapshotRequest
  | SnapshotPart
  | SnapshotPartAnswer;

/** Reason why a proposal was not appended to the log; `busy` is a leader with too many bytes to commit or to write. */
export type DropReason = 'not-leader' | 'busy';

/** Effects that the driver must carry out, in order: persist and sync first, then all others. */
export type RaftEffect =
  | { readonly kind: 'persist-hard-state'; readonly hardState: HardState }
  | { readonly kind: 'persist-entries'; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'truncate-log'; readonly fromIndex: number }
  | { readonly kind: 'install-snapshot'; readonly position: SnapshotPosition; readonly data: unknown }
  | { readonly kind: 'send'; readonly message: RaftMessage }
  /** Repeated with each heartbeat while the peer needs a snapshot. */
  | { readonly kind: 'send-snapshot'; readonly to: ReplicaId; readonly term: number }
  | { readonly kind: 'snapshot-part-answered'; readonly answer: SnapshotPartAnswer }
  | { readonly kind: 'commit'; readonly entries: readonly LogEntry[] }
  | {
      readonly kind: 'role-changed';
      readonly role: RaftRole;
      readonly term: number;
      readonly leader: ReplicaId | null;
    }
  | { readonly kind: 'leadership-confirmed'; readonly requestId: number }
  | {
      readonly kind: 'proposal-dropped';
      readonly proposalId: string;
      readonly leader: ReplicaId | null;
      readonly reason: DropReason;
    };

/** Role of a replica. */
export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** Input events of a replica. */
export type RaftEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: RaftMessage }
  | { readonly kind: 'propose'; readonly proposalId: string; readonly command: unknown }
  | { readonly kind: 'change-membership'; readonly membership: Membership }
  | { readonly kind: 'confirm-leadership'; readonly requestId: number }
  | { readonly kind: 'compacted'; readonly position: SnapshotPosition }
  /**
   * Drops the oldest commands up to `toIndex` from memory until the others take at most `keepBytes`. They are applied and
   * on this replica's disk.
   */
  | { readonly kind: 'evict'; readonly toIndex: number; readonly keepBytes: number }
  /** End of a batch of events: entries appended in the batch are sent. */
  | { readonly kind: 'flush' };

/** Timing of the protocol, in ms, and its limits. */
export interface RaftOptions {
  /** Interval between two heartbeats of a leader. */
  readonly heartbeatMs: number;
  /** Minimum time without a leader after which a replica starts an election; the maximum is twice this. */
  readonly electionTimeoutMs: number;
  /** Maximum number of entries in one append request. */
  readonly maxEntriesPerAppend: number;
  /** Limits in bytes of the log, of messages and of queues. */
  readonly limits: ReplicaLimits;
  /** Seed of the election jitter. */
  readonly seed: number;
}

/** Default options for machines with a network latency of a few ms between them. */
export const DEFAULT_RAFT_OPTIONS: RaftOptions = {
  heartbeatMs: 100,
  electionTimeoutMs: 400,
  maxEntriesPerAppend: 256,
  limits: replicaLimits(null),
  seed: 1,
};

/** Returns the number of voters that form a quorum. */
export function quorumSize(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Returns the name part of a replica id. */
export function replicaName(id: ReplicaId): string {
  return id.slice(0, id.lastIndexOf('/'));
}
