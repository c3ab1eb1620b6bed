/** Operators' changes: each is proposed once however often it is sent, and each call is answered within its timeout. */
import type { ProposalError, Proposals } from '../control/proposals.js';
import { Err, type Result } from '../result.js';
import { withTimeout } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import type { DirectoryCommand, DirectoryOutcome } from './directory-commands.js';

/**
 * Time in ms after which a call without an outcome is answered as undecided. Callers time out after one second; with
 * this answer they try another replica 0.2 s earlier and know that this one is live.
 */
export const ANSWER_TIMEOUT_MS = 800;

/** Additional time in ms allowed for each configuration item of a change. */
const ANSWER_TIMEOUT_PER_ITEM_MS = 3;

/**
 * Time in ms after the timeout of a change for which a resend still joins it; by then the change is committed, or the
 * replica that proposed it no longer leads.
 */
const RESEND_WINDOW_MS = 5_000;

type ChangeOutcome = Result<DirectoryOutcome, ProposalError>;

/** Proposes operators' changes on the leader and merges resends. */
export class OperatorChanges {
  /** Pending outcomes by the digest of the change. */
  private readonly outcomesInFlight = new Map<string, Promise<ChangeOutcome>>();

  constructor(
    private readonly runtime: Pick<Runtime, 'after'>,
    private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>,
  ) {}

  /** Proposes a change, or joins the same change in flight. A change without an outcome in time may still be committed. */
  async propose(command: DirectoryCommand): Promise<ChangeOutcome> {
    const timeoutMs = ANSWER_TIMEOUT_MS + changedItems(command).length * ANSWER_TIMEOUT_PER_ITEM_MS;
    const outcome = await withTimeout(this.runtime, this.proposeOrJoin(command, timeoutMs), timeoutMs);
    return outcome ?? Err({ kind: 'outcome-unknown' });
  }

  private async proposeOrJoin(command: DirectoryCommand, timeoutMs: number): Promise<ChangeOutcome> {
    const digest = 'digest' in command ? command.digest : undefined;
    if (digest === undefined) return await this.proposals.propose(command, timeoutMs);
    const existing = this.outcomesInFlight.get(digest);
    if (existing !== undefined) return await existing;
    const outcome = this.proposals.propose(command, timeoutMs + RESEND_WINDOW_MS);
    this.outcomesInFlight.set(digest, outcome);
    void outcome.then(() => this.outcomesInFlight.delete(digest));
    return await outcome;
  }
}

/** Returns the configuration items that a command changes. */
export function changedItems(command: DirectoryCommand): readonly unknown[] {
  return 'items' in command ? command.items : [];
}
