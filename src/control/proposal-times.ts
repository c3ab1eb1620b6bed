/** Latency breakdown of a proposal, from its arrival at the leader until it is applied there. */

/** Times at which a proposal reached each stage, in ms of one clock. */
export interface ProposalTimes {
  readonly proposedMs: number;
  /** Removed from the event queue; null while it is queued. */
  dequeuedMs: number | null;
  /** Durable on the leader's own disk; null before that. */
  syncedMs: number | null;
}

/** Time that a proposal spent in each stage, in ms; 0 for stages after the last one reached. */
export interface ProposalDurations {
  /** In the queue, waiting for the previous batch of events. */
  readonly queueMs: number;
  /** Being written to the leader's own disk. */
  readonly syncMs: number;
  /** Until it was committed by a quorum and applied, or until it was abandoned. */
  readonly quorumMs: number;
}

/** Returns the time spent in each stage by a proposal that ended at `endMs`. */
export function proposalDurations(
  { proposedMs, dequeuedMs, syncedMs }: ProposalTimes,
  endMs: number,
): ProposalDurations {
  const dequeued = dequeuedMs ?? endMs;
  const synced = syncedMs ?? endMs;
  return { queueMs: dequeued - proposedMs, syncMs: synced - dequeued, quorumMs: endMs - synced };
}
