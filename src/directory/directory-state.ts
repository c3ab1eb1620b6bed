/**
 * The replicated state of a directory: configuration items, registered back ends, and the key ranges that they own.
 * Changed only by committed commands (`directory-commands.ts`).
 */

import { isWatched, type CrashRecord, type CrashRecords } from '../quarantine/crash-records.js';

/** Kind of a route's requests: safe requests may run more than once, all others at most once. */
export type RequestKind = 'safe' | 'non-idempotent' | 'download';

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests, relative to the sum of the route's weights. */
  readonly weight: number;
}

/** Matches requests and defines their destinations and limits. */
export interface RouteDefinition {
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Maximum time in ms for which a request is held. */
  readonly timeoutMs: number;
  /** Target latency in ms; answers within it have full value. */
  readonly targetLatencyMs: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of back ends to which one request may be sent. */
  readonly maxAttempts: number;
  readonly destinations: readonly WeightedService[];
}

/** How keys are granted to a back end: in the answers to its heartbeats, or by calls to it. */
export type GrantMode = 'heartbeat' | 'invoke';

/** Reduced capacity of a service's back ends after a start. */
export interface ColdStart {
  /** Time in ms after its start for which a back end is cold. */
  readonly durationMs: number;
  /** Requests per second that a cold back end sustains. */
  readonly requestsPerSecond: number;
}

/** A service whose back ends register themselves. */
export interface ServiceDefinition {
  /** Maximum number of connections that one back end accepts. */
  readonly maxConnections: number;
  /** Whether the service's state is partitioned by key. */
  readonly keyed: boolean;
  /** How keys are granted; null when the daemon's settings decide. */
  readonly grantMode: GrantMode | null;
  /** Null when cold back ends sustain the full load, or when not configured. */
  readonly coldStart: ColdStart | null;
  /** Path at which a back end reports its identity; null when it has none. */
  readonly healthPath: string | null;
}

/** Limits on client requests and connections. */
export interface LimitsDefinition {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Kinds of configuration items. */
export type ItemKind = 'route' | 'service' | 'limits';

interface ItemBase {
  readonly name: string;
  readonly version: number;
  /** The item as written by the operator, to be read back; null when the item was dropped. */
  readonly source: string | null;
}

/** A configuration item. A dropped item keeps its version, so that an older version cannot restore it. */
export type ConfigurationItem =
  | (ItemBase & { readonly kind: 'route'; readonly definition: RouteDefinition | null })
  | (ItemBase & { readonly kind: 'service'; readonly definition: ServiceDefinition | null })
  | (ItemBase & { readonly kind: 'limits'; readonly definition: LimitsDefinition | null });

/** Whether a back end accepts new requests. */
export type BackendCondition = 'ready' | 'draining';

/** One incarnation of a back end, as registered by its daemon. */
export interface BackendInstance {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Address of its sidecar for requests, as `host:port`. */
  readonly daemonAddress: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly condition: BackendCondition;
  /** Software version that it reports; empty when it reports none. */
  readonly version: string;
  /** Index of the log entry that registered it; the ranges that it owns carry the same number. */
  readonly session: number;
  /**
   * Id of the daemon process that holds the registration. A process that starts in place of another takes the
   * registration over with its session. Missing when registered by a program version that did not state it.
   */
  readonly holder?: string | undefined;
}

/**
 * Whether a command of a daemon process comes from the process that holds a registration. True for a registration whose
 * holder is not known.
 */
export function isFromHolder(known: BackendInstance | undefined, process: string | undefined): boolean {
  return known?.holder === undefined || known.holder === process;
}

/** The smallest key. */
export const FIRST_KEY = 0;
/** The largest key. */
export const LAST_KEY = 65_535;

/** A range of keys, both ends inclusive, and its ownership. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
  /** Id of the owning back end; null while the range is unowned. */
  readonly owner: string | null;
  /** Session of the owner at the time of the assignment. */
  readonly session: number;
  /** Fencing token; rises with every change of owner. */
  readonly fence: number;
  /** Id of the back end to which the range is moving; null when no move is in progress. */
  readonly movingTo: string | null;
  /** Handover data of the last owner for the next one; empty when there is none. */
  readonly handover: string;
}

/** An accepted configuration change, retained so that a resend gets the same answer. */
export interface AcceptedRevision {
  /** Version of the whole configuration, or the newest version among the change's items. */
  readonly version: number;
  /** Digest of the call's content. */
  readonly digest: string;
}

/** The complete replicated state. */
export interface DirectoryState {
  /** Configuration items by `itemKey`. */
  readonly items: Map<string, ConfigurationItem>;
  /** Version of the configuration as a whole; stays 0 when items are versioned individually. */
  revision: number;
  /** Whether any configuration has been accepted. */
  configured: boolean;
  /** Recently accepted changes, oldest first. */
  accepted: AcceptedRevision[];
  /** Registered back ends by id. */
  readonly instances: Map<string, BackendInstance>;
  /** Key ranges by service, in key order and without gaps. */
  readonly ranges: Map<string, readonly KeyRange[]>;
  /** Zones whose back ends receive no requests. */
  readonly evacuatedZones: Set<string>;
  /** Requests during which back ends have ended, by fingerprint. */
  readonly crashRecords: CrashRecords;
}

/** Returns the state before the first command. */
export function emptyDirectoryState(): DirectoryState {
  return {
    items: new Map(),
    revision: 0,
    configured: false,
    accepted: [],
    instances: new Map(),
    ranges: new Map(),
    evacuatedZones: new Set(),
    crashRecords: new Map(),
  };
}

/** Returns the key of an item in `DirectoryState.items`. */
export function itemKey(kind: ItemKind, name: string): string {
  return `${kind}/${name}`;
}

/** Returns the definition of a service; null when it is unknown or was dropped. */
export function serviceDefinition(
  items: ReadonlyMap<string, ConfigurationItem>,
  name: string,
): ServiceDefinition | null {
  const item = items.get(itemKey('service', name));
  return item?.kind === 'service' ? item.definition : null;
}

/** The state as plain data, for snapshots and for watching daemons. */
export interface DirectorySnapshot {
  readonly items: readonly ConfigurationItem[];
  readonly revision: number;
  readonly configured: boolean;
  readonly accepted: readonly AcceptedRevision[];
  readonly instances: readonly BackendInstance[];
  readonly ranges: readonly ServiceRanges[];
  /** Missing in snapshots written by versions without evacuations. */
  readonly evacuatedZones?: readonly string[];
  /** Missing in snapshots written by versions without crash records. */
  readonly crashRecords?: readonly CrashRecord[];
}

/** The key ranges of one service. */
export interface ServiceRanges {
  readonly service: string;
  readonly ranges: readonly KeyRange[];
}

/** Converts the state to plain data. */
export function encodeDirectory(state: DirectoryState): DirectorySnapshot {
  return {
    items: [...state.items.values()],
    revision: state.revision,
    configured: state.configured,
    accepted: [...state.accepted],
    instances: [...state.instances.values()],
    ranges: [...state.ranges].map(([service, ranges]) => ({ service, ranges })),
    evacuatedZones: [...state.evacuatedZones],
    crashRecords: [...state.crashRecords.values()],
  };
}

/** Restores the state from the output of `encodeDirectory`. */
export function decodeDirectory(snapshot: DirectorySnapshot): DirectoryState {
  return {
    items: new Map(snapshot.items.map((item) => [itemKey(item.kind, item.name), item])),
    revision: snapshot.revision,
    configured: snapshot.configured,
    accepted: [...snapshot.accepted],
    instances: new Map(snapshot.instances.map((instance) => [instance.id, withDefaultVersion(instance)])),
    ranges: new Map(snapshot.ranges.map(({ service, ranges }) => [service, ranges])),
    evacuatedZones: new Set(snapshot.evacuatedZones ?? []),
    crashRecords: new Map((snapshot.crashRecords ?? []).map((record) => [record.fingerprint, record])),
  };
}

/** Returns the part of a snapshot that watching daemons need. */
export function forWatchers(snapshot: DirectorySnapshot): DirectorySnapshot {
  const crashRecords = (snapshot.crashRecords ?? []).filter(isWatched);
  return { ...snapshot, accepted: [], crashRecords };
}

/** Adds the empty version to registrations made by program versions that did not record one. */
function withDefaultVersion(instance: BackendInstance & { readonly version?: string }): BackendInstance {
  return { ...instance, version: instance.version ?? '' };
}
