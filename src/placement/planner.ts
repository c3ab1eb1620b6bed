/**
 * Decides which shards go where: first shards without owner, then shards of leaving back ends, then balance.
 * Pure: the same input gives the same plan. Load is counted in the caller's unit, such as requests a second.
 */
import type { ShardRow } from '../model/shard.js';
import type { ShardTarget } from '../control/commands.js';

/** A back end that may own shards. */
export interface PlacementBackend {
  readonly name: string;
  readonly zone: string;
  /** Leaving: keeps what it has until it is moved, and gets nothing new. */
  readonly draining: boolean;
}

/** What a plan is made from. */
export interface PlacementInput {
  readonly rows: readonly ShardRow[];
  /** Back ends with an open session. */
  readonly backends: readonly PlacementBackend[];
  /** Load by shard number; a shard without measured load counts as `baseLoad`. */
  readonly loadOf: (shard: number) => number;
  /** Largest load over mean load that is left as it is. */
  readonly toleratedImbalance: number;
  /** Most moves for balance in this plan; moves off leaving back ends are not counted. */
  readonly maxBalanceMoves: number;
}

/** What to do. */
export interface PlacementPlan {
  /** Shards without owner and who gets them. */
  readonly assignments: readonly ShardTarget[];
  /** Planned moves between live owners. */
  readonly moves: readonly ShardTarget[];
}

interface BackendLoad {
  readonly name: string;
  load: number;
  /** Shards that it holds and that are not moving. */
  readonly settled: number[];
}

/** Makes a plan. */
export function planPlacement(input: PlacementInput): PlacementPlan {
  const active = input.backends.filter((backend) => !backend.draining);
  if (active.length === 0) return { assignments: [], moves: [] };
  const loads = new Map<string, BackendLoad>();
  for (const { name } of active) loads.set(name, { name, load: 0, settled: [] });
  for (const row of input.rows) countRow(row, loads, input.loadOf);
  const assignments = planAssignments(input, loads);
  const drainMoves = planDrainMoves(input, loads);
  const balanceMoves = planBalanceMoves(input, loads);
  return { assignments, moves: [...drainMoves, ...balanceMoves] };
}

function countRow(row: ShardRow, loads: Map<string, BackendLoad>, loadOf: (shard: number) => number): void {
  const holder = loads.get(row.movingTo ?? row.owner ?? '');
  if (holder === undefined) return;
  holder.load += loadOf(row.shard);
  if (row.movingTo === null) holder.settled.push(row.shard);
}

/** Heaviest shards first, each to the back end with the least load: the greedy rule for makespan. */
function planAssignments(input: PlacementInput, loads: Map<string, BackendLoad>): ShardTarget[] {
  const unowned = input.rows.filter((row) => row.owner === null).map((row) => row.shard);
  return placeAll(unowned, input, loads);
}

function planDrainMoves(input: PlacementInput, loads: Map<string, BackendLoad>): ShardTarget[] {
  const draining = new Set(input.backends.filter((backend) => backend.draining).map(({ name }) => name));
  const leaving = input.rows.filter((row) => {
    return row.owner !== null && row.movingTo === null && draining.has(row.owner);
  });
  return placeAll(
    leaving.map((row) => row.shard),
    input,
    loads,
  );
}

function placeAll(
  shards: readonly number[],
  input: PlacementInput,
  loads: Map<string, BackendLoad>,
): ShardTarget[] {
  const heaviestFirst = [...shards].sort((left, right) => {
    return input.loadOf(right) - input.loadOf(left) || left - right;
  });
  const heap = new LeastLoadedHeap([...loads.values()]);
  return heaviestFirst.map((shard) => {
    const target = heap.addToLeast(input.loadOf(shard));
    return { shard, backend: target };
  });
}

/**
 * Moves shards from the most loaded to the least loaded back end while that lowers the maximum and the
 * imbalance is above what is tolerated. Each step takes the heaviest shard that fits the gap, so that few
 * moves are needed.
 */
function planBalanceMoves(input: PlacementInput, loads: Map<string, BackendLoad>): ShardTarget[] {
  const moves: ShardTarget[] = [];
  const all = [...loads.values()];
  const mean = all.reduce((sum, backend) => sum + backend.load, 0) / all.length;
  while (moves.length < input.maxBalanceMoves) {
    all.sort((left, right) => right.load - left.load || compareNames(left, right));
    const most = all[0];
    const least = all.at(-1);
    if (most === undefined || least === undefined) break;
    if (most.load <= mean * input.toleratedImbalance) break;
    const shard = heaviestThatFits(most.settled, most.load - least.load, input.loadOf);
    if (shard === null) break;
    moveShard(shard, most, least, input.loadOf(shard));
    moves.push({ shard, backend: least.name });
  }
  return moves;
}

/** The heaviest shard whose move narrows the gap; it must weigh less than the gap. */
function heaviestThatFits(
  shards: readonly number[],
  gap: number,
  loadOf: (shard: number) => number,
): number | null {
  let best: number | null = null;
  let bestDistance = Infinity;
  for (const shard of shards) {
    const load = loadOf(shard);
    if (load <= 0 || load >= gap) continue;
    const distance = Math.abs(gap / 2 - load);
    if (distance < bestDistance) {
      best = shard;
      bestDistance = distance;
    }
  }
  return best;
}

function moveShard(shard: number, from: BackendLoad, to: BackendLoad, load: number): void {
  from.load -= load;
  to.load += load;
  from.settled.splice(from.settled.indexOf(shard), 1);
}

function compareNames(left: BackendLoad, right: BackendLoad): number {
  return left.name < right.name ? -1 : 1;
}

/** Binary heap of back ends by load, so that placing n shards on m back ends costs n log m. */
class LeastLoadedHeap {
  private readonly heap: BackendLoad[];

  constructor(backends: BackendLoad[]) {
    this.heap = backends;
    for (let at = Math.floor(this.heap.length / 2) - 1; at >= 0; at -= 1) this.sink(at);
  }

  /** Adds load to the least loaded back end and returns its name. */
  addToLeast(load: number): string {
    const least = this.heap[0];
    if (least === undefined) throw new Error('invariant broken: no back end to place on');
    least.load += load;
    this.sink(0);
    return least.name;
  }

  private sink(start: number): void {
    let at = start;
    for (;;) {
      const left = 2 * at + 1;
      const smallest = this.smallestOf(at, left, left + 1);
      if (smallest === at) return;
      this.swap(at, smallest);
      at = smallest;
    }
  }

  private smallestOf(...positions: number[]): number {
    const present = positions.filter((position) => position < this.heap.length);
    return present.reduce((best, position) => (this.before(position, best) ? position : best));
  }

  private before(left: number, right: number): boolean {
    const a = this.heap[left];
    const b = this.heap[right];
    if (a === undefined || b === undefined) return false;
    return a.load < b.load || (a.load === b.load && a.name < b.name);
  }

  private swap(left: number, right: number): void {
    const a = this.heap[left];
    const b = this.heap[right];
    if (a === undefined || b === undefined) return;
    this.heap[left] = b;
    this.heap[right] = a;
  }
}
