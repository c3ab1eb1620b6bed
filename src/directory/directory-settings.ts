/** Settings of a directory replica. */
import type { SocketAddress } from '../model/socket-address.js';

/** Settings of a directory replica. Times are in ms. */
export interface DirectorySettings {
  readonly listen: SocketAddress;
  /** Address at which replicas and daemons reach `listen`; as `host:port` it is the name of this replica. */
  readonly advertised: SocketAddress;
  readonly zone: string;
  /** Data folder; the replica writes nowhere else. */
  readonly dataFolder: string;
  /** Initial addresses of replicas; they may be stale. */
  readonly seeds: readonly string[];
  /** Whether this is the first start of the whole deployment. */
  readonly firstStart: boolean;
  /** Number of replicas whose disks may be lost at the same time. */
  readonly toleratedLosses: number;
  /** Term of a back end's lease. */
  readonly leaseTermMs: number;
  readonly timing: DirectoryTiming;
}

/** Timing of a directory replica, in ms. */
export interface DirectoryTiming {
  readonly heartbeatMs: number;
  /** Time without contact to a leader before an election; at least three heartbeats. */
  readonly electionTimeoutMs: number;
  /** Interval between runs of the leader's periodic tasks. */
  readonly leaderTaskIntervalMs: number;
  /** Number of applied entries after which a snapshot replaces the log. */
  readonly snapshotEveryEntries: number;
}

/** Default timing, for machines with a network latency of a few ms between them. */
export const DEFAULT_DIRECTORY_TIMING: DirectoryTiming = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
  leaderTaskIntervalMs: 100,
  snapshotEveryEntries: 2_048,
};

/**
 * Fraction by which the leader counts a lease longer than its holder does: allows for clock drift over the term and a
 * slow event loop turn at the holder.
 */
export const LEASE_DRIFT_ALLOWANCE = 0.03;
