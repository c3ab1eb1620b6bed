/**
 * Applies committed entries to the state machine in slices, so that a large number of entries does not delay
 * heartbeats beyond the election timeout. Commands that are only on disk are read back before they are applied.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { ReplicaStore } from '../storage/replica-store.js';
import { entryBytes } from './entry-size.js';
import type { LogEntry } from './raft-types.js';
import type { StateMachine } from './replica.js';
import { entryIsStored, loadEntries } from './stored-entries.js';

/** Number of entries and time in ms after which a slice ends. */
const MAX_SLICE_ENTRIES = 64;
const MAX_SLICE_MS = 10;

type Task =
  | { readonly kind: 'apply'; readonly entry: LogEntry }
  | { readonly kind: 'restore'; readonly data: unknown; readonly index: number };

/** Where commands that are only on disk are read, and how many bytes of them at once. */
export interface StoredCommands {
  readonly store: Pick<ReplicaStore, 'readEntries' | 'currentSnapshot'>;
  readonly sliceBytes: number;
}

/** Applies entries and snapshots in order; skips entries that a snapshot already contains. */
export class EntryApplier {
  /** Number of entries applied. */
  entriesApplied = 0;
  private readonly waiting: Task[] = [];
  /** Whether a slice is scheduled or commands are being read. */
  private scheduled = false;
  /** Whether an entry was discarded from the log before it was applied: a snapshot replaces it. */
  private awaitsSnapshot = false;
  private stopped = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly stateMachine: StateMachine,
    private index: number,
    private readonly onFailure: (error: unknown) => void,
    private readonly stored: StoredCommands | null = null,
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

  /** Applies nothing more. */
  stop(): void {
    this.stopped = true;
    this.waiting.length = 0;
  }

  private runSlice(): void {
    this.scheduled = false;
    const startedMs = this.runtime.nowMs();
    for (let done = 0; done < MAX_SLICE_ENTRIES; done += 1) {
      if (this.nextIsStored()) {
        this.scheduled = true;
        void this.load();
        return;
      }
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

  private nextIsStored(): boolean {
    const [next] = this.waiting;
    return next?.kind === 'apply' && !this.isSkipped(next.entry) && entryIsStored(next.entry);
  }

  private isSkipped(entry: LogEntry): boolean {
    return this.awaitsSnapshot || entry.index <= this.index;
  }

  /** Reads the commands of the next entries, at most a slice of them. */
  private async load(): Promise<void> {
    const { stored } = this;
    if (stored === null) throw new Error('invariant broken: an entry is stored, and there is no store');
    try {
      const entries = this.nextStored(stored.sliceBytes);
      const loaded = await loadEntries(stored.store, entries);
      if (this.stopped) return;
      if (loaded === null) this.expectSnapshot(stored, entries);
      else
        this.waiting.splice(0, loaded.length, ...loaded.map((entry) => ({ kind: 'apply', entry }) as const));
      this.scheduleSlice();
    } catch (error) {
      if (!this.stopped) this.onFailure(error);
    }
  }

  /** A snapshot of the leader replaced the log while entries waited: its content is queued behind them. */
  private expectSnapshot({ store }: StoredCommands, missing: readonly LogEntry[]): void {
    const { index } = store.currentSnapshot().position;
    const isReplaced = missing.every((entry) => entry.index <= index);
    if (!isReplaced) throw new Error('invariant broken: the log lacks entries that are not applied');
    this.awaitsSnapshot = true;
  }

  private nextStored(sliceBytes: number): readonly LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (const task of this.waiting) {
      if (task.kind !== 'apply' || !entryIsStored(task.entry)) break;
      bytes += entryBytes(task.entry);
      if (entries.length > 0 && (bytes > sliceBytes || entries.length >= MAX_SLICE_ENTRIES)) break;
      entries.push(task.entry);
    }
    return entries;
  }

  private run(task: Task): void {
    if (task.kind === 'restore') {
      this.stateMachine.restore(task.data, task.index);
      this.index = task.index;
      this.awaitsSnapshot = false;
      return;
    }
    if (this.isSkipped(task.entry)) return;
    this.stateMachine.apply(task.entry);
    this.index = task.entry.index;
    this.entriesApplied += 1;
  }
}
