/** Shard rows of one service in typed arrays: a row takes 33 bytes, so that a whole table fits in a few megabytes. */
import type { ShardRow } from './shard.js';
import { CELL, CELLS_PER_ROW, HIGH_FACTOR, NamePositions, type PackedRows } from './packed-rows.js';

const INITIAL_CAPACITY = 64;

/** Value for "no name"; names have positions from 1 on. */
const NO_NAME = 0;

/** Table of shard rows, indexed by shard number. */
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

  /** Number of rows in the table. */
  get size(): number {
    return this.shards.length;
  }

  /** Sets rows cell by cell, which avoids one object per row: a table may have 120,000 rows. */
  setPacked({ cells, names }: PackedRows): void {
    const positions = Uint32Array.from(names, (name) => this.names.of(name) + 1);
    for (let at = 0; at < cells.length; at += CELLS_PER_ROW) {
      const shard = this.add(cells[at + CELL.shard] ?? 0);
      this.epochs[shard] = cells[at + CELL.epoch] ?? 0;
      this.owners[shard] = positions[cells[at + CELL.owner] ?? names.length] ?? NO_NAME;
      this.sessions[shard] = cells[at + CELL.session] ?? 0;
      this.movingTo[shard] = positions[cells[at + CELL.movingTo] ?? names.length] ?? NO_NAME;
      this.moveIds[shard] = cells[at + CELL.moveId] ?? 0;
      const high = cells[at + CELL.freshAfterHigh] ?? 0;
      this.freshAfterMs[shard] = high * HIGH_FACTOR + (cells[at + CELL.freshAfterLow] ?? 0);
    }
  }

  /** Returns the row of a shard, or undefined if it was never set. */
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

  /** Iterates over all rows in the order in which they were first set. */
  *rows(): IterableIterator<ShardRow> {
    for (const shard of this.shards) {
      const row = this.get(shard);
      if (row !== undefined) yield row;
    }
  }

  private add(shard: number): number {
    this.ensureCapacity(shard + 1);
    if (this.known[shard] === 0) {
      this.known[shard] = 1;
      this.shards.push(shard);
    }
    return shard;
  }

  private nameAt(position: number | undefined): string | null {
    return this.names.names[(position ?? NO_NAME) - 1] ?? null;
  }

  private ensureCapacity(needed: number): void {
    if (needed <= this.known.length) return;
    const capacity = Math.max(INITIAL_CAPACITY, needed, Math.ceil(this.known.length * 1.5));
    this.known = copyInto(new Uint8Array(capacity), this.known);
    this.epochs = copyInto(new Uint32Array(capacity), this.epochs);
    this.owners = copyInto(new Uint32Array(capacity), this.owners);
    this.sessions = copyInto(new Uint32Array(capacity), this.sessions);
    this.movingTo = copyInto(new Uint32Array(capacity), this.movingTo);
    this.moveIds = copyInto(new Uint32Array(capacity), this.moveIds);
    this.freshAfterMs = copyInto(new Float64Array(capacity), this.freshAfterMs);
  }
}

interface NumberArray {
  set(values: ArrayLike<number>): void;
}

function copyInto<T extends NumberArray>(larger: T, values: ArrayLike<number>): T {
  larger.set(values);
  return larger;
}
