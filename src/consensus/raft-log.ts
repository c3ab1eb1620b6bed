/** The part of the replicated log that is kept in memory: all entries after the last snapshot. */
import type { LogEntry, Membership, SnapshotPosition } from './raft-types.js';

/** In-memory view of the log. Entries up to `snapshot.index` have been discarded. */
export class RaftLog {
  private entries: LogEntry[];

  constructor(
    private position: SnapshotPosition,
    entries: readonly LogEntry[],
  ) {
    this.entries = [...entries];
  }

  /** Position of the snapshot that precedes the first entry. */
  get snapshot(): SnapshotPosition {
    return this.position;
  }

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.position.index + this.entries.length;
  }

  /** Term of the last entry. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.position.term;
  }

  /** Returns the term of the entry at `index`, or null when the log does not contain it. */
  termAt(index: number): number | null {
    if (index === this.position.index) return this.position.term;
    return this.entryAt(index)?.term ?? null;
  }

  /** Returns up to `limit` entries starting at `fromIndex`. */
  slice(fromIndex: number, limit: number): readonly LogEntry[] {
    const start = fromIndex - this.position.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Appends entries. */
  append(entries: readonly LogEntry[]): void {
    this.entries.push(...entries);
  }

  /** Removes the entry at `fromIndex` and all later entries. */
  truncate(fromIndex: number): void {
    this.entries.length = Math.max(0, fromIndex - this.position.index - 1);
  }

  /** Discards all entries up to a snapshot's position and keeps the later ones. */
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

  /** Returns the effective membership: the latest in the log, committed or not (Raft 4.1), else the snapshot's. */
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
