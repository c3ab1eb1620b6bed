/** Rows of one service in typed arrays: a row takes 33 bytes, so that a whole table fits in a few megabytes. */
import type { ShardRow } from './shard.js';
import { CELL, CELLS_PER_ROW, HIGH_FACTOR, NamePositions, type PackedRows } from './packed-rows.js';

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

  /** Sets rows, cell by cell: a table of 120,000 rows would otherwise make as many objects. */
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
