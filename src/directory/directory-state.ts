/**
 * The replicated state of a directory: configuration items, back ends that registered themselves, and the ranges
 * of keys that they own. Changed only by committed commands (`directory-commands.ts`).
 */

import { isWatched, type CrashRecord, type CrashRecords } from '../quarantine/crash-records.js';

/** What may be done with a request: a safe one may run more than once, another at most once. */
export type RequestKind = 'safe' | 'non-idempotent' | 'download';

/** A service that takes part of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests, relative to the sum of the route's weights. */
  readonly weight: number;
}

/** Which requests go where. */
export interface RouteDefinition {
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a request is held, in ms. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full value, in ms. */
  readonly targetLatencyMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Most back ends that one request may go to. */
  readonly maxAttempts: number;
  readonly destinations: readonly WeightedService[];
}

/** How keys of a service are granted to a back end: in the answers to its heartbeats, or by calls to it. */
export type GrantMode = 'heartbeat' | 'invoke';

/** What a service says of the starts of its back ends. */
export interface ColdStart {
  /** Time in ms for which a back end is cold after it was started. */
  readonly durationMs: number;
  /** Requests a second that a cold back end bears. */
  readonly requestsPerSecond: number;
}

/** A service whose back ends register themselves. */
export interface ServiceDefinition {
  /** Connections that one back end accepts. */
  readonly maxConnections: number;
  /** Whether the service is divided by key. */
  readonly keyed: boolean;
  /** How keys are granted; null where the daemon's settings decide. */
  readonly grantMode: GrantMode | null;
  /** Null where cold back ends bear as much as others, or it is not said. */
  readonly coldStart: ColdStart | null;
  /** Path at which a back end tells who it is; null where it does not. */
  readonly healthPath: string | null;
}

/** What clients may send. */
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
  /** The item as the operator wrote it, for reading it back; null when it was dropped. */
  readonly source: string | null;
}

/** One item of the configuration; a dropped one keeps its version, so that an older one cannot return. */
export type ConfigurationItem =
  | (ItemBase & { readonly kind: 'route'; readonly definition: RouteDefinition | null })
  | (ItemBase & { readonly kind: 'service'; readonly definition: ServiceDefinition | null })
  | (ItemBase & { readonly kind: 'limits'; readonly definition: LimitsDefinition | null });

/** Whether a back end takes new requests. */
export type BackendCondition = 'ready' | 'draining';

/** One life of a back end, as its daemon registered it. */
export interface BackendInstance {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Address of the daemon beside it, for requests, as `host:port`. */
  readonly daemonAddress: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly condition: BackendCondition;
  /** Version of its software, as it tells; empty where it does not. */
  readonly version: string;
  /** Index of the log entry that registered it; ranges that it owns carry the same number. */
  readonly session: number;
}

/** Smallest and largest key. */
export const FIRST_KEY = 0;
/** The largest key. */
export const LAST_KEY = 65_535;

/** A range of keys, both ends included, and who owns it. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
  /** Id of the owning back end; null while nobody owns the range. */
  readonly owner: string | null;
  /** Session under which the owner got it. */
  readonly session: number;
  /** Rises with every change of owner. */
  readonly fence: number;
  /** Id of the back end that it is to move to; null when no move is under way. */
  readonly movingTo: string | null;
  /** What the last owner left for the next one; empty when there is nothing. */
  readonly handover: string;
}

/** An accepted change of the configuration, kept so that a resend gets the same answer. */
export interface AcceptedRevision {
  /** Version of the whole, or the newest of the change's items. */
  readonly version: number;
  /** Digest of the call's content. */
  readonly digest: string;
}

/** Everything that is replicated. */
export interface DirectoryState {
  /** By `itemKey`. */
  readonly items: Map<string, ConfigurationItem>;
  /** Version of the configuration as a whole; stays 0 where items have versions of their own. */
  revision: number;
  /** Whether any configuration was accepted. */
  configured: boolean;
  /** Newest last. */
  accepted: AcceptedRevision[];
  /** By id. */
  readonly instances: Map<string, BackendInstance>;
  /** Ranges by service, in the order of keys, without gaps. */
  readonly ranges: Map<string, readonly KeyRange[]>;
  /** Zones whose back ends are to be sent nothing. */
  readonly evacuatedZones: Set<string>;
  /** Requests under which back ends have ended, by fingerprint. */
  readonly crashRecords: CrashRecords;
}

/** The state before the first command. */
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

/** Key of an item in the state. */
export function itemKey(kind: ItemKind, name: string): string {
  return `${kind}/${name}`;
}

/** Definition of a service that stands, or null. */
export function serviceDefinition(
  items: ReadonlyMap<string, ConfigurationItem>,
  name: string,
): ServiceDefinition | null {
  const item = items.get(itemKey('service', name));
  return item?.kind === 'service' ? item.definition : null;
}

/** The state as plain data, for snapshots and for daemons that watch. */
export interface DirectorySnapshot {
  readonly items: readonly ConfigurationItem[];
  readonly revision: number;
  readonly configured: boolean;
  readonly accepted: readonly AcceptedRevision[];
  readonly instances: readonly BackendInstance[];
  readonly ranges: readonly ServiceRanges[];
  /** Missing in snapshots of versions that knew no evacuations. */
  readonly evacuatedZones?: readonly string[];
  /** Missing in snapshots of versions that knew none. */
  readonly crashRecords?: readonly CrashRecord[];
}

/** The ranges of one service. */
export interface ServiceRanges {
  readonly service: string;
  readonly ranges: readonly KeyRange[];
}

/** Writes the state as plain data. */
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

/** Reads what `encodeDirectory` wrote. */
export function decodeDirectory(snapshot: DirectorySnapshot): DirectoryState {
  return {
    items: new Map(snapshot.items.map((item) => [itemKey(item.kind, item.name), item])),
    revision: snapshot.revision,
    configured: snapshot.configured,
    accepted: [...snapshot.accepted],
    instances: new Map(snapshot.instances.map((instance) => [instance.id, withVersion(instance)])),
    ranges: new Map(snapshot.ranges.map(({ service, ranges }) => [service, ranges])),
    evacuatedZones: new Set(snapshot.evacuatedZones ?? []),
    crashRecords: new Map((snapshot.crashRecords ?? []).map((record) => [record.fingerprint, record])),
  };
}

/** The part of a snapshot that daemons which watch need. */
export function forWatchers(snapshot: DirectorySnapshot): DirectorySnapshot {
  const crashRecords = (snapshot.crashRecords ?? []).filter(isWatched);
  return { ...snapshot, accepted: [], crashRecords };
}

/** Registrations of earlier versions of this program told no version. */
function withVersion(instance: BackendInstance & { readonly version?: string }): BackendInstance {
  return { ...instance, version: instance.version ?? '' };
}
