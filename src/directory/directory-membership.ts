/**
 * Membership of the replicas of a directory, whose machines come and go. A newcomer becomes a learner and then a
 * voter, as in `consensus/join-core.ts`; a voter that has fallen silent leaves only when a newcomer that holds the
 * log stands ready to take its place.
 */
import { nextMembership, type JoinView } from '../consensus/join-core.js';
import type { Membership, ReplicaId } from '../consensus/raft-types.js';

/** What the leader knows. */
export interface DirectoryMembershipView extends JoinView {
  /** Replicas that asked to join, in the order in which they first asked. */
  readonly candidates: readonly ReplicaId[];
  /** Most voters; further replicas stay learners. */
  readonly maxVoters: number;
  /** Whether a voter has been silent for so long that it may be replaced. */
  readonly isLost: (id: ReplicaId) => boolean;
}

/** The next membership, or null when there is nothing to do now. */
export function nextDirectoryMembership(view: DirectoryMembershipView): Membership | null {
  for (const candidate of view.candidates) {
    const membership = nextMembership(candidate, view);
    if (membership === null) continue;
    if (membership.voters.length <= view.maxVoters) return membership;
    const replaced = withoutLostVoter(view);
    if (replaced !== null) return replaced;
  }
  return withoutLostLearner(view);
}

/** A newcomer is caught up, but the places of voters are taken: a lost voter gives way. */
function withoutLostVoter({ membership, isLost }: DirectoryMembershipView): Membership | null {
  const lost = membership.voters.find(isLost);
  if (lost === undefined) return null;
  return { ...membership, voters: membership.voters.filter((id) => id !== lost) };
}

function withoutLostLearner({ membership, isLost }: DirectoryMembershipView): Membership | null {
  const lost = membership.learners.find(isLost);
  if (lost === undefined) return null;
  return { ...membership, learners: membership.learners.filter((id) => id !== lost) };
}
