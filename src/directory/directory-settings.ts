/** Settings of a directory replica. */
import type { SocketAddress } from '../model/socket-address.js';

/** What a directory replica is told when it starts. Times are in ms. */
export interface DirectorySettings {
  readonly listen: SocketAddress;
  /** Where replicas and daemons reach `listen`; as `host:port` it is the name of this replica. */
  readonly advertised: SocketAddress;
  readonly zone: string;
  /** The only folder that is written to. */
  readonly dataFolder: string;
  /** Addresses of replicas to begin with; they may be stale. */
  readonly seeds: readonly string[];
  /** Whether this is the very first start of the whole deployment. */
  readonly firstStart: boolean;
  /** Replicas whose disks may be lost at once. */
  readonly toleratedLosses: number;
  /** Time for which a renewed lease of a back end is good. */
  readonly leaseTermMs: number;
  readonly timing: DirectoryTiming;
}

/** Timing of a directory replica, in ms. */
export interface DirectoryTiming {
  readonly heartbeatMs: number;
  /** Time without a leader before an election; at least three heartbeats. */
  readonly electionTimeoutMs: number;
  /** Pause between runs of the leader's duties. */
  readonly dutyIntervalMs: number;
  /** Applied entries after which a snapshot replaces the log. */
  readonly snapshotEveryEntries: number;
}

/** Timing that suits machines within a few ms of each other. */
export const DEFAULT_DIRECTORY_TIMING: DirectoryTiming = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
  dutyIntervalMs: 100,
  snapshotEveryEntries: 2_048,
};

/** Part of a lease by which two clocks may differ over its length, with room for a slow turn of the holder. */
export const LEASE_DRIFT_SHARE = 0.03;
