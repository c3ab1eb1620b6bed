/**
 * Membership of the replicas of a directory, whose machines may be replaced at any time. A joining replica becomes a
 * learner and then a voter, as in `consensus/join-core.ts`; an unresponsive voter is removed only when a learner that
 * holds the log is ready to replace it.
 */
import { nextMembership, type JoinView } from '../consensus/join-core.js';
import type { Membership, ReplicaId } from '../consensus/raft-types.js';

/** The leader's view of the membership and of the replicas' progress. */
export interface DirectoryMembershipView extends JoinView {
  /** Replicas that requested to join, in the order of their first requests. */
  readonly candidates: readonly ReplicaId[];
  /** Maximum number of voters; further replicas stay learners. */
  readonly maxVoters: number;
  /** Voters that have been unresponsive for long enough to be replaced, the longest unresponsive first. */
  readonly lostVoters: readonly ReplicaId[];
  /** Whether a learner has been unresponsive for long enough to be removed. */
  readonly isLostLearner: (id: ReplicaId) => boolean;
}

/** Returns the next membership to propose, or null when no change is needed now. */
export function nextDirectoryMembership(view: DirectoryMembershipView): Membership | null {
  // A group may have been formed with more voters than the maximum; that does not keep others from becoming learners.
  const maxVoters = Math.max(view.maxVoters, view.membership.voters.length);
  for (const candidate of view.candidates) {
    const membership = nextMembership(candidate, view);
    if (membership === null) continue;
    if (membership.voters.length <= maxVoters) return membership;
    const replaced = withoutLostVoter(view);
    if (replaced !== null) return replaced;
  }
  return withoutLostLearner(view);
}

/** Removes one lost voter, to make room for a learner that has caught up while the maximum of voters is reached. */
function withoutLostVoter({ membership, lostVoters }: DirectoryMembershipView): Membership | null {
  const [lost] = lostVoters;
  if (lost === undefined) return null;
  return { ...membership, voters: membership.voters.filter((id) => id !== lost) };
}

function withoutLostLearner({ membership, isLostLearner }: DirectoryMembershipView): Membership | null {
  const lost = membership.learners.find(isLostLearner);
  if (lost === undefined) return null;
  return { ...membership, learners: membership.learners.filter((id) => id !== lost) };
}
