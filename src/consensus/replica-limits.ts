/**
 * Limits in bytes of what a replica holds, sends and accepts, as shares of the memory that its process may use. Sizes of entries
 * and states are chosen by others, so that a limit on their number does not bound memory, the size of a message or the duration
 * of a turn of the event loop.
 */
import { getHeapStatistics } from 'node:v8';

/** Limits of one replica, in bytes. */
export interface ReplicaLimits {
  /** Log entries kept in memory; entries beyond it are read from disk when they are needed. */
  readonly cachedLogBytes: number;
  /** Size of the log since the last snapshot at which the next snapshot is due, unless the state itself is larger. */
  readonly logBytes: number;
  /** Entries of one append request, and one part of a snapshot. A single larger entry is sent alone. */
  readonly messageBytes: number;
  /** Entries sent to one peer and not yet acknowledged. */
  readonly inFlightBytes: number;
  /** Messages and proposals queued while the disk is busy. */
  readonly queuedBytes: number;
  /** Entries that a leader has appended and not yet committed. */
  readonly uncommittedBytes: number;
  /** The replicated state. A change that would make it larger is refused. */
  readonly stateBytes: number;
  /** One change by an operator. */
  readonly changeBytes: number;
  /** Changes retained for watchers that reconnect. */
  readonly retainedChangeBytes: number;
  /** Bytes queued for one watcher; a slower one is disconnected and starts again from a full table. */
  readonly watcherQueueBytes: number;
}

const MIB = 1024 * 1024;

/** Memory in bytes that a process may use where the machine's memory is not known. */
const DEFAULT_MEMORY_BYTES = 256 * MIB;

/** Part of a process's memory that its heap may take; a heap limit stands for this part of the memory. */
const HEAP_SHARE = 0.5;

const MIN_MESSAGE_BYTES = 64 * 1024;
const MAX_MESSAGE_BYTES = MIB;

/**
 * Maximum sizes of a change and of the state, whatever the memory. An entry holds a change as its text, with escapes, and as its
 * definitions; an entry, and the table of the state that a watcher receives, must fit one frame of `MAX_FRAME_BYTES`.
 */
const MAX_CHANGE_BYTES = 8 * MIB;
const MAX_STATE_BYTES = 16 * MIB;

/** Number of full messages that may be on their way to one peer. */
const MESSAGES_IN_FLIGHT = 4;

/**
 * Returns the limits for a process.
 *
 * @param machineBytes memory of the machine in bytes; null if it is not known
 * @param heapLimitBytes limit of the process's heap in bytes
 */
export function replicaLimits(machineBytes: number | null, heapLimitBytes = Infinity): ReplicaLimits {
  const memoryBytes = Math.min(machineBytes ?? DEFAULT_MEMORY_BYTES, heapLimitBytes / HEAP_SHARE);
  const share = (part: number): number => Math.floor(memoryBytes / part);
  const messageBytes = Math.min(Math.max(share(1024), MIN_MESSAGE_BYTES), MAX_MESSAGE_BYTES);
  return {
    cachedLogBytes: share(32),
    logBytes: share(32),
    messageBytes,
    inFlightBytes: messageBytes * MESSAGES_IN_FLIGHT,
    queuedBytes: share(32),
    uncommittedBytes: share(32),
    stateBytes: Math.min(share(32), MAX_STATE_BYTES),
    changeBytes: Math.min(share(64), MAX_CHANGE_BYTES),
    retainedChangeBytes: share(64),
    watcherQueueBytes: share(32),
  };
}

/** Returns the limits for this process. `machineBytes` is the memory of the machine in bytes; null if it is not known. */
export function processReplicaLimits(machineBytes: number | null): ReplicaLimits {
  return replicaLimits(machineBytes, getHeapStatistics().heap_size_limit);
}
