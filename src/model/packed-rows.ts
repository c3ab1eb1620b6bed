/**
 * Shard rows packed for snapshots on disk and for messages: eight 32-bit cells per row in one typed array, which
 * `devalue` encodes as base64. A row takes 43 bytes on the wire and almost no time to decode; an object with named
 * fields would take about a hundred bytes, and each field would have to be parsed.
 */
import type { ShardRow } from './shard.js';

/** Number of cells per row. */
export const CELLS_PER_ROW = 8;

/** Value for "no back end" in a cell that holds a position in `names`. */
export const NO_NAME = 0xffffffff;

/** Factor of the high half of a number that is split over two cells. */
export const HIGH_FACTOR = 2 ** 32;

/** Index of each value within the cells of a row. */
export const CELL = {
  shard: 0,
  epoch: 1,
  owner: 2,
  session: 3,
  movingTo: 4,
  moveId: 5,
  freshAfterHigh: 6,
  freshAfterLow: 7,
} as const;

/** Packed rows of one service; `owner` and `movingTo` are positions in `names`. */
export interface PackedRows {
  readonly service: string;
  readonly cells: Uint32Array;
  readonly names: readonly string[];
}

/** Maps names to consecutive positions, starting from 0. */
export class NamePositions {
  readonly names: string[] = [];
  private readonly positions = new Map<string, number>();

  /** Returns the position of a name; an unknown name is added. */
  of(name: string): number {
    const known = this.positions.get(name);
    if (known !== undefined) return known;
    this.positions.set(name, this.names.length);
    this.names.push(name);
    return this.names.length - 1;
  }
}

/** Packs the rows of one service. */
export function packRows(service: string, rows: readonly ShardRow[]): PackedRows {
  const names = new NamePositions();
  const cells = new Uint32Array(rows.length * CELLS_PER_ROW);
  const position = (name: string | null): number => (name === null ? NO_NAME : names.of(name));
  rows.forEach((row, at) => {
    const { shard, epoch, owner, session, movingTo, moveId, freshAfterMs } = row;
    const high = Math.floor(freshAfterMs / HIGH_FACTOR);
    const low = freshAfterMs % HIGH_FACTOR;
    const packed = [shard, epoch, position(owner), session, position(movingTo), moveId, high, low];
    cells.set(packed, at * CELLS_PER_ROW);
  });
  return { service, cells, names: names.names };
}

/** Unpacks the rows of one service. */
export function unpackRows({ cells, names }: PackedRows): ShardRow[] {
  const nameAt = (position: number): string | null => names[position] ?? null;
  return Array.from({ length: cells.length / CELLS_PER_ROW }, (_, at) => {
    const cell = (offset: number): number => cells[at * CELLS_PER_ROW + offset] ?? 0;
    return {
      shard: cell(CELL.shard),
      epoch: cell(CELL.epoch),
      owner: nameAt(cell(CELL.owner)),
      session: cell(CELL.session),
      movingTo: nameAt(cell(CELL.movingTo)),
      moveId: cell(CELL.moveId),
      freshAfterMs: cell(CELL.freshAfterHigh) * HIGH_FACTOR + cell(CELL.freshAfterLow),
    };
  });
}
