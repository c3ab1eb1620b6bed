/** Admission of new members on the leader: stores join requests and proposes the next membership change for one. */
import { nextMembership } from '../consensus/join-core.js';
import type { Replica } from '../consensus/replica.js';
import { replicaName, type ReplicaId } from '../consensus/raft-types.js';

/** Replicas that requested to become members. */
export class MembershipAdmission {
  private readonly candidates = new Map<string, ReplicaId>();

  constructor(
    /** Time in ms without an answer after which a member counts as inactive. */
    private readonly inactivityTimeoutMs: number,
  ) {}

  /** Stores the request of a replica to become a member. */
  request(id: ReplicaId): void {
    this.candidates.set(replicaName(id), id);
  }

  /** Submits the next membership change of the first candidate for which one is possible. */
  submitNextChange(replica: Replica, nowMs: number): void {
    const { core } = replica;
    for (const [name, id] of this.candidates) {
      if (core.membership.voters.includes(id)) this.candidates.delete(name);
      const membership = nextMembership(id, {
        membership: core.membership,
        commitIndex: core.commitIndex,
        matchIndexOf: (peer) => core.peerProgress(peer)?.matchIndex ?? null,
        isActive: (peer) => this.isActive(replica, peer, nowMs),
      });
      if (membership === null) continue;
      replica.submit({ kind: 'change-membership', membership });
      return;
    }
  }

  private isActive(replica: Replica, peer: ReplicaId, nowMs: number): boolean {
    const lastAnswerMs = replica.core.peerProgress(peer)?.lastAnswerMs ?? -Infinity;
    return peer === replica.id || nowMs - lastAnswerMs < this.inactivityTimeoutMs;
  }
}
