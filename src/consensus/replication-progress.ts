/** Replication progress that a leader tracks for its peers: what they hold, what is on its way, and their last answer. */
import { quorumSize, type Membership, type ReplicaId } from './raft-types.js';

/**
 * How a leader sends its log to a peer. `probe`: the logs are not known to agree, so that messages carry no entries.
 * `replicate`: they agree up to the match index; entries are sent up to a limit in bytes. `snapshot`: the peer lacks entries
 * that the leader has discarded.
 */
export type ReplicationMode = 'probe' | 'replicate' | 'snapshot';

/** An append request with entries that the peer has not acknowledged. */
export interface SentBatch {
  readonly lastIndex: number;
  readonly bytes: number;
  /** Heartbeat round in which it was sent. */
  readonly round: number;
}

/** Progress of one follower or learner as seen by the leader. */
export interface PeerProgress {
  /** Index of the last entry known to be durable at the peer. */
  matchIndex: number;
  /** Index of the next entry to send; while probing, the entry before it is the one that the peer is asked for. */
  nextIndex: number;
  /** Latest heartbeat round that the peer answered. */
  answeredRound: number;
  /** Time of the peer's last answer, in ms of the core's clock. */
  lastAnswerMs: number;
  mode: ReplicationMode;
  /** Whether a message has been sent to the peer in this term. */
  contacted: boolean;
  /**
   * Whether the peer accepts snapshots in parts, which processes of earlier versions do not; null until it has answered in
   * this term.
   */
  acceptsSnapshotParts: boolean | null;
  /** Batches on their way to the peer, oldest first. */
  inFlight: SentBatch[];
}

/** Returns the bytes on their way to a peer. */
export function inFlightBytes(peer: Readonly<PeerProgress>): number {
  return peer.inFlight.reduce((bytes, batch) => bytes + batch.bytes, 0);
}

/** Progress of all peers of a leader. */
export class ReplicationProgress {
  private readonly peers = new Map<ReplicaId, PeerProgress>();

  constructor(private readonly self: ReplicaId) {}

  /** Matches the tracked peers to the membership: adds new members, removes those that left. */
  update(membership: Membership, lastIndex: number, nowMs: number): void {
    const memberIds = new Set([...membership.voters, ...membership.learners]);
    for (const id of this.peers.keys()) {
      if (!memberIds.has(id)) this.peers.delete(id);
    }
    for (const id of memberIds) {
      if (id === this.self || this.peers.has(id)) continue;
      this.peers.set(id, newPeerProgress(lastIndex, nowMs));
    }
  }

  /** Returns the progress of one peer, or undefined when it is not a member. */
  get(id: ReplicaId): PeerProgress | undefined {
    return this.peers.get(id);
  }

  /** Returns the progress of all peers. */
  entries(): IterableIterator<[ReplicaId, PeerProgress]> {
    return this.peers.entries();
  }

  /** Returns the highest index that is durable at a quorum of voters. */
  quorumIndex(membership: Membership, ownIndex: number): number {
    return this.quorumValue(membership, ownIndex, (peer) => peer.matchIndex);
  }

  /** Returns the latest heartbeat round that a quorum of voters answered. */
  quorumRound(membership: Membership, ownRound: number): number {
    return this.quorumValue(membership, ownRound, (peer) => peer.answeredRound);
  }

  /** Returns whether a quorum of voters, including this replica, has answered since `sinceMs`. */
  quorumActiveSince(membership: Membership, sinceMs: number): boolean {
    const active = membership.voters.filter(
      (id) => id === this.self || (this.peers.get(id)?.lastAnswerMs ?? -Infinity) >= sinceMs,
    );
    return active.length >= quorumSize(membership);
  }

  private quorumValue(membership: Membership, own: number, read: (peer: PeerProgress) => number): number {
    const values = membership.voters.map((id) => this.valueOf(id, own, read));
    values.sort((left, right) => right - left);
    return values[quorumSize(membership) - 1] ?? 0;
  }

  private valueOf(id: ReplicaId, own: number, read: (peer: PeerProgress) => number): number {
    if (id === this.self) return own;
    const peer = this.peers.get(id);
    return peer === undefined ? 0 : read(peer);
  }
}

function newPeerProgress(lastIndex: number, nowMs: number): PeerProgress {
  return {
    matchIndex: 0,
    nextIndex: lastIndex + 1,
    answeredRound: 0,
    lastAnswerMs: nowMs,
    mode: 'probe',
    contacted: false,
    acceptsSnapshotParts: null,
    inFlight: [],
  };
}
