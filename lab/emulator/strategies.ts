/** Ways of placement that the bench compares: the planner under two settings, and baselines of our own. */
import { emptyShardRow, shardOfKey, type ShardRow } from '../../src/model/shard.js';
import { planPlacement } from '../../src/placement/planner.js';
import type { Random } from '../random.js';
import { EMULATED } from './workloads.js';

/** What a strategy knows when it is asked. */
export interface StrategyView {
  readonly second: number;
  /** Owner of each shard; null where it was lost. */
  readonly owners: readonly (number | null)[];
  /** Back ends that are there; a lost one is missing as soon as its loss was noticed. */
  readonly present: ReadonlySet<number>;
  /** Back ends that are to be emptied. */
  readonly leaving: ReadonlySet<number>;
  /** Load by shard as it was last reported. */
  readonly reported: readonly number[];
}

/** A shard and its new owner. */
export interface Placed {
  readonly shard: number;
  readonly backend: number;
}

/** A way of placement. */
export interface Strategy {
  /** Seconds until the loss of a back end is noticed and its shards are served elsewhere. */
  readonly repairSeconds: number;
  /** Seconds for which a shard cannot be used when it is moved on purpose. */
  readonly moveSeconds: number;
  place(view: StrategyView): Placed[];
}

/** Makes a strategy for one run. */
export type StrategyMaker = (random: Random) => Strategy;

/**
 * New owner after a loss: p50 of the one run at 1,100 daemons and 120,000 shards (docs/CAPACITY.md). Planned moves
 * showed no unavailable time in drain runs (docs/PROMISES.md).
 */
const ALDERTIDE_REPAIR_SECONDS = 2.1;

/** The list of live machines that scripts go by lags; assumed for the baselines. */
const LIST_LAG_SECONDS = 10;

/** Callers of scripts find out by a time-out; assumed for the baselines. */
const BLIND_RETRY_SECONDS = 5;

class PlannerStrategy implements Strategy {
  readonly repairSeconds = ALDERTIDE_REPAIR_SECONDS;
  readonly moveSeconds = 0;
  private allowance = 0;

  constructor(
    private readonly toleratedImbalance: number,
    private readonly movesPerMinute: number,
  ) {}

  place(view: StrategyView): Placed[] {
    this.allowance = Math.min(this.movesPerMinute, this.allowance + this.movesPerMinute / 60);
    const plan = planPlacement({
      rows: view.owners.map((owner, shard) => toRow(owner, shard)),
      backends: [...view.present].map((backend) => {
        return { name: String(backend), zone: zoneOf(backend), draining: view.leaving.has(backend) };
      }),
      loadOf: (shard) => 1 + (view.reported[shard] ?? 0),
      toleratedImbalance: this.toleratedImbalance,
      maxBalanceMoves: Math.floor(this.allowance),
    });
    const fromLeaving = plan.moves.filter(({ shard }) => view.leaving.has(view.owners[shard] ?? -1)).length;
    this.allowance -= plan.moves.length - fromLeaving;
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
  return `zone-${backend % EMULATED.zones}`;
}

const RING_POINTS = 64;
const RING_SIZE = 2 ** 31;

/** Consistent hashing over the list of live machines, without regard to load. */
class ConsistentHashing implements Strategy {
  readonly repairSeconds = LIST_LAG_SECONDS;
  readonly moveSeconds = 1;

  place({ owners, present, leaving }: StrategyView): Placed[] {
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
  return Array.from({ length: RING_POINTS }, (_, point) => {
    return { place: shardOfKey('ring', `backend-${backend}/${point}`, RING_SIZE), backend };
  });
}

/** As scripts do: any live machine at random, found out by time-outs, never balanced. */
class RandomPlacement implements Strategy {
  readonly repairSeconds = BLIND_RETRY_SECONDS;
  readonly moveSeconds = 1;

  constructor(private readonly random: Random) {}

  place({ owners, present, leaving }: StrategyView): Placed[] {
    const usable = [...present].filter((backend) => !leaving.has(backend));
    if (usable.length === 0) return [];
    return owners.flatMap((owner, shard) => {
      const stays = owner !== null && present.has(owner) && !leaving.has(owner);
      return stays ? [] : [{ shard, backend: this.random.pick(usable) }];
    });
  }
}

/** All strategies by name. */
export const STRATEGIES: Readonly<Record<string, StrategyMaker>> = {
  'aldertide-imigongo': () => new PlannerStrategy(1.1, 120),
  'aldertide-antwerp': () => new PlannerStrategy(1.3, 30),
  'consistent-hashing': () => new ConsistentHashing(),
  'random-and-retry': (random) => new RandomPlacement(random),
};
