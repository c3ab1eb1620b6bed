/** Settings of a sidecar daemon. Times are in ms. */
import type { GrantMode } from '../directory/directory-state.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { ColdStartBound } from './cold-start-limit.js';
import type { HeaderDialect } from './header-dialect.js';
import type { RetryBudget } from './retry-allowance.js';

/** Settings of one sidecar. */
export interface SidecarSettings {
  /** Name of the daemon; unique within a deployment. */
  readonly name: string;
  readonly zone: string;
  /** Listen address for HTTP requests of callers on this machine. */
  readonly callers: SocketAddress;
  /** Listen address for requests forwarded by other daemons. */
  readonly links: SocketAddress;
  /** Address at which other daemons reach `links`; differs from it behind a relay. */
  readonly advertisedLinks: SocketAddress;
  /** Local IP address for outgoing connections to other daemons; null lets the system choose. */
  readonly dialFrom: string | null;
  /** Listen address of the back end on this machine. */
  readonly backend: SocketAddress;
  /** Service of that back end; requests received here count as sent by this service. */
  readonly service: string;
  /** Initial addresses of directory replicas. */
  readonly seeds: readonly string[];
  /** Grant mode used unless the configuration specifies one. */
  readonly grantMode: GrantMode;
  /** Maximum duration of a key grant. */
  readonly holdMs: number;
  /** Time after a back end announces that it leaves during which it may still receive requests. */
  readonly drainMs: number;
  /** Maximum duration of a shutdown. */
  readonly graceMs: number;
  /** Retry budget of one service, shared by all daemons. */
  readonly retryBudget: RetryBudget;
  /** How far requests to a cold back end may exceed its cold-start capacity. */
  readonly coldStartBound: ColdStartBound;
  /** Time after an evacuation is acknowledged during which its back ends may still receive requests. */
  readonly evacuationMs: number;
  readonly dialect: HeaderDialect;
  /** Bandwidth of this machine's network link in each direction, in bytes per ms; Infinity if unknown. */
  readonly linkBytesPerMs: number;
}
