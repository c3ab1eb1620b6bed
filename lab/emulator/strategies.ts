/** Placement strategies that the benchmark compares: the planner with two settings, and two baselines. */
import { emptyShardRow, shardOfKey, type ShardRow } from '../../src/model/shard.js';
import { planPlacement } from '../../src/placement/planner.js';
import type { Random } from '../random.js';
import { EMULATED_SERVICE } from './workloads.js';

/** Input of a placement decision. */
export interface StrategyView {
  readonly second: number;
  /** Owner of each shard; null where there is none. */
  readonly owners: readonly (number | null)[];
  /** Known back ends; a lost one is removed once its loss has been detected. */
  readonly present: ReadonlySet<number>;
  /** Back ends that are being drained. */
  readonly leaving: ReadonlySet<number>;
  /** Last reported load of each shard. */
  readonly reported: readonly number[];
}

/** Assignment of a shard to a new owner. */
export interface Placement {
  readonly shard: number;
  readonly backend: number;
}

/** Placement strategy. */
export interface Strategy {
  /** Seconds until the loss of a back end is detected and its shards are served elsewhere. */
  readonly repairSeconds: number;
  /** Seconds during which a shard is unavailable in a planned move. */
  readonly moveSeconds: number;
  place(view: StrategyView): Placement[];
}

/** Creates a strategy for one run. */
export type StrategyMaker = (random: Random) => Strategy;

/**
 * Time until a new owner serves after a loss: p50 of a single run with 1,100 daemons and 120,000 shards
 * (docs/CAPACITY.md). Planned moves showed no unavailable time in drain runs (docs/PROMISES.md).
 */
const ALDERTIDE_REPAIR_SECONDS = 2.1;

/** Lag in seconds of the list of live machines that scripts use; an assumption for the baselines. */
const MEMBERSHIP_LAG_SECONDS = 10;

/** Seconds until callers of scripts detect a loss by a timeout; an assumption for the baselines. */
const TIMEOUT_DETECTION_SECONDS = 5;

class PlannerStrategy implements Strategy {
  readonly repairSeconds = ALDERTIDE_REPAIR_SECONDS;
  readonly moveSeconds = 0;
  private moveAllowance = 0;

  constructor(
    private readonly toleratedImbalance: number,
    private readonly movesPerMinute: number,
  ) {}

  place(view: StrategyView): Placement[] {
    this.moveAllowance = Math.min(this.movesPerMinute, this.moveAllowance + this.movesPerMinute / 60);
    const plan = planPlacement({
      rows: view.owners.map((owner, shard) => toRow(owner, shard)),
      backends: [...view.present].map((backend) => {
        return { name: String(backend), zone: zoneOf(backend), draining: view.leaving.has(backend) };
      }),
      loadOf: (shard) => 1 + (view.reported[shard] ?? 0),
      toleratedImbalance: this.toleratedImbalance,
      maxBalanceMoves: Math.floor(this.moveAllowance),
    });
    const fromLeaving = plan.moves.filter(({ shard }) => view.leaving.has(view.owners[shard] ?? -1)).length;
    this.moveAllowance -= plan.moves.length - fromLeaving;
    return [...plan.assignments, ...plan.moves].map(({ shard, backend }) => ({
      shard,
      backend: Number(backend),
    }));
  }
}

function toRow(owner: number | null, shard: number): ShardRow {
  const epoch = owner === null ? 0 : 1;
  return { ...emptyShardRow(shard), owner: owner === null ? null : String(owner), epoch, session: epoch };
}

function zoneOf(backend: number): string {
  return `zone-${backend % EMULATED_SERVICE.zones}`;
}

const RING_POINTS_PER_BACKEND = 64;
const RING_SIZE = 2 ** 31;

/** Consistent hashing over the list of live machines; ignores load. */
class ConsistentHashing implements Strategy {
  readonly repairSeconds = MEMBERSHIP_LAG_SECONDS;
  readonly moveSeconds = 1;

  place({ owners, present, leaving }: StrategyView): Placement[] {
    const ring = [...present]
      .filter((backend) => !leaving.has(backend))
      .flatMap((backend) => ringPoints(backend))
      .sort((left, right) => left.place - right.place);
    return owners.flatMap((owner, shard) => {
      const place = shardOfKey('ring', `shard-${shard}`, RING_SIZE);
      const next = ring.find((point) => point.place >= place) ?? ring[0];
      return next === undefined || next.backend === owner ? [] : [{ shard, backend: next.backend }];
    });
  }
}

function ringPoints(backend: number): { readonly place: number; readonly backend: number }[] {
  return Array.from({ length: RING_POINTS_PER_BACKEND }, (_, point) => {
    return { place: shardOfKey('ring', `backend-${backend}/${point}`, RING_SIZE), backend };
  });
}

/** Placement as scripts do it: a random live machine, losses detected by timeouts, no balancing. */
class RandomPlacement implements Strategy {
  readonly repairSeconds = TIMEOUT_DETECTION_SECONDS;
  readonly moveSeconds = 1;

  constructor(private readonly random: Random) {}

  place({ owners, present, leaving }: StrategyView): Placement[] {
    const usable = [...present].filter((backend) => !leaving.has(backend));
    if (usable.length === 0) return [];
    return owners.flatMap((owner, shard) => {
      const keepsOwner = owner !== null && present.has(owner) && !leaving.has(owner);
      return keepsOwner ? [] : [{ shard, backend: this.random.pick(usable) }];
    });
  }
}

/** Strategies by name. */
export const STRATEGIES: Readonly<Record<string, StrategyMaker>> = {
  'aldertide-imigongo': () => new PlannerStrategy(1.1, 120),
  'aldertide-antwerp': () => new PlannerStrategy(1.3, 30),
  'consistent-hashing': () => new ConsistentHashing(),
  'random-and-retry': (random) => new RandomPlacement(random),
};
