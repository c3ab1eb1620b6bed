/** Published changes as they travel to daemons: rows of shards packed. */
import { unpackRows, packRows, type PackedRows } from '../model/packed-rows.js';
import type { ShardRow } from '../model/shard.js';
import type { Change } from './changes.js';

type OtherChange = Exclude<Change, { kind: 'shards' }>;

/** A published change on its way. */
export type WireChange = OtherChange | { readonly kind: 'shards'; readonly rows: PackedRows };

/** A change as a daemon takes it. */
export type ReceivedChange =
  OtherChange | { readonly kind: 'shards'; readonly service: string; readonly rows: readonly ShardRow[] };

/** Writes changes for sending. */
export function encodeChanges(changes: readonly Change[]): WireChange[] {
  return changes.map((change) => {
    if (change.kind !== 'shards') return change;
    const rows = change.shards.map(({ row }) => row);
    return { kind: 'shards', rows: packRows(change.service, rows) };
  });
}

/** Reads changes that were received. */
export function decodeChanges(changes: readonly WireChange[]): ReceivedChange[] {
  return changes.map((change) => {
    if (change.kind !== 'shards') return change;
    return { kind: 'shards', service: change.rows.service, rows: unpackRows(change.rows) };
  });
}
