/** Commands proposed on this replica that are waiting to be committed. */
import { Err, Ok, type Result } from '../result.js';
import type { DropReason } from '../consensus/raft-types.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import { proposalDurations, type ProposalDurations, type ProposalTimes } from './proposal-times.js';

/** Time in ms after which a proposal is reported as having an unknown outcome. */
const PROPOSAL_TIMEOUT_MS = 5_000;

/** Reason why a proposal has no outcome. All but `outcome-unknown` guarantee that the command will not be applied. */
export type ProposalError = { readonly kind: DropReason } | { readonly kind: 'outcome-unknown' };

interface PendingProposal<Outcome> {
  readonly resolve: (result: Result<Outcome, ProposalError>) => void;
  readonly cancelTimer: CancelTimer;
  readonly times: ProposalTimes;
}

/** Matches proposals with their outcomes, independently of the state machine. */
export class Proposals<Command = ControlCommand, Outcome = CommandOutcome> {
  private readonly pending = new Map<string, PendingProposal<Outcome>>();

  constructor(
    private readonly runtime: Runtime,
    private readonly submit: (proposalId: string, command: Command) => void,
    /** Called when a proposal has ended, with or without an outcome. */
    private readonly onEnd: (command: Command, durations: ProposalDurations) => void = () => undefined,
  ) {}

  /** Proposes a command and waits at most `timeoutMs` for its outcome. */
  async propose(command: Command, timeoutMs = PROPOSAL_TIMEOUT_MS): Promise<Result<Outcome, ProposalError>> {
    const proposalId = this.runtime.randomId();
    const times: ProposalTimes = { proposedMs: this.runtime.nowMs(), dequeuedMs: null, syncedMs: null };
    const outcome = await new Promise<Result<Outcome, ProposalError>>((resolve) => {
      const cancelTimer = this.runtime.after(timeoutMs, () => {
        this.settle(proposalId, Err({ kind: 'outcome-unknown' }));
      });
      this.pending.set(proposalId, { resolve, cancelTimer, times });
      this.submit(proposalId, command);
    });
    this.onEnd(command, proposalDurations(times, this.runtime.nowMs()));
    return outcome;
  }

  /** Records that proposals, dequeued at the given time, are now durable on this replica's disk. */
  synced(proposalIds: readonly string[], dequeuedMs: number): void {
    const syncedMs = this.runtime.nowMs();
    for (const proposalId of proposalIds) {
      const times = this.pending.get(proposalId)?.times;
      if (times !== undefined) Object.assign(times, { dequeuedMs, syncedMs });
    }
  }

  /** Settles a proposal whose command was committed and applied on this replica. */
  applied(proposalId: string, outcome: Outcome): void {
    this.settle(proposalId, Ok(outcome));
  }

  /** Settles a proposal whose command was not appended to the log. */
  dropped(proposalId: string, reason: DropReason = 'not-leader'): void {
    this.settle(proposalId, Err({ kind: reason }));
  }

  /** Settles all pending proposals when this replica is no longer leader: the next leader may still commit them. */
  abandonAll(): void {
    for (const proposalId of [...this.pending.keys()]) {
      this.settle(proposalId, Err({ kind: 'outcome-unknown' }));
    }
  }

  private settle(proposalId: string, result: Result<Outcome, ProposalError>): void {
    const pending = this.pending.get(proposalId);
    if (pending === undefined) return;
    pending.cancelTimer();
    this.pending.delete(proposalId);
    pending.resolve(result);
  }
}
