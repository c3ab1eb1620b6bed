/** A snapshot that is read from memory. */
import type { SnapshotPosition } from '../consensus/raft-types.js';
import { writeText } from '../model/value-text.js';
import type { SnapshotSource } from './replica-store.js';

/** Returns a source of the snapshot's content, serialized once. */
export function snapshotFromMemory(position: SnapshotPosition, data: unknown): SnapshotSource {
  const content = Buffer.from(writeText({ position, data }));
  return {
    position,
    bytes: content.length,
    read: (offset, length) => Promise.resolve(content.subarray(offset, offset + length)),
    close: () => Promise.resolve(),
  };
}
