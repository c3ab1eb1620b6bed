/**
 * Data of the replicated log: entries, messages, effects and options.
 * The protocol is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote (9.6),
 * check-quorum (6.2), read-index (6.4), learners and single-server membership change (4.1 to 4.3).
 */

/** Name of a replica and the identity of its data folder, as `name/identity`. */
export type ReplicaId = string;

/** Who takes part in the replicated log. */
export interface Membership {
  /** Replicas that vote and count towards a quorum. */
  readonly voters: readonly ReplicaId[];
  /** Replicas that receive the log but do not vote. */
  readonly learners: readonly ReplicaId[];
}

/** What a log entry carries. */
export type EntryPayload =
  | { readonly kind: 'no-op' }
  | { readonly kind: 'command'; readonly proposalId: string; readonly command: unknown }
  | { readonly kind: 'membership'; readonly membership: Membership };

/** One entry of the replicated log. Indexes start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: EntryPayload;
}

/** What must survive a restart beside the entries. */
export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/** Position of the last entry that a snapshot replaces, and the membership there. */
export interface SnapshotPosition {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
}

/** Everything that a replica reads from its disk when it starts. */
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

/** Asks for a vote; with `preVote` only whether a vote would be given. */
export interface VoteRequest extends MessageBase {
  readonly kind: 'vote-request';
  readonly preVote: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answers a vote request. `term` is the term asked for when granted, the voter's own otherwise. */
export interface VoteAnswer extends MessageBase {
  readonly kind: 'vote-answer';
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Heartbeat and replication. `round` numbers the leader's heartbeats for read-index. */
export interface AppendRequest extends MessageBase {
  readonly kind: 'append-request';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  readonly round: number;
}

/** Answers an append. `matchIndex` is durable at the sender; on failure it is a hint where to go on. */
export interface AppendAnswer extends MessageBase {
  readonly kind: 'append-answer';
  readonly success: boolean;
  readonly matchIndex: number;
  readonly round: number;
}

/** Replaces the receiver's state by a snapshot. */
export interface SnapshotRequest extends MessageBase {
  readonly kind: 'snapshot-request';
  readonly position: SnapshotPosition;
  readonly data: unknown;
  readonly round: number;
}

/** Messages between replicas. */
export type RaftMessage = VoteRequest | VoteAnswer | AppendRequest | AppendAnswer | SnapshotRequest;

/** What the driver must do, in this order: persist and sync first, then everything else. */
export type RaftEffect =
  | { readonly kind: 'persist-hard-state'; readonly hardState: HardState }
  | { readonly kind: 'persist-entries'; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'truncate-log'; readonly fromIndex: number }
  | { readonly kind: 'install-snapshot'; readonly position: SnapshotPosition; readonly data: unknown }
  | { readonly kind: 'send'; readonly message: RaftMessage }
  | { readonly kind: 'send-snapshot'; readonly to: ReplicaId; readonly term: number; readonly round: number }
  | { readonly kind: 'commit'; readonly entries: readonly LogEntry[] }
  | {
      readonly kind: 'role-changed';
      readonly role: RaftRole;
      readonly term: number;
      readonly leader: ReplicaId | null;
    }
  | { readonly kind: 'leadership-confirmed'; readonly requestId: number }
  | { readonly kind: 'proposal-dropped'; readonly proposalId: string; readonly leader: ReplicaId | null };

/** What a replica is doing at present. */
export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** What happens to a replica. */
export type RaftEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: RaftMessage }
  | { readonly kind: 'propose'; readonly proposalId: string; readonly command: unknown }
  | { readonly kind: 'change-membership'; readonly membership: Membership }
  | { readonly kind: 'confirm-leadership'; readonly requestId: number }
  | { readonly kind: 'compacted'; readonly position: SnapshotPosition }
  /** The end of a batch of events: what was appended in it is sent. */
  | { readonly kind: 'flush' };

/** Timing of the protocol, all in ms, and limits. */
export interface RaftOptions {
  /** Pause between two heartbeats of a leader. */
  readonly heartbeatMs: number;
  /** Shortest time without a leader after which a replica stands for election; the longest is twice this. */
  readonly electionTimeoutMs: number;
  /** Most entries in one append. */
  readonly maxEntriesPerAppend: number;
  /** Seed of the election jitter. */
  readonly seed: number;
}

/** Timing that suits machines within a few ms of each other. */
export const DEFAULT_RAFT_OPTIONS: RaftOptions = {
  heartbeatMs: 100,
  electionTimeoutMs: 400,
  maxEntriesPerAppend: 256,
  seed: 1,
};

/** How many of `voters` make a quorum. */
export function quorumSize(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Name part of a replica id. */
export function replicaName(id: ReplicaId): string {
  return id.slice(0, id.lastIndexOf('/'));
}
