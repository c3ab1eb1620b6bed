/** The part of the replicated log that is held in memory: all entries after the last snapshot. */
import type { LogEntry, Membership, SnapshotPosition } from './raft-types.js';

/** In-memory view of the log. Indexes up to `snapshot.index` are gone. */
export class RaftLog {
  private entries: LogEntry[];

  constructor(
    private position: SnapshotPosition,
    entries: readonly LogEntry[],
  ) {
    this.entries = [...entries];
  }

  /** Where the log starts. */
  get snapshot(): SnapshotPosition {
    return this.position;
  }

  /** Index of the newest entry. */
  get lastIndex(): number {
    return this.position.index + this.entries.length;
  }

  /** Term of the newest entry. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.position.term;
  }

  /** Term of the entry at `index`, or null when it is not held. */
  termAt(index: number): number | null {
    if (index === this.position.index) return this.position.term;
    return this.entryAt(index)?.term ?? null;
  }

  /** Up to `limit` entries from `fromIndex` on. */
  slice(fromIndex: number, limit: number): readonly LogEntry[] {
    const start = fromIndex - this.position.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Adds entries at the end. */
  append(entries: readonly LogEntry[]): void {
    this.entries.push(...entries);
  }

  /** Forgets `fromIndex` and everything after it. */
  truncate(fromIndex: number): void {
    this.entries.length = Math.max(0, fromIndex - this.position.index - 1);
  }

  /** Forgets everything up to a snapshot's position; keeps the entries after it. */
  compact(position: SnapshotPosition): void {
    if (position.index <= this.position.index) return;
    this.entries = this.entries.slice(position.index - this.position.index);
    this.position = position;
  }

  /** Replaces the whole log by a snapshot. */
  reset(position: SnapshotPosition): void {
    this.entries = [];
    this.position = position;
  }

  /** Membership in force: the newest in the log, committed or not (Raft 4.1), else the snapshot's. */
  membership(): { readonly membership: Membership; readonly index: number } {
    for (let at = this.entries.length - 1; at >= 0; at -= 1) {
      const entry = this.entries[at];
      if (entry?.payload.kind === 'membership') {
        return { membership: entry.payload.membership, index: entry.index };
      }
    }
    return { membership: this.position.membership, index: this.position.index };
  }

  private entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.position.index - 1];
  }
}
