/** Published changes as they travel to daemons: rows of shards packed. */
import { packRows, type PackedRows } from '../model/packed-rows.js';
import type { Change } from './changes.js';

type OtherChange = Exclude<Change, { kind: 'shards' }>;

/** A published change on its way. */
export type WireChange = OtherChange | { readonly kind: 'shards'; readonly rows: PackedRows };

/** Writes changes for sending. */
export function encodeChanges(changes: readonly Change[]): WireChange[] {
  return changes.map((change) => {
    if (change.kind !== 'shards') return change;
    const rows = change.shards.map(({ row }) => row);
    return { kind: 'shards', rows: packRows(change.service, rows) };
  });
}
