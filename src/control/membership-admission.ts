/** The leader's part in making newcomers members: remembers who asked and takes the next step for one of them. */
import { nextMembership } from '../consensus/join-core.js';
import type { Replica } from '../consensus/replica.js';
import { replicaName, type ReplicaId } from '../consensus/raft-types.js';

/** Replicas that asked to become members. */
export class MembershipAdmission {
  private readonly candidates = new Map<string, ReplicaId>();

  constructor(
    /** Time in ms without an answer after which a member counts as gone. */
    private readonly inactiveMs: number,
  ) {}

  /** A replica asks to become a member. */
  request(id: ReplicaId): void {
    this.candidates.set(replicaName(id), id);
  }

  /** Takes the next step for the first candidate that there is one for. */
  advance(replica: Replica, nowMs: number): void {
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
    const answeredMs = replica.core.peerProgress(peer)?.lastAnswerMs ?? -Infinity;
    return peer === replica.id || nowMs - answeredMs < this.inactiveMs;
  }
}
