/**
 * What a replica holds in memory and on disk, and what it waits for. Sizes of entries are chosen by others, so that only sizes in
 * bytes tell a log that grows from a peer that is behind and from a disk that stalls.
 */
import type { RaftRole } from './raft-types.js';
import { replicaName } from './raft-types.js';
import type { Replica } from './replica.js';
import { inFlightBytes, type PeerProgress, type ReplicationMode } from './replication-progress.js';

/** How a leader sends its log to one peer. */
export interface PeerUsage {
  /** Name of the peer. */
  readonly peer: string;
  /** Last index known to be durable at the peer. */
  readonly match: number;
  /** Index of the next entry to send. */
  readonly next: number;
  /** Entries that were sent and are not acknowledged. */
  readonly inFlight: number;
  /** Approximate size of their batches in bytes. */
  readonly inFlightBytes: number;
  readonly mode: ReplicationMode;
  /** Time since the peer's last answer, in ms. */
  readonly silentMs: number;
}

/** Sizes in bytes, times in ms. */
export interface ReplicaUsage {
  readonly role: RaftRole;
  readonly term: number;
  readonly lastIndex: number;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  /** Entries since the last snapshot. */
  readonly logEntries: number;
  /** Those of them whose content is in memory. */
  readonly logMemoryBytes: number;
  readonly logDiskBytes: number;
  /** Events that wait for the batch in progress, and the messages and proposals among them. */
  readonly queuedEvents: number;
  readonly queuedBytes: number;
  /** Time for which the disk has delayed the batch in progress; 0 without one. */
  readonly diskDelayMs: number;
  /** Bytes of a snapshot that have been received from the leader so far. */
  readonly receivedSnapshotBytes: number;
  /** Progress of the peers; empty unless this replica leads. */
  readonly peers: readonly PeerUsage[];
}

/** Reads the usage of a replica. */
export function readReplicaUsage(replica: Replica, nowMs: number): ReplicaUsage {
  const { core, appliedIndex, diskDelayMs } = replica;
  const { role, term, lastIndex, commitIndex } = core;
  return {
    role,
    term,
    lastIndex,
    commitIndex,
    appliedIndex,
    logEntries: lastIndex - replica.snapshotIndex,
    logMemoryBytes: core.cachedLogBytes,
    logDiskBytes: replica.logBytes,
    queuedEvents: replica.queuedEvents,
    queuedBytes: replica.queuedBytes,
    diskDelayMs: Math.round(diskDelayMs),
    receivedSnapshotBytes: core.receivedSnapshotBytes,
    peers: peersOf(replica, nowMs),
  };
}

function peersOf({ id, core }: Replica, nowMs: number): PeerUsage[] {
  const { voters, learners } = core.membership;
  return [...voters, ...learners].flatMap((peer) => {
    const progress = peer === id ? undefined : core.peerProgress(peer);
    return progress === undefined ? [] : [peerUsage(replicaName(peer), progress, nowMs)];
  });
}

function peerUsage(peer: string, progress: Readonly<PeerProgress>, nowMs: number): PeerUsage {
  const { matchIndex: match, nextIndex: next, lastAnswerMs, mode } = progress;
  return {
    peer,
    match,
    next,
    inFlight: Math.max(0, next - 1 - match),
    inFlightBytes: inFlightBytes(progress),
    mode,
    silentMs: Math.round(nowMs - lastAnswerMs),
  };
}
