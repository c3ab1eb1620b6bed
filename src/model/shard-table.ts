/** Rows of one service in typed arrays: a row takes 33 bytes, so that a whole table fits in a few megabytes. */
import type { ShardRow } from './shard.js';
import { NamePositions } from './packed-rows.js';

const FIRST_CAPACITY = 64;

/** Names take positions from 1 on; 0 stands for none. */
const NO_NAME = 0;

/** A table of rows by shard number. */
export class ShardTable {
  private readonly names = new NamePositions();
  private readonly shards: number[] = [];
  private known = new Uint8Array(0);
  private epochs = new Uint32Array(0);
  private owners = new Uint32Array(0);
  private sessions = new Uint32Array(0);
  private movingTo = new Uint32Array(0);
  private moveIds = new Uint32Array(0);
  private freshAfterMs = new Float64Array(0);

  /** Number of rows that were set. */
  get size(): number {
    return this.shards.length;
  }

  /** Sets a row. */
  set(row: ShardRow): void {
    const { shard } = row;
    this.ensureCapacity(shard + 1);
    if (this.known[shard] === 0) {
      this.known[shard] = 1;
      this.shards.push(shard);
    }
    this.epochs[shard] = row.epoch;
    this.owners[shard] = this.positionOf(row.owner);
    this.sessions[shard] = row.session;
    this.movingTo[shard] = this.positionOf(row.movingTo);
    this.moveIds[shard] = row.moveId;
    this.freshAfterMs[shard] = row.freshAfterMs;
  }

  /** Row of a shard, or undefined when it was never set. */
  get(shard: number): ShardRow | undefined {
    if (this.known[shard] !== 1) return undefined;
    return {
      shard,
      epoch: this.epochs[shard] ?? 0,
      owner: this.nameAt(this.owners[shard]),
      session: this.sessions[shard] ?? 0,
      movingTo: this.nameAt(this.movingTo[shard]),
      moveId: this.moveIds[shard] ?? 0,
      freshAfterMs: this.freshAfterMs[shard] ?? 0,
    };
  }

  /** All rows, in the order in which they were first set. */
  *rows(): IterableIterator<ShardRow> {
    for (const shard of this.shards) {
      const row = this.get(shard);
      if (row !== undefined) yield row;
    }
  }

  private positionOf(name: string | null): number {
    return name === null ? NO_NAME : this.names.of(name) + 1;
  }

  private nameAt(position: number | undefined): string | null {
    return this.names.names[(position ?? NO_NAME) - 1] ?? null;
  }

  private ensureCapacity(needed: number): void {
    if (needed <= this.known.length) return;
    const capacity = Math.max(FIRST_CAPACITY, needed, Math.ceil(this.known.length * 1.5));
    this.known = grown(new Uint8Array(capacity), this.known);
    this.epochs = grown(new Uint32Array(capacity), this.epochs);
    this.owners = grown(new Uint32Array(capacity), this.owners);
    this.sessions = grown(new Uint32Array(capacity), this.sessions);
    this.movingTo = grown(new Uint32Array(capacity), this.movingTo);
    this.moveIds = grown(new Uint32Array(capacity), this.moveIds);
    this.freshAfterMs = grown(new Float64Array(capacity), this.freshAfterMs);
  }
}

interface Settable {
  set(values: ArrayLike<number>): void;
}

function grown<T extends Settable>(larger: T, values: ArrayLike<number>): T {
  larger.set(values);
  return larger;
}
