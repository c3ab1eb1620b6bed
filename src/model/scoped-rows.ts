/** Rows that concern one back end; others are discarded, so that the cost does not grow with shards held earlier. */
import { unpackRows, type PackedRows } from './packed-rows.js';
import type { ShardRow } from './shard.js';

/** Rows of one service that the agent of one back end needs: shards that it owns or is about to receive. */
export class ScopedRows {
  private readonly present = new Map<number, ShardRow>();

  constructor(private readonly backend: string) {}

  /** Updates rows; those that no longer concern the back end are discarded. */
  setPacked(packed: PackedRows): void {
    for (const row of unpackRows(packed)) {
      if (row.owner === this.backend || row.movingTo === this.backend) this.present.set(row.shard, row);
      else this.present.delete(row.shard);
    }
  }

  /** Returns the row of a shard; undefined if it does not concern the back end. */
  get(shard: number): ShardRow | undefined {
    return this.present.get(shard);
  }

  /** Returns all rows that concern the back end. */
  rows(): IterableIterator<ShardRow> {
    return this.present.values();
  }
}
