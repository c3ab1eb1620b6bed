/** Log entries whose commands are only on disk, and reading them back. */
import type { ReplicaStore } from '../storage/replica-store.js';
import type { LogEntry } from './raft-types.js';

/** Whether the entry's command is only on disk. */
export function entryIsStored(entry: LogEntry): boolean {
  return entry.payload.kind === 'stored';
}

/** Returns consecutive entries with their commands; null if the log does not contain one of them any more. */
export async function loadEntries(
  reader: Pick<ReplicaStore, 'readEntries'>,
  entries: readonly LogEntry[],
): Promise<readonly LogEntry[] | null> {
  const first = entries.findIndex(entryIsStored);
  const last = entries.findLastIndex(entryIsStored);
  if (first < 0) return entries;
  const read = await reader.readEntries(entries[first]?.index ?? 0, entries[last]?.index ?? 0);
  const loaded = entries.map((entry, at) => (entryIsStored(entry) ? read[at - first] : entry));
  const isComplete = loaded.every(
    (entry, at) => entry?.index === entries[at]?.index && entry?.term === entries[at]?.term,
  );
  return isComplete ? (loaded as LogEntry[]) : null;
}
