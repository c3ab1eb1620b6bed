/** Load of the back ends during planning: their current shards plus those that the plan adds. */
import { BrokenInvariant } from '../broken-invariant.js';
import type { ShardRow } from '../model/shard.js';
import type { PlacementBackend } from './planner.js';

/** Planned load of one back end. */
export interface BackendLoad {
  readonly name: string;
  readonly zone: string;
  readonly capacity: number | null;
  /** Planned load, with the part that is reserved because of a limited capacity. */
  load: number;
  /** Number of shards that it owns, including those moving to it. */
  shards: number;
  /** Shards that it owns and that are not moving. */
  readonly stationary: number[];
}

/** Loads of the back ends that may receive shards. */
export class BackendLoads {
  readonly active: readonly BackendLoad[];
  /** Mean load, including reserved load, when every shard is owned by one of them. */
  readonly mean: number;
  private readonly byName = new Map<string, BackendLoad>();
  private heap: LeastLoadedHeap | null = null;

  constructor(
    backends: readonly PlacementBackend[],
    rows: readonly ShardRow[],
    loadOf: (shard: number) => number,
  ) {
    for (const { name, zone, draining, capacity = null } of backends) {
      if (!draining) this.byName.set(name, { name, zone, capacity, load: 0, shards: 0, stationary: [] });
    }
    this.active = [...this.byName.values()];
    let total = 0;
    for (const row of rows) {
      const load = loadOf(row.shard);
      total += load;
      this.count(row, load);
    }
    this.mean = (total + this.reserveLimited(total)) / Math.max(1, this.active.length);
  }

  /**
   * Reserves load at back ends with a limited capacity, so that equal planned loads leave them no more than that. Returns
   * the reserved load.
   */
  private reserveLimited(total: number): number {
    const limited = this.active.filter(({ capacity }) => capacity !== null);
    const othersCount = this.active.length - limited.length;
    if (limited.length === 0 || othersCount === 0) return 0;
    const limitedCapacity = limited.reduce((sum, { capacity }) => sum + (capacity ?? 0), 0);
    const loadOfOthers = Math.max(0, total - limitedCapacity) / othersCount;
    let reserved = 0;
    for (const backend of limited) {
      const reservedHere = Math.max(0, loadOfOthers - (backend.capacity ?? 0));
      backend.load += reservedHere;
      reserved += reservedHere;
    }
    return reserved;
  }

  /** Adds load to the least loaded back end and returns its name. */
  addToLeastLoaded(load: number): string {
    this.heap ??= new LeastLoadedHeap([...this.active]);
    return this.heap.addToLeastLoaded(load);
  }

  /** Adds load to a back end. */
  add(backend: BackendLoad, load: number): void {
    backend.load += load;
    backend.shards += 1;
    this.heap = null;
  }

  private count(row: ShardRow, load: number): void {
    const owner = this.byName.get(row.movingTo ?? row.owner ?? '');
    if (owner === undefined) return;
    owner.load += load;
    owner.shards += 1;
    if (row.movingTo === null) owner.stationary.push(row.shard);
  }
}

/** Binary heap of back ends by load: placing n shards on m back ends takes O(n log m). */
class LeastLoadedHeap {
  constructor(private readonly heap: BackendLoad[]) {
    for (let at = Math.floor(this.heap.length / 2) - 1; at >= 0; at -= 1) this.siftDown(at);
  }

  addToLeastLoaded(load: number): string {
    const least = this.heap[0];
    if (least === undefined) throw new BrokenInvariant('no back end to place on');
    least.load += load;
    least.shards += 1;
    this.siftDown(0);
    return least.name;
  }

  private siftDown(start: number): void {
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
    return present.reduce((best, position) => (this.isBefore(position, best) ? position : best));
  }

  private isBefore(left: number, right: number): boolean {
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
