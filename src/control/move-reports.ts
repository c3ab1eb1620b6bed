/**
 * Reports of agents about moves: proposed once, and only while they still fit. Agents repeat a report until control
 * has acted on it, and each proposal costs every replica a log entry.
 */
import type { CancelMoveCommand, CompleteMoveCommand, ControlCommand } from './commands.js';
import type { ControlState } from './control-state.js';

/** A command that ends a move. */
export type MoveEndCommand = CompleteMoveCommand | CancelMoveCommand;

/** Proposes a command; settles when its outcome is known or was given up. */
export type ProposeCommand = (command: ControlCommand) => Promise<unknown>;

/** The reports of one leader. */
export class MoveReports {
  private readonly underWay = new Set<string>();

  constructor(
    private readonly state: () => ControlState,
    private readonly propose: ProposeCommand,
  ) {}

  /** Takes a report; returns whether it was proposed. */
  take(command: MoveEndCommand): boolean {
    const { service, shard, moveId } = command;
    const row = this.state().shards.get(service)?.get(shard);
    const fits = row !== undefined && row.movingTo !== null && row.moveId === moveId;
    const key = `${service}/${shard}/${moveId}`;
    if (!fits || this.underWay.has(key)) return false;
    this.underWay.add(key);
    void this.propose(command).finally(() => {
      this.underWay.delete(key);
    });
    return true;
  }
}
