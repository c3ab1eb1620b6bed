/** Operators' changes: each is proposed once however often it is sent, and each call is answered within its timeout. */
import type { ProposalError, Proposals } from '../control/proposals.js';
import { Err, Ok, type Result } from '../result.js';
import { withTimeout } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import {
  checkConfiguration,
  isConfigurationCommand,
  type ConfigurationCommand,
} from './configuration-check.js';
import type { DirectoryCommand, DirectoryOutcome } from './directory-commands.js';
import type { DirectoryState } from './directory-state.js';

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

/** Functions of the replica that operators' changes depend on. */
export interface OperatorChangesPorts {
  /** The state as applied on this replica. */
  readonly state: () => DirectoryState;
  /** Resolves with whether a quorum confirmed the leadership of this replica after the call, within the time in ms. */
  readonly confirmLeadership: (timeoutMs: number) => Promise<boolean>;
}

/** Proposes operators' changes on the leader, merges resends, and refuses without a proposal what cannot be accepted. */
export class OperatorChanges {
  /** Pending outcomes by the digest of the change. */
  private readonly outcomesInFlight = new Map<string, Promise<ChangeOutcome>>();

  constructor(
    private readonly runtime: Pick<Runtime, 'after'>,
    private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>,
    private readonly ports: OperatorChangesPorts,
  ) {}

  /** Proposes a change, or joins the same change in flight. A change without an outcome in time may still be committed. */
  async propose(command: DirectoryCommand): Promise<ChangeOutcome> {
    const timeoutMs = ANSWER_TIMEOUT_MS + changedItems(command).length * ANSWER_TIMEOUT_PER_ITEM_MS;
    const outcome = await withTimeout(this.runtime, this.decide(command, timeoutMs), timeoutMs);
    return outcome ?? Err({ kind: 'outcome-unknown' });
  }

  private async decide(command: DirectoryCommand, timeoutMs: number): Promise<ChangeOutcome> {
    if (!isConfigurationCommand(command)) return await this.proposals.propose(command, timeoutMs);
    const existing = this.inFlight(command);
    if (existing !== undefined) return await existing;
    const check = checkConfiguration(this.ports.state(), command);
    if (check.kind === 'resend') return Ok({ kind: 'done' });
    if (check.kind === 'accepted') return await this.proposeOrJoin(command, timeoutMs);
    return check.isFinal ? Ok(check.outcome) : await this.decideAsLeader(command, timeoutMs);
  }

  /**
   * Refuses a change by a state that is current: leadership was confirmed since the call, and every change that was in flight then
   * has its outcome. A replica that was deposed without knowing it refuses nothing, since its state may be too old for the change.
   */
  private async decideAsLeader(command: ConfigurationCommand, timeoutMs: number): Promise<ChangeOutcome> {
    const earlier = Promise.all(this.outcomesInFlight.values());
    const confirmed = this.ports.confirmLeadership(timeoutMs);
    const isSettled = (await withTimeout(this.runtime, earlier, timeoutMs)) !== null;
    if (!isSettled || !(await confirmed)) return Err({ kind: 'not-leader' });
    const check = checkConfiguration(this.ports.state(), command);
    return check.kind === 'refused' ? Ok(check.outcome) : await this.proposeOrJoin(command, timeoutMs);
  }

  private async proposeOrJoin(command: ConfigurationCommand, timeoutMs: number): Promise<ChangeOutcome> {
    const { digest } = command;
    if (digest === undefined) return await this.proposals.propose(command, timeoutMs);
    const existing = this.inFlight(command);
    if (existing !== undefined) return await existing;
    const outcome = this.proposals.propose(command, timeoutMs + RESEND_WINDOW_MS);
    this.outcomesInFlight.set(digest, outcome);
    void outcome.then(() => this.outcomesInFlight.delete(digest));
    return await outcome;
  }

  private inFlight({ digest }: ConfigurationCommand): Promise<ChangeOutcome> | undefined {
    return digest === undefined ? undefined : this.outcomesInFlight.get(digest);
  }
}

/** Returns the configuration items that a command changes. */
export function changedItems(command: DirectoryCommand): readonly unknown[] {
  return 'items' in command ? command.items : [];
}
