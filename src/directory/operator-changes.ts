/** Changes that operators ask for: each enters the log once, however often it is sent, and is answered in time. */
import type { ProposalError, Proposals } from '../control/proposals.js';
import { Err, type Result } from '../result.js';
import { within } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import type { DirectoryCommand, DirectoryOutcome } from './directory-commands.js';

/**
 * Time in ms in which a call gets its outcome or is told that there is none yet. Callers give a call up after a second;
 * told before that, they go on to another replica 0.2 s sooner and know that this one is alive.
 */
export const ANSWER_LIMIT_MS = 800;

/** Time in ms that a change may take longer for each of its items. */
const ANSWER_LIMIT_PER_ITEM_MS = 3;

/** Time in ms for which a change that was sent again joins the one before it; by then it is committed, or its leader is none. */
const UNDER_WAY_MS = 5_000;

type ChangeOutcome = Result<DirectoryOutcome, ProposalError>;

/** The changes of one leader. */
export class OperatorChanges {
  /** Outcomes that are awaited, by the digest of the change. */
  private readonly underWay = new Map<string, Promise<ChangeOutcome>>();

  constructor(
    private readonly runtime: Pick<Runtime, 'after'>,
    private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>,
  ) {}

  /** Proposes a change, or waits for the same one that is under way. Without an outcome in time it may still be committed. */
  async propose(command: DirectoryCommand): Promise<ChangeOutcome> {
    const limitMs = ANSWER_LIMIT_MS + itemsOf(command).length * ANSWER_LIMIT_PER_ITEM_MS;
    const outcome = await within(this.runtime, this.outcomeOf(command, limitMs), limitMs);
    return outcome ?? Err({ kind: 'outcome-unknown' });
  }

  private async outcomeOf(command: DirectoryCommand, limitMs: number): Promise<ChangeOutcome> {
    const digest = 'digest' in command ? command.digest : undefined;
    if (digest === undefined) return await this.proposals.propose(command, limitMs);
    const joined = this.underWay.get(digest);
    if (joined !== undefined) return await joined;
    const outcome = this.proposals.propose(command, limitMs + UNDER_WAY_MS);
    this.underWay.set(digest, outcome);
    void outcome.then(() => this.underWay.delete(digest));
    return await outcome;
  }
}

/** Items of the configuration that a command changes. */
export function itemsOf(command: DirectoryCommand): readonly unknown[] {
  return 'items' in command ? command.items : [];
}
