/** Settings of a sidecar daemon. Times are in ms. */
import type { GrantMode } from '../directory/directory-state.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { ColdStartBound } from './cold-start-limit.js';
import type { HeaderDialect } from './header-dialect.js';
import type { RetryBudget } from './retry-allowance.js';

/** What a sidecar is told when it starts. */
export interface SidecarSettings {
  /** Unique among the daemons of a deployment. */
  readonly name: string;
  readonly zone: string;
  /** Where callers on this machine connect, over HTTP. */
  readonly callers: SocketAddress;
  /** Where other daemons pass requests on. */
  readonly links: SocketAddress;
  /** Where they reach `links`, which differs behind a relay. */
  readonly advertisedLinks: SocketAddress;
  /** Local IP address to dial other daemons from; null leaves that to the system. */
  readonly dialFrom: string | null;
  /** Where the back end on this machine listens. */
  readonly backend: SocketAddress;
  /** Service of that back end; requests that begin here come from it. */
  readonly service: string;
  /** Addresses of directory replicas to begin with. */
  readonly seeds: readonly string[];
  /** How keys are granted where the configuration does not say. */
  readonly grantMode: GrantMode;
  /** Longest time for which the back end is granted keys. */
  readonly holdMs: number;
  /** Time after a back end said that it leaves, in which it may still be sent requests. */
  readonly drainMs: number;
  /** Time that a stop may take. */
  readonly graceMs: number;
  /** Retry budget of one service, shared by all daemons. */
  readonly retryBudget: RetryBudget;
  /** By how much the requests to a cold back end may exceed what it bears. */
  readonly coldStartBound: ColdStartBound;
  /** Time after an evacuation was acknowledged in which its back ends may still be sent requests. */
  readonly evacuationMs: number;
  readonly dialect: HeaderDialect;
  /** What the network link of this machine carries each way, in bytes per ms; infinite where it is not known. */
  readonly linkBytesPerMs: number;
}
