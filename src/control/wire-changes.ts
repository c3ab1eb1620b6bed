/** Wire format of published changes, with packed shard rows. */
import { packRows, type PackedRows } from '../model/packed-rows.js';
import type { Change } from './changes.js';

type UnpackedChange = Exclude<Change, { kind: 'shards' }>;

/** A published change in wire format. */
export type WireChange = UnpackedChange | { readonly kind: 'shards'; readonly rows: PackedRows };

/** Encodes changes for sending. */
export function encodeChanges(changes: readonly Change[]): WireChange[] {
  return changes.map((change) => {
    if (change.kind !== 'shards') return change;
    const rows = change.shards.map(({ row }) => row);
    return { kind: 'shards', rows: packRows(change.service, rows) };
  });
}
