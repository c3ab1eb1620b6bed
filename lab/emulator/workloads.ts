/** Workloads of the placement benchmark: load of each shard over time, and events of back ends. */
import { Random, ZipfSampler } from '../random.js';

/** Size of the emulated service. */
export const EMULATED_SERVICE = {
  backends: 12,
  zones: 3,
  shards: 480,
  seconds: 900,
  /** Requests per second over all shards. */
  load: 11_000,
  slots: 6,
  /** Mean processing time of a request at a back end, in ms. */
  workMs: 4,
} as const;

/** Event of a back end. `lost` is a failure without warning; `leaving` is a planned stop. */
export interface BackendEvent {
  readonly atSecond: number;
  readonly kind: 'join' | 'lost' | 'leaving';
  readonly backend: number;
}

/** Workload drawn from a seed. */
export interface Workload {
  /** Back ends present from the start. */
  readonly present: readonly number[];
  readonly events: readonly BackendEvent[];
  /** Returns the load of each shard at a second, in requests per second. */
  readonly loadAt: (second: number) => readonly number[];
}

/** Draws a workload from a seed. */
export type WorkloadMaker = (random: Random) => Workload;

const ALL_BACKENDS = Array.from({ length: EMULATED_SERVICE.backends }, (_, at) => at);
const FIRST_EVENT_SECOND = 300;
const RESTART_PAUSE_SECONDS = 40;
const RESTART_SECONDS = 20;
const HOT_SET_PERIOD_SECONDS = 75;
const RECOVERY_SECONDS = 200;

/**
 * Zipf distribution with exponent 1.0 over many keys that are assigned to shards at random: some shards are hot, but
 * none exceeds the capacity of a back end.
 */
function zipfLoad(random: Random): number[] {
  const keys = 20_000;
  const weights = new Array<number>(EMULATED_SERVICE.shards).fill(0);
  let total = 0;
  for (let rank = 1; rank <= keys; rank += 1) {
    // Skips the first 20 ranks, so that no single key dominates and the load can be divided among back ends.
    const weight = 1 / (rank + 20);
    const shard = random.below(EMULATED_SERVICE.shards);
    weights[shard] = (weights[shard] ?? 0) + weight;
    total += weight;
  }
  return weights.map((weight) => (weight / total) * EMULATED_SERVICE.load);
}

function steadyWorkload(
  random: Random,
  events: readonly BackendEvent[],
  present: readonly number[] = ALL_BACKENDS,
): Workload {
  const load = zipfLoad(random);
  return { present, events, loadAt: () => load };
}

function morningWave(random: Random): Workload {
  const load = zipfLoad(random);
  const half = EMULATED_SERVICE.seconds / 2;
  const factorAt = (second: number): number => 0.3 + 0.9 * Math.exp(-(((second - half) / (half / 2)) ** 2));
  return {
    present: ALL_BACKENDS,
    events: [],
    loadAt: (second) => load.map((value) => value * factorAt(second)),
  };
}

/** Every 75 s a different set of shards is hot, as with a busy shop or a large broker. */
function wanderingKeys(random: Random): Workload {
  const base = zipfLoad(random);
  const periods = Math.ceil(EMULATED_SERVICE.seconds / HOT_SET_PERIOD_SECONDS);
  const sampler = new ZipfSampler(random, EMULATED_SERVICE.shards, 0);
  const hot = Array.from({ length: periods }, () => new Set(Array.from({ length: 6 }, () => sampler.next())));
  const loads = hot.map((shards) => base.map((value, shard) => (shards.has(shard) ? value + 220 : value)));
  return {
    present: ALL_BACKENDS,
    events: [],
    loadAt: (second) => loads[Math.floor(second / HOT_SET_PERIOD_SECONDS)] ?? base,
  };
}

function rollingRestart(random: Random): Workload {
  const events = ALL_BACKENDS.flatMap((backend, at): BackendEvent[] => {
    const atSecond = FIRST_EVENT_SECOND / 2 + at * (RESTART_PAUSE_SECONDS + RESTART_SECONDS);
    return [
      { atSecond, kind: 'leaving', backend },
      { atSecond: atSecond + RESTART_SECONDS, kind: 'join', backend },
    ];
  });
  return steadyWorkload(random, events);
}

function zoneLoss(random: Random): Workload {
  const zone = random.below(EMULATED_SERVICE.zones);
  const lost = ALL_BACKENDS.filter((backend) => backend % EMULATED_SERVICE.zones === zone);
  const events = lost.flatMap((backend): BackendEvent[] => [
    { atSecond: FIRST_EVENT_SECOND, kind: 'lost', backend },
    { atSecond: FIRST_EVENT_SECOND + RECOVERY_SECONDS, kind: 'join', backend },
  ]);
  return steadyWorkload(random, events);
}

function singleEvent(kind: BackendEvent['kind']): WorkloadMaker {
  return (random) => {
    const backend = random.below(EMULATED_SERVICE.backends);
    const present = kind === 'join' ? ALL_BACKENDS.filter((other) => other !== backend) : ALL_BACKENDS;
    return steadyWorkload(random, [{ atSecond: FIRST_EVENT_SECOND, kind, backend }], present);
  };
}

/** Workloads by name. */
export const WORKLOADS: Readonly<Record<string, WorkloadMaker>> = {
  steady: (random) => steadyWorkload(random, []),
  'morning-wave': morningWave,
  'wandering-keys': wanderingKeys,
  join: singleEvent('join'),
  leave: singleEvent('leaving'),
  'owner-loss': singleEvent('lost'),
  'zone-loss': zoneLoss,
  'rolling-restart': rollingRestart,
};
