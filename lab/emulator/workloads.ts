/** Workloads of the placement bench: load of each shard over time, and what happens to back ends. */
import { Random, ZipfSampler } from '../random.js';

/** Size of the emulated service. */
export const EMULATED = {
  backends: 12,
  zones: 3,
  shards: 480,
  seconds: 900,
  /** Requests a second over all shards. */
  load: 11_000,
  slots: 6,
  /** Mean time of a request at a back end, in ms. */
  workMs: 4,
} as const;

/** Something that happens to a back end. `lost` comes without warning; `leaving` is a planned stop. */
export interface BackendEvent {
  readonly atSecond: number;
  readonly kind: 'join' | 'lost' | 'leaving';
  readonly backend: number;
}

/** One drawn workload. */
export interface Workload {
  /** Back ends that are there from the start. */
  readonly present: readonly number[];
  readonly events: readonly BackendEvent[];
  /** Load by shard at a second, in requests a second. */
  readonly loadAt: (second: number) => readonly number[];
}

/** Draws a workload from a seed. */
export type WorkloadMaker = (random: Random) => Workload;

const ALL = Array.from({ length: EMULATED.backends }, (_, at) => at);
const FIRST_EVENT = 300;
const RESTART_PAUSE = 40;
const RESTART_SECONDS = 20;
const WANDER_SECONDS = 75;
const RECOVERY_SECONDS = 200;

/** Zipf 1.0 over many keys, which fall into shards at random: hot shards, but none hotter than a back end. */
function zipfLoad(random: Random): number[] {
  const keys = 20_000;
  const weights = new Array<number>(EMULATED.shards).fill(0);
  let total = 0;
  for (let rank = 1; rank <= keys; rank += 1) {
    // The first ranks are cut off, so that the load stays splittable.
    const weight = 1 / (rank + 20);
    const shard = random.below(EMULATED.shards);
    weights[shard] = (weights[shard] ?? 0) + weight;
    total += weight;
  }
  return weights.map((weight) => (weight / total) * EMULATED.load);
}

function steady(random: Random, events: readonly BackendEvent[], present: readonly number[] = ALL): Workload {
  const load = zipfLoad(random);
  return { present, events, loadAt: () => load };
}

function morningWave(random: Random): Workload {
  const load = zipfLoad(random);
  const half = EMULATED.seconds / 2;
  const factorAt = (second: number): number => 0.3 + 0.9 * Math.exp(-(((second - half) / (half / 2)) ** 2));
  return { present: ALL, events: [], loadAt: (second) => load.map((value) => value * factorAt(second)) };
}

/** Every 75 s other shards are hot: a busy shop, a large broker. */
function wanderingKeys(random: Random): Workload {
  const base = zipfLoad(random);
  const periods = Math.ceil(EMULATED.seconds / WANDER_SECONDS);
  const sampler = new ZipfSampler(random, EMULATED.shards, 0);
  const hot = Array.from({ length: periods }, () => new Set(Array.from({ length: 6 }, () => sampler.next())));
  const loads = hot.map((shards) => base.map((value, shard) => (shards.has(shard) ? value + 220 : value)));
  return {
    present: ALL,
    events: [],
    loadAt: (second) => loads[Math.floor(second / WANDER_SECONDS)] ?? base,
  };
}

function rollingRestart(random: Random): Workload {
  const events = ALL.flatMap((backend, at): BackendEvent[] => {
    const atSecond = FIRST_EVENT / 2 + at * (RESTART_PAUSE + RESTART_SECONDS);
    return [
      { atSecond, kind: 'leaving', backend },
      { atSecond: atSecond + RESTART_SECONDS, kind: 'join', backend },
    ];
  });
  return steady(random, events);
}

function zoneLoss(random: Random): Workload {
  const zone = random.below(EMULATED.zones);
  const lost = ALL.filter((backend) => backend % EMULATED.zones === zone);
  const events = lost.flatMap((backend): BackendEvent[] => [
    { atSecond: FIRST_EVENT, kind: 'lost', backend },
    { atSecond: FIRST_EVENT + RECOVERY_SECONDS, kind: 'join', backend },
  ]);
  return steady(random, events);
}

function oneEvent(kind: BackendEvent['kind']): WorkloadMaker {
  return (random) => {
    const backend = random.below(EMULATED.backends);
    const present = kind === 'join' ? ALL.filter((other) => other !== backend) : ALL;
    return steady(random, [{ atSecond: FIRST_EVENT, kind, backend }], present);
  };
}

/** All workloads by name. */
export const WORKLOADS: Readonly<Record<string, WorkloadMaker>> = {
  steady: (random) => steady(random, []),
  'morning-wave': morningWave,
  'wandering-keys': wanderingKeys,
  join: oneEvent('join'),
  leave: oneEvent('leaving'),
  'owner-loss': oneEvent('lost'),
  'zone-loss': zoneLoss,
  'rolling-restart': rollingRestart,
};
