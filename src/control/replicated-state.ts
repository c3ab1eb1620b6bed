/** Connects the replicated log to the state machine: applies entries, settles proposals and publishes changes. */
import type { StateMachine } from '../consensus/replica.js';
import type { LogEntry } from '../consensus/raft-types.js';
import type { Change } from './changes.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import { emptyControlState, type ControlState } from './control-state.js';
import { applyCommand } from './state-machine.js';
import { decodeState, encodeState, type StateSnapshot } from './state-snapshot.js';
import type { WatchHub } from './watch-hub.js';

/** State of one replica. */
export class ReplicatedState implements StateMachine {
  private currentState: ControlState = emptyControlState();

  constructor(
    private readonly hub: WatchHub,
    private readonly onOutcome: (proposalId: string, outcome: CommandOutcome) => void,
    private readonly onChanges: (changes: readonly Change[]) => void,
    private readonly onApplied?: (entry: LogEntry) => void,
  ) {}

  /** The current state; readers must not modify it. */
  get state(): ControlState {
    return this.currentState;
  }

  /** Applies one committed entry and publishes its changes. */
  apply(entry: LogEntry): void {
    this.onApplied?.(entry);
    if (entry.payload.kind !== 'command') return;
    const command = entry.payload.command as ControlCommand;
    const { outcome, changes } = applyCommand(this.currentState, command, entry.index);
    this.hub.publish(entry.index, changes);
    this.onChanges(changes);
    this.onOutcome(entry.payload.proposalId, outcome);
  }

  /** Returns the state in column format for the snapshot file. */
  snapshot(): unknown {
    return encodeState(this.currentState);
  }

  /** Replaces the state by a snapshot; null is the empty state. */
  restore(data: unknown, index: number): void {
    this.currentState = data === null ? emptyControlState() : decodeState(data as StateSnapshot);
    this.hub.reset(this.currentState, index);
  }
}
