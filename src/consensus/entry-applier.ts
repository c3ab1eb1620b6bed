/**
 * Applies committed entries to the state machine in slices, so that many entries at once do not keep heartbeats
 * waiting for longer than the election timeout.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { LogEntry } from './raft-types.js';
import type { StateMachine } from './replica.js';

/** Entries and time in ms after which a slice ends. */
const SLICE_ENTRIES = 64;
const SLICE_MS = 10;

type Task =
  | { readonly kind: 'apply'; readonly entry: LogEntry }
  | { readonly kind: 'restore'; readonly data: unknown; readonly index: number };

/** Applies in order; entries that a snapshot has replaced are left out. */
export class EntryApplier {
  /** Entries that were applied. */
  entriesApplied = 0;
  private readonly waiting: Task[] = [];
  private scheduled = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly stateMachine: StateMachine,
    private index: number,
    private readonly onFailure: (error: unknown) => void,
  ) {}

  /** Index of the newest entry that the state machine has taken. */
  get appliedIndex(): number {
    return this.index;
  }

  /** Adds committed entries. */
  add(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.waiting.push({ kind: 'apply', entry });
    if (!this.scheduled) this.runSlice();
  }

  /** Adds the replacement of the state by a snapshot. */
  restore(data: unknown, index: number): void {
    this.waiting.push({ kind: 'restore', data, index });
    if (!this.scheduled) this.runSlice();
  }

  private runSlice(): void {
    this.scheduled = false;
    const startedMs = this.runtime.nowMs();
    for (let done = 0; done < SLICE_ENTRIES; done += 1) {
      const task = this.waiting.shift();
      if (task === undefined) return;
      this.run(task);
      if (this.runtime.nowMs() - startedMs >= SLICE_MS) break;
    }
    if (this.waiting.length > 0) this.scheduleSlice();
  }

  private scheduleSlice(): void {
    this.scheduled = true;
    this.runtime.afterInput(() => {
      try {
        this.runSlice();
      } catch (error) {
        this.onFailure(error);
      }
    });
  }

  private run(task: Task): void {
    if (task.kind === 'restore') {
      this.stateMachine.restore(task.data, task.index);
      this.index = task.index;
      return;
    }
    if (task.entry.index <= this.index) return;
    this.stateMachine.apply(task.entry);
    this.index = task.entry.index;
    this.entriesApplied += 1;
  }
}
