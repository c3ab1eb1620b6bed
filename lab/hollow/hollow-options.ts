/** Size and settings of a hollow fleet, and the messages between its driver and its hosts. */
import type { NamedAddress } from '../../src/config/daemon-settings.js';
import type { SocketAddress } from '../../src/model/socket-address.js';

/** What a hollow fleet consists of. */
export interface HollowOptions {
  /** Control replicas, routers and agents together. */
  readonly daemons: number;
  readonly shards: number;
  /** Length of the measured stretch, in seconds. */
  readonly seconds: number;
  readonly seed: number;
  readonly folder: string;
  /** Path of the `aldertide` program. */
  readonly program: string;
}

/** One hollow agent and the back end that it stands beside. */
export interface HollowAgent {
  readonly name: string;
  readonly zone: string;
  readonly service: string;
  readonly backend: string;
  readonly listen: SocketAddress;
}

/** One hollow router. */
export interface HollowRouter {
  readonly name: string;
  readonly zone: string;
}

/** What one host process holds. */
export interface HollowHostSettings {
  readonly token: string;
  readonly control: readonly NamedAddress[];
  readonly agents: readonly HollowAgent[];
  readonly routers: readonly HollowRouter[];
  readonly renewIntervalMs: number;
  readonly seed: number;
  /** Requests a second that a shard gets when it is not hot. */
  readonly requestsPerShard: number;
}

/** Shards that are hot from now on, for the services that change. */
export type HotShards = readonly (readonly [service: string, shards: readonly number[]])[];

/** From the driver to a host. */
export type HollowRequest =
  | { readonly kind: 'start'; readonly settings: HollowHostSettings }
  /** An agent and its back end die without a word. */
  | { readonly kind: 'fail'; readonly backend: string }
  /** They start again. */
  | { readonly kind: 'revive'; readonly backend: string }
  | { readonly kind: 'shift'; readonly hot: HotShards }
  | { readonly kind: 'read' };

/** A configuration revision came into force at a daemon. Times are ms of the machine's monotonic clock. */
export interface RevisionSeen {
  readonly daemon: string;
  readonly revision: number;
  readonly atMs: number;
}

/** All shards of a session that ended are owned by others, as one router sees it. */
export interface LossRepaired {
  readonly router: string;
  readonly backend: string;
  readonly session: number;
  readonly atMs: number;
}

/** Grants were installed at a hollow back end. */
export interface GrantsInstalled {
  readonly service: string;
  readonly shards: readonly number[];
  readonly atMs: number;
}

/** An agent and its back end were made to fail while these shards were granted. */
export interface BackendFailed {
  readonly service: string;
  readonly backend: string;
  readonly shards: readonly number[];
  readonly atMs: number;
}

/** What a host has counted since it started. */
export interface HollowReading {
  readonly role: 'agents' | 'routers';
  readonly daemons: number;
  /** Sessions that are open now. */
  readonly sessions: number;
  /** Routers that hold a table now. */
  readonly tables: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly cpuMicroseconds: number;
  readonly memoryBytes: number;
  readonly atMs: number;
  readonly revisions: readonly RevisionSeen[];
  readonly repairs: readonly LossRepaired[];
  readonly grants: readonly GrantsInstalled[];
  readonly failures: readonly BackendFailed[];
  /** Shards granted now, over all back ends. */
  readonly grantedShards: number;
}

/** From a host to the driver. */
export type HollowAnswer =
  { readonly kind: 'started' } | { readonly kind: 'reading'; readonly reading: HollowReading };
