/** What a leader knows of the other replicas: how far each has the log, and who answered lately. */
import { quorumSize, type Membership, type ReplicaId } from './raft-types.js';

/** State of one follower or learner as its leader sees it. */
export interface PeerProgress {
  /** Newest entry known to be durable there. */
  matchIndex: number;
  /** Next entry to send. */
  nextIndex: number;
  /** Newest heartbeat round that it answered. */
  answeredRound: number;
  /** When it last answered, in ms of the core's clock. */
  lastAnswerMs: number;
  /** When a snapshot was last sent, in ms of the core's clock; null when none is under way. */
  snapshotSentMs: number | null;
}

/** A leader's records of all its peers. */
export class ReplicationProgress {
  private readonly peers = new Map<ReplicaId, PeerProgress>();

  constructor(private readonly self: ReplicaId) {}

  /** Makes the records match the membership: adds newcomers, forgets those removed. */
  update(membership: Membership, lastIndex: number, nowMs: number): void {
    const present = new Set([...membership.voters, ...membership.learners]);
    for (const id of this.peers.keys()) {
      if (!present.has(id)) this.peers.delete(id);
    }
    for (const id of present) {
      if (id === this.self || this.peers.has(id)) continue;
      this.peers.set(id, newPeerProgress(lastIndex, nowMs));
    }
  }

  /** Record of one peer, if it is a member. */
  get(id: ReplicaId): PeerProgress | undefined {
    return this.peers.get(id);
  }

  /** All peers. */
  entries(): IterableIterator<[ReplicaId, PeerProgress]> {
    return this.peers.entries();
  }

  /** Newest index that a quorum of voters holds durably. */
  quorumIndex(membership: Membership, ownIndex: number): number {
    return this.quorumValue(membership, ownIndex, (peer) => peer.matchIndex);
  }

  /** Newest heartbeat round that a quorum of voters answered. */
  quorumRound(membership: Membership, ownRound: number): number {
    return this.quorumValue(membership, ownRound, (peer) => peer.answeredRound);
  }

  /** Whether a quorum of voters, self included, answered since `sinceMs`. */
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
    snapshotSentMs: null,
  };
}
