/** Load of the back ends while a plan is made: what they hold, and what the plan adds. */
import type { ShardRow } from '../model/shard.js';
import type { PlacementBackend } from './planner.js';

/** One back end. */
export interface BackendLoad {
  readonly name: string;
  readonly zone: string;
  load: number;
  /** Shards that it holds, those on their way to it included. */
  shards: number;
  /** Shards that it holds and that are not moving. */
  readonly settled: number[];
}

/** Loads of the back ends that may get shards. */
export class BackendLoads {
  readonly active: readonly BackendLoad[];
  /** Mean load once every shard has an owner among them. */
  readonly mean: number;
  private readonly byName = new Map<string, BackendLoad>();
  private heap: LeastLoadedHeap | null = null;

  constructor(
    backends: readonly PlacementBackend[],
    rows: readonly ShardRow[],
    loadOf: (shard: number) => number,
  ) {
    for (const { name, zone, draining } of backends) {
      if (!draining) this.byName.set(name, { name, zone, load: 0, shards: 0, settled: [] });
    }
    this.active = [...this.byName.values()];
    let total = 0;
    for (const row of rows) {
      const load = loadOf(row.shard);
      total += load;
      this.count(row, load);
    }
    this.mean = total / Math.max(1, this.active.length);
  }

  /** Adds load to the least loaded back end and returns its name. */
  addToLeast(load: number): string {
    this.heap ??= new LeastLoadedHeap([...this.active]);
    return this.heap.addToLeast(load);
  }

  /** Adds load to a back end. */
  add(backend: BackendLoad, load: number): void {
    backend.load += load;
    backend.shards += 1;
    this.heap = null;
  }

  private count(row: ShardRow, load: number): void {
    const holder = this.byName.get(row.movingTo ?? row.owner ?? '');
    if (holder === undefined) return;
    holder.load += load;
    holder.shards += 1;
    if (row.movingTo === null) holder.settled.push(row.shard);
  }
}

/** Binary heap of back ends by load, so that placing n shards on m back ends costs n log m. */
class LeastLoadedHeap {
  constructor(private readonly heap: BackendLoad[]) {
    for (let at = Math.floor(this.heap.length / 2) - 1; at >= 0; at -= 1) this.sink(at);
  }

  addToLeast(load: number): string {
    const least = this.heap[0];
    if (least === undefined) throw new Error('invariant broken: no back end to place on');
    least.load += load;
    least.shards += 1;
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
