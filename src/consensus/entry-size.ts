/** Sizes of log entries, for the limits in bytes of the log, of messages and of queues. */
import { valueBytes } from '../model/value-size.js';
import type { LogEntry } from './raft-types.js';

const sizes = new WeakMap<LogEntry, number>();

/** Returns the approximate size of an entry in bytes, in memory as on the wire; computed once per entry. */
export function entryBytes(entry: LogEntry): number {
  if (entry.payload.kind === 'stored') return entry.payload.bytes;
  const known = sizes.get(entry);
  if (known !== undefined) return known;
  const bytes = valueBytes(entry);
  sizes.set(entry, bytes);
  return bytes;
}

/** Returns the approximate size of entries in bytes. */
export function entriesBytes(entries: readonly LogEntry[]): number {
  return entries.reduce((bytes, entry) => bytes + entryBytes(entry), 0);
}
