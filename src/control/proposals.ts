/** Commands that were proposed here and wait to be committed. */
import { Err, Ok, type Result } from '../result.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { CommandOutcome, ControlCommand } from './commands.js';

/** Time in ms after which the proposer is told that the outcome is unknown. */
const PROPOSAL_TIMEOUT_MS = 5_000;

/** Why a proposal has no outcome. Only after `not-leader` is it certain that the command will not be applied. */
export type ProposalError = { readonly kind: 'not-leader' } | { readonly kind: 'outcome-unknown' };

interface Pending<Outcome> {
  readonly resolve: (result: Result<Outcome, ProposalError>) => void;
  readonly cancelTimer: CancelTimer;
}

/** Joins proposals to their outcomes, whatever the state machine that the commands are for. */
export class Proposals<Command = ControlCommand, Outcome = CommandOutcome> {
  private readonly pending = new Map<string, Pending<Outcome>>();

  constructor(
    private readonly runtime: Runtime,
    private readonly submit: (proposalId: string, command: Command) => void,
  ) {}

  /** Proposes a command and waits for its outcome. */
  async propose(command: Command): Promise<Result<Outcome, ProposalError>> {
    const proposalId = this.runtime.randomId();
    return await new Promise((resolve) => {
      const cancelTimer = this.runtime.after(PROPOSAL_TIMEOUT_MS, () => {
        this.settle(proposalId, Err({ kind: 'outcome-unknown' }));
      });
      this.pending.set(proposalId, { resolve, cancelTimer });
      this.submit(proposalId, command);
    });
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
