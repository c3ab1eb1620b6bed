/**
 * Adds a replica that is not a member: the leader removes the voter of the same name whose data folder was lost,
 * adds the new replica as a learner, and promotes it to voter once its durable log has caught up.
 * Each step is a single-server membership change.
 */
import { replicaName, type Membership, type ReplicaId } from './raft-types.js';

/** Maximum number of entries by which a learner may trail the commit index when it is promoted to voter. */
const MAX_LEARNER_LAG_ENTRIES = 16;

/** The leader's state that decides the next membership change for a joining replica. */
export interface JoinView {
  readonly membership: Membership;
  readonly commitIndex: number;
  /** Index of the last entry known to be durable at a replica; null when the replica is not a peer yet. */
  readonly matchIndexOf: (id: ReplicaId) => number | null;
  /** Whether a member has recently answered the leader. */
  readonly isActive: (id: ReplicaId) => boolean;
}

/** Returns the next membership towards making `newcomer` a voter, or null when no change is possible or needed. */
export function nextMembership(newcomer: ReplicaId, view: JoinView): Membership | null {
  const { voters, learners } = view.membership;
  if (voters.includes(newcomer)) return null;
  const previousVoter = voters.find((id) => replicaName(id) === replicaName(newcomer));
  if (previousVoter !== undefined) {
    if (view.isActive(previousVoter)) return null;
    return { voters: voters.filter((id) => id !== previousVoter), learners };
  }
  if (!learners.includes(newcomer))
    return { voters, learners: [...withoutSameName(learners, newcomer), newcomer] };
  const matchIndex = view.matchIndexOf(newcomer);
  if (matchIndex === null || matchIndex < view.commitIndex - MAX_LEARNER_LAG_ENTRIES || matchIndex === 0)
    return null;
  return { voters: [...voters, newcomer], learners: learners.filter((id) => id !== newcomer) };
}

function withoutSameName(learners: readonly ReplicaId[], newcomer: ReplicaId): readonly ReplicaId[] {
  return learners.filter((id) => replicaName(id) !== replicaName(newcomer));
}
