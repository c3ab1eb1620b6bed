/**
 * Decides which shards go where: first shards without owner, then shards of leaving back ends, then balance.
 * Pure: the same input gives the same plan. Load is counted in the caller's unit, such as requests a second.
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
  /** Leaving: keeps what it has until it is moved, and gets nothing new. */
  readonly draining: boolean;
}

/** What a plan is made from. */
export interface PlacementInput {
  readonly rows: readonly ShardRow[];
  /** Back ends with an open session. */
  readonly backends: readonly PlacementBackend[];
  /** Load by shard number. */
  readonly loadOf: (shard: number) => number;
  /** Largest load over mean load that is left as it is. */
  readonly toleratedImbalance: number;
  /** Most moves for balance in this plan; moves off leaving back ends are not counted. */
  readonly maxBalanceMoves: number;
  /** Most assignments in this plan; moves wait until the last shard has an owner. Without limit when left out. */
  readonly maxAssignments?: number;
  /** Null where load alone decides. */
  readonly policy?: Policy | null;
}

/** What to do. */
export interface PlacementPlan {
  /** Shards without owner and who gets them. */
  readonly assignments: readonly ShardTarget[];
  /** Planned moves between live owners. */
  readonly moves: readonly ShardTarget[];
  /** Why the policy could not be followed, if so; the plan was then made by load alone. */
  readonly policyProblem: string | null;
}

/** Chooses a back end for a shard and counts the load there. */
export interface Chooser {
  /** Null when this plan may not choose any more; the next one goes on. */
  choose(row: ShardRow, load: number): string | null;
  /** Whether a shard may be moved to a back end for balance. */
  mayBalance(row: ShardRow, load: number, target: BackendLoad): boolean;
  readonly problem: string | null;
}

/** Makes a plan. */
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

/** By load alone: the least loaded back end, the greedy rule for makespan. */
class LoadChooser implements Chooser {
  readonly problem = null;

  constructor(private readonly loads: BackendLoads) {}

  choose(_row: ShardRow, load: number): string {
    return this.loads.addToLeast(load);
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

/** Heaviest shards first, since the light ones even out what those leave. */
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
 * Moves shards from the most loaded to the least loaded back end while that narrows the gap and one of them is
 * further from the mean than is tolerated. Each step takes the shard that fits the gap best, so that few moves
 * are needed.
 */
function planBalanceMoves(input: PlacementInput, loads: BackendLoads, chooser: Chooser): ShardTarget[] {
  const moves: ShardTarget[] = [];
  const { mean } = loads;
  const all = [...loads.active];
  let byShard: ReadonlyMap<number, ShardRow> | null = null;
  while (moves.length < input.maxBalanceMoves) {
    all.sort((left, right) => right.load - left.load || compareNames(left, right));
    const most = all[0];
    const least = all.at(-1);
    if (most === undefined || least === undefined) break;
    if (isTolerated(most, least, mean, input.toleratedImbalance)) break;
    byShard ??= new Map(input.rows.map((row) => [row.shard, row]));
    const row = bestToMove(most, least, input, chooser, byShard);
    if (row === null) break;
    moveShard(row.shard, most, least, input.loadOf(row.shard));
    moves.push({ shard: row.shard, backend: least.name });
  }
  return moves;
}

/** Among many back ends one may be empty while the largest load is near the mean, so both ends count. */
function isTolerated(most: BackendLoad, least: BackendLoad, mean: number, tolerated: number): boolean {
  return most.load <= mean * tolerated && least.load >= mean / tolerated;
}

/** The shard whose move narrows the gap best; it must weigh less than the gap. */
function bestToMove(
  most: BackendLoad,
  least: BackendLoad,
  input: PlacementInput,
  chooser: Chooser,
  rows: ReadonlyMap<number, ShardRow>,
): ShardRow | null {
  const gap = most.load - least.load;
  let best: ShardRow | null = null;
  let bestDistance = Infinity;
  for (const shard of most.settled) {
    const load = input.loadOf(shard);
    if (load <= 0 || load >= gap) continue;
    const distance = Math.abs(gap / 2 - load);
    const row = rows.get(shard);
    if (distance >= bestDistance || row === undefined || !chooser.mayBalance(row, load, least)) continue;
    best = row;
    bestDistance = distance;
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
