/** Joins the replicated log to the state machine: applies entries, answers proposals, publishes changes. */
import type { StateMachine } from '../consensus/replica.js';
import type { LogEntry } from '../consensus/raft-types.js';
import type { Change } from './changes.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import { emptyControlState, type ControlState } from './control-state.js';
import { applyCommand } from './state-machine.js';
import { decodeState, encodeState, type StateSnapshot } from './state-snapshot.js';
import type { WatchHub } from './watch-hub.js';

/** The state of one replica. */
export class ReplicatedState implements StateMachine {
  private current: ControlState = emptyControlState();

  constructor(
    private readonly hub: WatchHub,
    private readonly onOutcome: (proposalId: string, outcome: CommandOutcome) => void,
    private readonly onChanges: (changes: readonly Change[]) => void,
    private readonly onApplied?: (entry: LogEntry) => void,
  ) {}

  /** The present state; not to be changed by readers. */
  get state(): ControlState {
    return this.current;
  }

  /** Applies one committed entry and publishes what it changed. */
  apply(entry: LogEntry): void {
    this.onApplied?.(entry);
    if (entry.payload.kind !== 'command') return;
    const command = entry.payload.command as ControlCommand;
    const { outcome, changes } = applyCommand(this.current, command, entry.index);
    this.hub.publish(entry.index, changes);
    this.onChanges(changes);
    this.onOutcome(entry.payload.proposalId, outcome);
  }

  /** The state as columns, for the snapshot file. */
  snapshot(): unknown {
    return encodeState(this.current);
  }

  /** Takes over a snapshot; null stands for the empty state. */
  restore(data: unknown, index: number): void {
    this.current = data === null ? emptyControlState() : decodeState(data as StateSnapshot);
    this.hub.reset(this.current, index);
  }
}
