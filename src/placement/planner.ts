/**
 * Plans the placement of shards: first unowned shards, then shards of leaving back ends, then balancing.
 * Pure: the same input gives the same plan. Load is in the caller's unit, such as requests per second.
 */
import type { ShardRow } from '../model/shard.js';
import type { ShardTarget } from '../control/commands.js';
import type { Policy } from '../policy/policy.js';
import { BackendLoads, type BackendLoad } from './backend-loads.js';
import { PolicyChooser } from './policy-chooser.js';

/** A back end that may own shards. */
export interface PlacementBackend {
  readonly name: string;
  readonly zone: string;
  /** Whether the back end is leaving: it keeps its shards until they are moved and receives no new ones. */
  readonly draining: boolean;
  /** Load that a back end with a request limit may have; null or missing if it is not limited. */
  readonly capacity?: number | null;
}

/** Input of a plan. */
export interface PlacementInput {
  readonly rows: readonly ShardRow[];
  /** Back ends with an open session. */
  readonly backends: readonly PlacementBackend[];
  /** Returns the load of a shard. */
  readonly loadOf: (shard: number) => number;
  /** Ratio of largest to mean load up to which no balance moves are planned. */
  readonly toleratedImbalance: number;
  /** Maximum number of balance moves in this plan; moves from leaving back ends are not counted. */
  readonly maxBalanceMoves: number;
  /** Maximum number of assignments in this plan, unlimited if omitted; moves wait until every shard is assigned. */
  readonly maxAssignments?: number;
  /** Placement policy; null when load alone decides. */
  readonly policy?: Policy | null;
}

/** Planned assignments and moves. */
export interface PlacementPlan {
  /** Unowned shards and their new owners. */
  readonly assignments: readonly ShardTarget[];
  /** Moves between live owners. */
  readonly moves: readonly ShardTarget[];
  /** Why the policy could not be followed; null if it was. Shards concerned were then placed by load alone. */
  readonly policyProblem: string | null;
}

/** Strategy that chooses a back end for a shard and adds the shard's load to it. */
export interface Chooser {
  /** Returns the chosen back end; null when this plan's budget is exhausted and the next plan must continue. */
  choose(row: ShardRow, load: number): string | null;
  /** Whether a shard may be moved to `target` for balance. */
  mayBalance(row: ShardRow, load: number, target: BackendLoad): boolean;
  readonly problem: string | null;
}

/** Plans assignments and moves. */
export function planPlacement(input: PlacementInput): PlacementPlan {
  const loads = new BackendLoads(input.backends, input.rows, input.loadOf);
  if (loads.active.length === 0) return { assignments: [], moves: [], policyProblem: null };
  const policy = input.policy ?? null;
  const chooser = policy === null ? new LoadChooser(loads) : new PolicyChooser(policy, loads, input);
  const unowned = input.rows.filter((row) => row.owner === null);
  const assigned = unowned.slice(0, input.maxAssignments);
  const assignments = placeAll(assigned, input, chooser);
  if (assignments.length < unowned.length) return { assignments, moves: [], policyProblem: chooser.problem };
  const drainMoves = placeAll(rowsToDrain(input), input, chooser);
  const balanceMoves = planBalanceMoves(input, loads, chooser);
  return { assignments, moves: [...drainMoves, ...balanceMoves], policyProblem: chooser.problem };
}

/** Chooses the least loaded back end: greedy scheduling for makespan. */
class LoadChooser implements Chooser {
  readonly problem = null;

  constructor(private readonly loads: BackendLoads) {}

  choose(_row: ShardRow, load: number): string {
    return this.loads.addToLeastLoaded(load);
  }

  mayBalance(): boolean {
    return true;
  }
}

function rowsToDrain(input: PlacementInput): ShardRow[] {
  const draining = new Set(input.backends.filter((backend) => backend.draining).map(({ name }) => name));
  return input.rows.filter((row) => {
    return row.owner !== null && row.movingTo === null && draining.has(row.owner);
  });
}

/** Places the heaviest shards first, since light ones can even out the remaining differences. */
function placeAll(rows: readonly ShardRow[], input: PlacementInput, chooser: Chooser): ShardTarget[] {
  const heaviestFirst = rows.map((row) => ({ row, load: input.loadOf(row.shard) }));
  heaviestFirst.sort((left, right) => right.load - left.load || left.row.shard - right.row.shard);
  const targets: ShardTarget[] = [];
  for (const { row, load } of heaviestFirst) {
    const backend = chooser.choose(row, load);
    if (backend === null) break;
    targets.push({ shard: row.shard, backend });
  }
  return targets;
}

/**
 * Moves shards from the most to the least loaded back end while that narrows the gap and one of them is further from
 * the mean than tolerated. Each step moves the shard that fits the gap best, so that few moves are needed.
 */
function planBalanceMoves(input: PlacementInput, loads: BackendLoads, chooser: Chooser): ShardTarget[] {
  const moves: ShardTarget[] = [];
  const { mean } = loads;
  const byLoad = [...loads.active];
  let byShard: ReadonlyMap<number, ShardRow> | null = null;
  while (moves.length < input.maxBalanceMoves) {
    byLoad.sort((left, right) => right.load - left.load || compareNames(left, right));
    const mostLoaded = byLoad[0];
    const leastLoaded = byLoad.at(-1);
    if (mostLoaded === undefined || leastLoaded === undefined) break;
    if (isTolerated(mostLoaded, leastLoaded, mean, input.toleratedImbalance)) break;
    byShard ??= new Map(input.rows.map((row) => [row.shard, row]));
    const row = bestShardToMove(mostLoaded, leastLoaded, input, chooser, byShard);
    if (row === null) break;
    moveShard(row.shard, mostLoaded, leastLoaded, input.loadOf(row.shard));
    moves.push({ shard: row.shard, backend: leastLoaded.name });
  }
  return moves;
}

/**
 * Whether both the largest and the smallest load are within tolerance. With many back ends, one may be empty while the
 * largest load is near the mean.
 */
function isTolerated(
  mostLoaded: BackendLoad,
  leastLoaded: BackendLoad,
  mean: number,
  tolerated: number,
): boolean {
  return mostLoaded.load <= mean * tolerated && leastLoaded.load >= mean / tolerated;
}

/** Finds the shard whose move narrows the gap most; its load must be less than the gap. */
function bestShardToMove(
  mostLoaded: BackendLoad,
  leastLoaded: BackendLoad,
  input: PlacementInput,
  chooser: Chooser,
  rows: ReadonlyMap<number, ShardRow>,
): ShardRow | null {
  const gap = mostLoaded.load - leastLoaded.load;
  let best: ShardRow | null = null;
  let bestDistance = Infinity;
  for (const shard of mostLoaded.stationary) {
    const load = input.loadOf(shard);
    if (load <= 0 || load >= gap) continue;
    const distance = Math.abs(gap / 2 - load);
    const row = rows.get(shard);
    if (distance >= bestDistance || row === undefined || !chooser.mayBalance(row, load, leastLoaded))
      continue;
    best = row;
    bestDistance = distance;
  }
  return best;
}

function moveShard(shard: number, from: BackendLoad, to: BackendLoad, load: number): void {
  from.load -= load;
  to.load += load;
  from.stationary.splice(from.stationary.indexOf(shard), 1);
}

function compareNames(left: BackendLoad, right: BackendLoad): number {
  return left.name < right.name ? -1 : 1;
}
