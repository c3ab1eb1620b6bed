/**
 * How a replica that is not a member becomes one: the leader removes the voter of the same name whose
 * folder was lost, adds the newcomer as a learner, and makes it a voter once it holds the log durably.
 * Each step is one single-server change.
 */
import { replicaName, type Membership, type ReplicaId } from './raft-types.js';

/** Entries that a learner may lack when it is made a voter. */
const CAUGHT_UP_ENTRIES = 16;

/** What the leader knows when it considers a newcomer. */
export interface JoinView {
  readonly membership: Membership;
  readonly commitIndex: number;
  /** Newest entry that is durable at the newcomer; null when it is not yet a peer. */
  readonly matchIndexOf: (id: ReplicaId) => number | null;
  /** Whether a member has answered the leader lately. */
  readonly isActive: (id: ReplicaId) => boolean;
}

/** The next membership on the way to making `newcomer` a voter, or null when there is nothing to do now. */
export function nextMembership(newcomer: ReplicaId, view: JoinView): Membership | null {
  const { voters, learners } = view.membership;
  if (voters.includes(newcomer)) return null;
  const namesake = voters.find((id) => replicaName(id) === replicaName(newcomer));
  if (namesake !== undefined) {
    if (view.isActive(namesake)) return null;
    return { voters: voters.filter((id) => id !== namesake), learners };
  }
  if (!learners.includes(newcomer))
    return { voters, learners: [...withoutNamesakes(learners, newcomer), newcomer] };
  const matchIndex = view.matchIndexOf(newcomer);
  if (matchIndex === null || matchIndex < view.commitIndex - CAUGHT_UP_ENTRIES || matchIndex === 0)
    return null;
  return { voters: [...voters, newcomer], learners: learners.filter((id) => id !== newcomer) };
}

function withoutNamesakes(learners: readonly ReplicaId[], newcomer: ReplicaId): readonly ReplicaId[] {
  return learners.filter((id) => replicaName(id) !== replicaName(newcomer));
}
