/** Serialization of the replicated state, for snapshots on disk and for daemons that need the whole table. */
import { packRows, unpackRows, type PackedRows } from '../model/packed-rows.js';
import { isWatched, type CrashRecord } from '../quarantine/crash-records.js';
import { ServiceShards } from './service-shards.js';
import type { ShardRow } from '../model/shard.js';
import type { ConfigurationRevision, ControlState, Session, SubmissionRecord } from './control-state.js';

/** The complete state as plain data. */
export interface StateSnapshot {
  readonly configuration: ConfigurationRevision;
  readonly submissions: readonly SubmissionRecord[];
  readonly sessions: readonly Session[];
  /** Absent in snapshots of versions without zone evacuation, where it equals `draining`. */
  readonly drained?: readonly string[];
  /** Absent in snapshots of versions without zone evacuation. */
  readonly evacuatedZones?: readonly string[];
  readonly draining: readonly string[];
  readonly shards: readonly PackedRows[];
  /** Absent in snapshots of versions without crash records. */
  readonly crashRecords?: readonly CrashRecord[];
}

/** Encodes the state as plain data. */
export function encodeState(state: ControlState): StateSnapshot {
  return {
    configuration: state.configuration,
    submissions: [...state.submissions],
    sessions: [...state.sessions.values()],
    drained: [...state.drained],
    evacuatedZones: [...state.evacuatedZones],
    draining: [...state.draining],
    shards: [...state.shards].map(([service, { rows }]) => packRows(service, rows)),
    crashRecords: [...state.crashRecords.values()],
  };
}

/** The state in a form suitable for JSON, for operators and tools. */
export interface StateDocument extends Omit<StateSnapshot, 'shards'> {
  readonly shards: readonly { readonly service: string; readonly rows: readonly ShardRow[] }[];
  /** Requests per second by service and shard, as reported to the leader. */
  readonly loads: readonly ServiceLoads[];
}

/** Requests per second by shard of one service. */
export interface ServiceLoads {
  readonly service: string;
  readonly rates: readonly (readonly [shard: number, rate: number])[];
}

/** Returns the state in a form suitable for JSON. */
export function describeState(state: ControlState, loads: readonly ServiceLoads[]): StateDocument {
  const shards = [...state.shards].map(([service, { rows }]) => ({ service, rows }));
  return { ...encodeState(state), shards, loads };
}

/** Decodes a state encoded by `encodeState`. */
export function decodeState(snapshot: StateSnapshot): ControlState {
  return {
    configuration: snapshot.configuration,
    submissions: [...snapshot.submissions],
    sessions: new Map(snapshot.sessions.map((session) => [session.id, session])),
    drained: new Set(snapshot.drained ?? snapshot.draining),
    evacuatedZones: new Set(snapshot.evacuatedZones ?? []),
    draining: new Set(snapshot.draining),
    shards: new Map(snapshot.shards.map((packed) => [packed.service, new ServiceShards(unpackRows(packed))])),
    crashRecords: new Map((snapshot.crashRecords ?? []).map((record) => [record.fingerprint, record])),
  };
}

/** Encodes the state for daemons that watch the whole state. */
export function encodeForWatchers(state: ControlState): StateSnapshot {
  const snapshot = encodeState(state);
  return { ...snapshot, submissions: [], crashRecords: (snapshot.crashRecords ?? []).filter(isWatched) };
}
