/**
 * Agents' reports about moves. Each report is proposed once, and only while the move is still in progress: agents
 * repeat a report until control has acted on it, and each proposal adds a log entry on every replica.
 */
import type { CancelMoveCommand, CompleteMoveCommand, ControlCommand } from './commands.js';
import type { ControlState } from './control-state.js';

/** A command that ends a move. */
export type MoveEndCommand = CompleteMoveCommand | CancelMoveCommand;

/** Proposes a command; settles when its outcome is known or the proposal is abandoned. */
export type ProposeCommand = (command: ControlCommand) => Promise<unknown>;

/** Move reports of one leader. */
export class MoveReports {
  private readonly pendingReports = new Set<string>();

  constructor(
    private readonly state: () => ControlState,
    private readonly propose: ProposeCommand,
  ) {}

  /** Proposes the command of a report unless it is stale or already in flight; returns whether it was proposed. */
  proposeReport(command: MoveEndCommand): boolean {
    const { service, shard, moveId } = command;
    const row = this.state().shards.get(service)?.get(shard);
    const matchesMove = row !== undefined && row.movingTo !== null && row.moveId === moveId;
    const key = `${service}/${shard}/${moveId}`;
    if (!matchesMove || this.pendingReports.has(key)) return false;
    this.pendingReports.add(key);
    void this.propose(command).finally(() => {
      this.pendingReports.delete(key);
    });
    return true;
  }
}
