/**
 * Shard rows of one service with an index by back end, so that the cost of a recovery depends on the number of lost
 * shards and not on the size of the table.
 */
import type { ShardRow } from '../model/shard.js';

/** Shard rows of one service. */
export class ServiceShards {
  private readonly present: ShardRow[];
  private readonly shardsByBackend = new Map<string, Set<number>>();

  constructor(rows: readonly ShardRow[]) {
    this.present = [...rows];
    for (const row of rows) this.addToIndex(row);
  }

  /** All rows, indexed by shard number. */
  get rows(): readonly ShardRow[] {
    return this.present;
  }

  /** Returns the row of a shard. */
  get(shard: number): ShardRow | undefined {
    return this.present[shard];
  }

  /** Replaces a row. */
  set(row: ShardRow): void {
    const previous = this.present[row.shard];
    this.present[row.shard] = row;
    if (previous !== undefined) this.forget(previous, row);
    this.addToIndex(row);
  }

  /** Returns the shards that a back end owns or that are moving to it, in ascending order. */
  shardsInvolving(backend: string): readonly number[] {
    return [...(this.shardsByBackend.get(backend) ?? [])].sort((left, right) => left - right);
  }

  private addToIndex({ shard, owner, movingTo }: ShardRow): void {
    for (const backend of [owner, movingTo]) {
      if (backend === null) continue;
      const shards = this.shardsByBackend.get(backend) ?? new Set();
      this.shardsByBackend.set(backend, shards);
      shards.add(shard);
    }
  }

  private forget(previous: ShardRow, next: ShardRow): void {
    for (const backend of [previous.owner, previous.movingTo]) {
      if (backend === null || backend === next.owner || backend === next.movingTo) continue;
      const shards = this.shardsByBackend.get(backend);
      shards?.delete(previous.shard);
      if (shards?.size === 0) this.shardsByBackend.delete(backend);
    }
  }
}
