/** Rows that concern one back end; others are forgotten, so that the cost does not grow with what it once held. */
import { unpackRows, type PackedRows } from './packed-rows.js';
import type { ShardRow } from './shard.js';

/** Rows of one service as the agent of one back end needs them. */
export class ScopedRows {
  private readonly present = new Map<number, ShardRow>();

  constructor(private readonly backend: string) {}

  /** Takes rows; those that do not concern the back end any more are forgotten. */
  setPacked(packed: PackedRows): void {
    for (const row of unpackRows(packed)) {
      if (row.owner === this.backend || row.movingTo === this.backend) this.present.set(row.shard, row);
      else this.present.delete(row.shard);
    }
  }

  /** Row of a shard that concerns the back end. */
  get(shard: number): ShardRow | undefined {
    return this.present.get(shard);
  }

  /** All rows that concern the back end. */
  rows(): IterableIterator<ShardRow> {
    return this.present.values();
  }
}
