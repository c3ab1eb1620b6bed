/** Commands that were proposed here and wait to be committed. */
import { Err, Ok, type Result } from '../result.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import { proposalSteps, type ProposalSteps, type ProposalTimes } from './proposal-times.js';

/** Time in ms after which the proposer is told that the outcome is unknown. */
const PROPOSAL_TIMEOUT_MS = 5_000;

/** Why a proposal has no outcome. Only after `not-leader` is it certain that the command will not be applied. */
export type ProposalError = { readonly kind: 'not-leader' } | { readonly kind: 'outcome-unknown' };

interface Pending<Outcome> {
  readonly resolve: (result: Result<Outcome, ProposalError>) => void;
  readonly cancelTimer: CancelTimer;
  readonly times: ProposalTimes;
}

/** Joins proposals to their outcomes, whatever the state machine that the commands are for. */
export class Proposals<Command = ControlCommand, Outcome = CommandOutcome> {
  private readonly pending = new Map<string, Pending<Outcome>>();

  constructor(
    private readonly runtime: Runtime,
    private readonly submit: (proposalId: string, command: Command) => void,
    /** A proposal has ended, with or without an outcome. */
    private readonly onEnd: (command: Command, steps: ProposalSteps) => void = () => undefined,
  ) {}

  /** Proposes a command and waits for its outcome, for so many ms. */
  async propose(command: Command, timeoutMs = PROPOSAL_TIMEOUT_MS): Promise<Result<Outcome, ProposalError>> {
    const proposalId = this.runtime.randomId();
    const times: ProposalTimes = { proposedMs: this.runtime.nowMs(), takenMs: null, syncedMs: null };
    const outcome = await new Promise<Result<Outcome, ProposalError>>((resolve) => {
      const cancelTimer = this.runtime.after(timeoutMs, () => {
        this.settle(proposalId, Err({ kind: 'outcome-unknown' }));
      });
      this.pending.set(proposalId, { resolve, cancelTimer, times });
      this.submit(proposalId, command);
    });
    this.onEnd(command, proposalSteps(times, this.runtime.nowMs()));
    return outcome;
  }

  /** Proposals were taken from the queue at a time, and are durable on this replica's disk now. */
  synced(proposalIds: readonly string[], takenMs: number): void {
    const syncedMs = this.runtime.nowMs();
    for (const proposalId of proposalIds) {
      const times = this.pending.get(proposalId)?.times;
      if (times !== undefined) Object.assign(times, { takenMs, syncedMs });
    }
  }

  /** The command was committed and applied here. */
  applied(proposalId: string, outcome: Outcome): void {
    this.settle(proposalId, Ok(outcome));
  }

  /** The command never entered the log. */
  dropped(proposalId: string): void {
    this.settle(proposalId, Err({ kind: 'not-leader' }));
  }

  /** This replica is no longer leader; what waits may or may not be committed by the next one. */
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
