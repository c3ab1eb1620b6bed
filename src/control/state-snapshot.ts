/** The replicated state as plain data, for snapshots on disk and for daemons that need the whole table. */
import { packRows, unpackRows, type PackedRows } from '../model/packed-rows.js';
import { isWatched, type CrashRecord } from '../quarantine/crash-records.js';
import { ServiceShards } from './service-shards.js';
import type { ShardRow } from '../model/shard.js';
import type { ConfigurationRevision, ControlState, Session, SubmissionRecord } from './control-state.js';

/** The whole state as plain data. */
export interface StateSnapshot {
  readonly configuration: ConfigurationRevision;
  readonly submissions: readonly SubmissionRecord[];
  readonly sessions: readonly Session[];
  /** Missing in snapshots of versions that could not evacuate zones, where it is the same as `draining`. */
  readonly drained?: readonly string[];
  /** Missing in snapshots of versions that knew none. */
  readonly evacuatedZones?: readonly string[];
  readonly draining: readonly string[];
  readonly shards: readonly PackedRows[];
  /** Missing in snapshots of versions that knew none. */
  readonly crashRecords?: readonly CrashRecord[];
}

/** Writes the state as plain data. */
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

/** The state as JSON holds it, for operators and tools. */
export interface StateDocument extends Omit<StateSnapshot, 'shards'> {
  readonly shards: readonly { readonly service: string; readonly rows: readonly ShardRow[] }[];
  /** Requests a second by service and shard, as the leader was told. */
  readonly loads: readonly ServiceLoads[];
}

/** Requests a second by shard of one service. */
export interface ServiceLoads {
  readonly service: string;
  readonly rates: readonly (readonly [shard: number, rate: number])[];
}

/** Writes the state for JSON. */
export function describeState(state: ControlState, loads: readonly ServiceLoads[]): StateDocument {
  const shards = [...state.shards].map(([service, { rows }]) => ({ service, rows }));
  return { ...encodeState(state), shards, loads };
}

/** Reads a state written by `encodeState`. */
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

/** The state as daemons that watch everything need it. */
export function encodeForWatchers(state: ControlState): StateSnapshot {
  const snapshot = encodeState(state);
  return { ...snapshot, submissions: [], crashRecords: (snapshot.crashRecords ?? []).filter(isWatched) };
}
