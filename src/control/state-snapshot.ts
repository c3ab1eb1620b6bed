/** The replicated state as plain data, for snapshots on disk and for daemons that need the whole table. */
import { decodeRows, encodeRows, plainColumns, type ShardColumns } from '../model/shard-columns.js';
import type { ConfigurationRevision, ControlState, Session, SubmissionRecord } from './control-state.js';

/** The whole state as plain data. */
export interface StateSnapshot {
  readonly configuration: ConfigurationRevision;
  readonly submissions: readonly SubmissionRecord[];
  readonly sessions: readonly Session[];
  readonly draining: readonly string[];
  readonly shards: readonly ShardColumns[];
}

/** Writes the state as plain data. */
export function encodeState(state: ControlState): StateSnapshot {
  return {
    configuration: state.configuration,
    submissions: [...state.submissions],
    sessions: [...state.sessions.values()],
    draining: [...state.draining],
    shards: [...state.shards].map(([service, rows]) => encodeRows(service, rows)),
  };
}

/** The same as JSON can hold it. */
export function plainSnapshot(snapshot: StateSnapshot): StateSnapshot {
  return { ...snapshot, shards: snapshot.shards.map(plainColumns) };
}

/** Reads a state written by `encodeState`. */
export function decodeState(snapshot: StateSnapshot): ControlState {
  return {
    configuration: snapshot.configuration,
    submissions: [...snapshot.submissions],
    sessions: new Map(snapshot.sessions.map((session) => [session.id, session])),
    draining: new Set(snapshot.draining),
    shards: new Map(snapshot.shards.map((columns) => [columns.service, decodeRows(columns)])),
  };
}
