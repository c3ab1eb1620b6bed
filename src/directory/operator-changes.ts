/** Operators' changes: each is proposed once however often it is sent, and each call is answered within its timeout. */
import type { ReplicaLimits } from '../consensus/replica-limits.js';
import type { ProposalError, Proposals } from '../control/proposals.js';
import { valueBytes } from '../model/value-size.js';
import { Err, Ok, type Result } from '../result.js';
import { withTimeout } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import {
  checkConfiguration,
  isConfigurationCommand,
  type ConfigurationCheck,
  type ConfigurationCommand,
} from './configuration-check.js';
import type { ConfigurationSize } from './configuration-size.js';
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

/** Reason why a change has no outcome of the state machine. */
export type ChangeError =
  | ProposalError
  /** The configuration would be larger than this replica holds; nothing was proposed. */
  | { readonly kind: 'too-large'; readonly detail: string };

/** What became of a change. */
export type ChangeOutcome = Result<DirectoryOutcome, ChangeError>;

type AcceptedChange = Extract<ConfigurationCheck, { kind: 'accepted' }>;

/** Functions of the replica that operators' changes depend on. */
export interface OperatorChangesPorts {
  /** The state as applied on this replica. */
  readonly state: () => DirectoryState;
  /** Size of the configuration in `state`. */
  readonly configuration: Pick<ConfigurationSize, 'bytes' | 'bytesAfter'>;
  /** Resolves with whether a quorum confirmed the leadership of this replica after the call, within the time in ms. */
  readonly confirmLeadership: (timeoutMs: number) => Promise<boolean>;
  readonly limits: Pick<ReplicaLimits, 'stateBytes' | 'uncommittedBytes'>;
}

/** Proposes operators' changes on the leader, merges resends, and refuses without a proposal what cannot be accepted. */
export class OperatorChanges {
  /** Pending outcomes by the digest of the change. */
  private readonly outcomesInFlight = new Map<string, Promise<ChangeOutcome>>();
  /** Size of the changes that were proposed and have no outcome. */
  private bytesInFlight = 0;

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
    if (check.kind === 'accepted') return await this.proposeWithinLimits(command, check, timeoutMs);
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
    if (check.kind === 'resend') return Ok({ kind: 'done' });
    if (check.kind === 'refused') return Ok(check.outcome);
    return this.inFlight(command) ?? (await this.proposeWithinLimits(command, check, timeoutMs));
  }

  private async proposeWithinLimits(
    command: ConfigurationCommand,
    check: AcceptedChange,
    timeoutMs: number,
  ): Promise<ChangeOutcome> {
    const bytes = valueBytes(command);
    const fault = this.limitFault(check, bytes);
    if (fault !== null) return Err(fault);
    this.bytesInFlight += bytes;
    const outcome = this.proposals.propose(command, timeoutMs + RESEND_WINDOW_MS);
    const { digest } = command;
    if (digest !== undefined) this.outcomesInFlight.set(digest, outcome);
    void outcome.then(() => {
      this.bytesInFlight -= bytes;
      if (digest !== undefined) this.outcomesInFlight.delete(digest);
    });
    return await outcome;
  }

  /**
   * Limits are checked by the leader alone: members may have different memory, so a state machine that refused by them would differ
   * between members. The first change in flight has no limit but that of the state.
   */
  private limitFault({ items }: AcceptedChange, commandBytes: number): ChangeError | null {
    const { configuration, limits } = this.ports;
    const stateBytes = configuration.bytesAfter(items);
    if (stateBytes > limits.stateBytes && stateBytes > configuration.bytes) {
      const detail = `the configuration would take ${stateBytes} bytes, and may take ${limits.stateBytes}`;
      return { kind: 'too-large', detail };
    }
    const isFirst = this.bytesInFlight === 0;
    const fits = this.bytesInFlight + commandBytes <= limits.uncommittedBytes;
    return isFirst || fits ? null : { kind: 'busy' };
  }

  private inFlight({ digest }: ConfigurationCommand): Promise<ChangeOutcome> | undefined {
    return digest === undefined ? undefined : this.outcomesInFlight.get(digest);
  }
}

/** Returns the configuration items that a command changes. */
export function changedItems(command: DirectoryCommand): readonly unknown[] {
  return 'items' in command ? command.items : [];
}
