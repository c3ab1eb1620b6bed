/** Where the time of a proposal goes, from its arrival at the leader until it is applied there. */

/** When a proposal reached each step, in ms of one clock. */
export interface ProposalTimes {
  readonly proposedMs: number;
  /** Taken from the queue of events; null while it waits there. */
  takenMs: number | null;
  /** Durable on the leader's own disk; null while it is not. */
  syncedMs: number | null;
}

/** Time that a proposal spent in each step, in ms; what a step after the last one reached takes is 0. */
export interface ProposalSteps {
  /** Waiting for the batch of events before it. */
  readonly queueMs: number;
  /** On the leader's own disk. */
  readonly syncMs: number;
  /** Until a quorum had it and it was applied; until it was given up, where it was not. */
  readonly quorumMs: number;
}

/** The steps of a proposal that ended at `endMs`. */
export function proposalSteps(
  { proposedMs, takenMs, syncedMs }: ProposalTimes,
  endMs: number,
): ProposalSteps {
  const taken = takenMs ?? endMs;
  const synced = syncedMs ?? endMs;
  return { queueMs: taken - proposedMs, syncMs: synced - taken, quorumMs: endMs - synced };
}
