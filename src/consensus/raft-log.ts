/** The replicated log after the last snapshot. Commands that are applied may be dropped from memory; they remain on disk. */
import { entryBytes } from './entry-size.js';
import type { LogEntry, Membership, SnapshotPosition } from './raft-types.js';

/** In-memory view of the log. Entries up to `snapshot.index` have been discarded. */
export class RaftLog {
  private entries: LogEntry[];
  private cached = 0;
  /** All commands before this index have been dropped from memory. */
  private firstCached = 0;

  constructor(
    private position: SnapshotPosition,
    entries: readonly LogEntry[],
  ) {
    this.entries = [...entries];
    this.cached = cachedBytesOf(entries);
  }

  /** Size in bytes of the entries whose content is in memory. */
  get cachedBytes(): number {
    return this.cached;
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

  /** Returns up to `limit` entries starting at `fromIndex` that take at most `maxBytes` bytes; a larger one is returned alone. */
  batch(fromIndex: number, limit: number, maxBytes: number): readonly LogEntry[] {
    const start = fromIndex - this.position.index - 1;
    const last = Math.min(start + limit, this.entries.length);
    let bytes = 0;
    let end = start;
    for (; end < last; end += 1) {
      const entry = this.entries[end];
      if (entry !== undefined) bytes += entryBytes(entry);
      if (bytes > maxBytes && end > start) break;
    }
    return this.entries.slice(start, end);
  }

  /** Appends entries. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.entries.push(entry);
    this.cached += cachedBytesOf(entries);
  }

  /** Removes the entry at `fromIndex` and all later entries. */
  truncate(fromIndex: number): void {
    const removed = this.entries.splice(Math.max(0, fromIndex - this.position.index - 1));
    this.cached -= cachedBytesOf(removed);
    this.firstCached = Math.min(this.firstCached, fromIndex);
  }

  /** Discards all entries up to a snapshot's position and keeps the later ones. */
  compact(position: SnapshotPosition): void {
    if (position.index <= this.position.index) return;
    const removed = this.entries.splice(0, position.index - this.position.index);
    this.cached -= cachedBytesOf(removed);
    this.position = position;
  }

  /** Drops the oldest commands up to `toIndex` from memory until the entries in memory take at most `keepBytes`. */
  evict(toIndex: number, keepBytes: number): void {
    const end = Math.min(toIndex, this.lastIndex);
    let index = Math.max(this.firstCached, this.position.index + 1);
    for (; index <= end && this.cached > keepBytes; index += 1) this.evictEntry(index);
    this.firstCached = index;
  }

  private evictEntry(index: number): void {
    const entry = this.entryAt(index);
    if (entry?.payload.kind !== 'command') return;
    const bytes = entryBytes(entry);
    this.cached -= bytes;
    this.entries[index - this.position.index - 1] = { ...entry, payload: { kind: 'stored', bytes } };
  }

  /** Replaces the whole log by a snapshot. */
  reset(position: SnapshotPosition): void {
    this.entries = [];
    this.cached = 0;
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

function cachedBytesOf(entries: readonly LogEntry[]): number {
  return entries.reduce(
    (bytes, entry) => bytes + (entry.payload.kind === 'stored' ? 0 : entryBytes(entry)),
    0,
  );
}
