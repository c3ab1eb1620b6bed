/**
 * Applies committed entries to the state machine in slices, so that a large number of entries does not delay
 * heartbeats beyond the election timeout.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { LogEntry } from './raft-types.js';
import type { StateMachine } from './replica.js';

/** Number of entries and time in ms after which a slice ends. */
const MAX_SLICE_ENTRIES = 64;
const MAX_SLICE_MS = 10;

type Task =
  | { readonly kind: 'apply'; readonly entry: LogEntry }
  | { readonly kind: 'restore'; readonly data: unknown; readonly index: number };

/** Applies entries and snapshots in order; skips entries that a snapshot already contains. */
export class EntryApplier {
  /** Number of entries applied. */
  entriesApplied = 0;
  private readonly waiting: Task[] = [];
  private scheduled = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly stateMachine: StateMachine,
    private index: number,
    private readonly onFailure: (error: unknown) => void,
  ) {}

  /** Index of the last entry applied to the state machine. */
  get appliedIndex(): number {
    return this.index;
  }

  /** Queues committed entries. */
  add(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.waiting.push({ kind: 'apply', entry });
    if (!this.scheduled) this.runSlice();
  }

  /** Queues the replacement of the state by a snapshot. */
  restore(data: unknown, index: number): void {
    this.waiting.push({ kind: 'restore', data, index });
    if (!this.scheduled) this.runSlice();
  }

  private runSlice(): void {
    this.scheduled = false;
    const startedMs = this.runtime.nowMs();
    for (let done = 0; done < MAX_SLICE_ENTRIES; done += 1) {
      const task = this.waiting.shift();
      if (task === undefined) return;
      this.run(task);
      if (this.runtime.nowMs() - startedMs >= MAX_SLICE_MS) break;
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
