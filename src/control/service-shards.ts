/** Rows of one service, and which of them concern a back end: recovery costs what was lost, not the whole table. */
import type { ShardRow } from '../model/shard.js';

/** Rows of one service. */
export class ServiceShards {
  private readonly present: ShardRow[];
  private readonly concerned = new Map<string, Set<number>>();

  constructor(rows: readonly ShardRow[]) {
    this.present = [...rows];
    for (const row of rows) this.note(row);
  }

  /** All rows; a row's place is its shard number. */
  get rows(): readonly ShardRow[] {
    return this.present;
  }

  /** Row of a shard. */
  get(shard: number): ShardRow | undefined {
    return this.present[shard];
  }

  /** Replaces a row. */
  set(row: ShardRow): void {
    const earlier = this.present[row.shard];
    this.present[row.shard] = row;
    if (earlier !== undefined) this.forget(earlier, row);
    this.note(row);
  }

  /** Shards that a back end owns or that are moving to it, in order. */
  concerning(backend: string): readonly number[] {
    return [...(this.concerned.get(backend) ?? [])].sort((left, right) => left - right);
  }

  private note({ shard, owner, movingTo }: ShardRow): void {
    for (const backend of [owner, movingTo]) {
      if (backend === null) continue;
      const shards = this.concerned.get(backend) ?? new Set();
      this.concerned.set(backend, shards);
      shards.add(shard);
    }
  }

  private forget(earlier: ShardRow, next: ShardRow): void {
    for (const backend of [earlier.owner, earlier.movingTo]) {
      if (backend === null || backend === next.owner || backend === next.movingTo) continue;
      const shards = this.concerned.get(backend);
      shards?.delete(earlier.shard);
      if (shards?.size === 0) this.concerned.delete(backend);
    }
  }
}
