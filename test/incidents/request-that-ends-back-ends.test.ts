/**
 * A service lost one back end after the other, nine within a minute, although it was asked for no more than in calm
 * seconds and the services beside it were well. One request ended every back end that began to run it. It came again and
 * again, with a new id each time and through another daemon, and nothing that the daemons knew outlived a request, so each
 * coming was sent to the next back end; up to five others broke off with it each time, and of 47 requests of the service
 * in a second 5 were answered in time.
 *
 * What settled it: the broken runs of all five ends that were logged had one key in common, and no other key occurred at
 * two of them:
 *   36.7398 "event":"run-ended","instance":"i-e115c347ef","key":18124,"outcome":{"kind":"broken",...},"usedMs":46
 *   39.6721 "event":"run-ended","instance":"i-3e6a840a19","key":18124,"outcome":{"kind":"broken",...},"usedMs":90
 *   44.5196 "event":"run-ended","instance":"i-f11e9d6dce","key":18124,"outcome":{"kind":"broken",...},"usedMs":63
 *   45.9911 "event":"run-ended","instance":"i-0cba57f576","key":18124,"outcome":{"kind":"broken",...},"usedMs":103
 *   46.5050 "event":"run-ended","instance":"i-81642092ab","key":18124,"outcome":{"kind":"broken",...},"usedMs":97
 * None of the 32 requests of that key whose end was logged was answered, and they had come in beside three services.
 */
import test from 'ava';
import type { FleetSpec, FleetTraffic } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';

/** Time in ms after the third end within which every daemon must know. */
const CONTACT_MS = 3_000;

/** Status of an answer after which no caller comes back. */
const FINAL_STATUS = 400;

/** Ends after which a request counts as one that ends what runs it, and runs of it that may follow. */
const ENDS_THAT_TELL = 3;
const RUNS_ALLOWED = 3;

const TRAFFIC_MS = 24_000;
const UNTIL_MS = FLEET_READY_MS + TRAFFIC_MS;
const SEEDS = [1, 2, 3];
const MANY_SEEDS = Array.from({ length: 10 }, (_, at) => at + 1);

const KEYS = 65_536;
const GUILTY_KEY = 18_124;

const COMMON = {
  startMs: FLEET_READY_MS,
  deadlineMs: 1_500,
  workMs: 60,
  maxRetries: 1,
  endsBackend: false,
} as const;

/** Requests of which each has a path of its own. */
function varied(service: string, keyed: boolean, method: 'GET' | 'POST'): FleetTraffic {
  const name = `${service}-${method}`;
  const key = (number: number): number | null => (keyed ? (number * 7_919) % KEYS : null);
  return {
    ...COMMON,
    name,
    service,
    method,
    path: (number) => `/${name}/${number}`,
    key,
    meanIntervalMs: 70,
  };
}

/** The same request again and again, beside all the others. */
function popular(service: string, keyed: boolean): FleetTraffic {
  const name = `${service}-popular`;
  const key = keyed ? GUILTY_KEY + 1 : null;
  return {
    ...COMMON,
    name,
    service,
    method: 'GET',
    path: () => `/${name}/same`,
    key: () => key,
    meanIntervalMs: 120,
  };
}

/** The request that ends every back end that runs it. */
function guilty(service: string, keyed: boolean, method: 'GET' | 'POST'): FleetTraffic {
  const name = 'guilty';
  const key = keyed ? GUILTY_KEY : null;
  const startMs = FLEET_READY_MS + 2_000;
  const path = (): string => '/guilty/same';
  return {
    ...COMMON,
    name,
    service,
    method,
    path,
    key: () => key,
    startMs,
    meanIntervalMs: 350,
    endsBackend: true,
  };
}

function fleet(traffic: readonly FleetTraffic[], spontaneousEndIntervalMs: number | null = null): FleetSpec {
  return {
    services: [
      { name: 'plain', keyed: false, backends: 6, grantMode: 'heartbeat' },
      { name: 'keyed', keyed: true, backends: 4, grantMode: 'heartbeat' },
    ],
    traffic: [
      varied('plain', false, 'GET'),
      varied('plain', false, 'POST'),
      popular('plain', false),
      varied('keyed', true, 'GET'),
      popular('keyed', true),
      ...traffic,
    ],
    restartDelayMs: 1_500,
    slots: 6,
    spontaneousEndIntervalMs,
  };
}

const INNOCENT = ['plain-GET', 'plain-POST', 'plain-popular', 'keyed-GET', 'keyed-popular'];

const POPULAR: ReadonlySet<string> = new Set(['plain-popular', 'keyed-popular']);

/** Who sends the request, and the least share of all other requests that must be served meanwhile. */
const CASES: readonly { name: string; guilty: FleetTraffic; leastServed: number }[] = [
  { name: 'a request that may be repeated', guilty: guilty('plain', false, 'GET'), leastServed: 0.97 },
  { name: 'a request that must not be repeated', guilty: guilty('plain', false, 'POST'), leastServed: 0.97 },
  { name: 'a request that has a key', guilty: guilty('keyed', true, 'GET'), leastServed: 0.93 },
];

async function play(seed: number, spec: FleetSpec): Promise<FleetWorld> {
  const world = new FleetWorld(seed, spec);
  await world.start();
  world.startTraffic(UNTIL_MS);
  await world.runUntil(UNTIL_MS);
  return world;
}

function leastShare(world: FleetWorld): number {
  return Math.min(...INNOCENT.map((traffic) => world.servedShare(traffic)));
}

for (const { name, guilty: request, leastServed } of CASES) {
  test(`${name} and ends every back end that runs it is sent to three of them, and to three more at most`, async (t) => {
    for (const seed of SEEDS) {
      const world = await play(seed, fleet([request]));
      const ends = world.ends().filter(({ under }) => under.includes(request.name));
      const toldMs = ends[ENDS_THAT_TELL - 1]?.atMs ?? Infinity;
      const later = world.runsSince(request.name, toldMs + CONTACT_MS).length;
      t.true(later <= RUNS_ALLOWED, `seed ${seed}: ${later} runs long after the third end`);
      t.true(ends.length <= ENDS_THAT_TELL + RUNS_ALLOWED, `seed ${seed}: ${ends.length} back ends ended`);
      t.true(
        leastShare(world) >= leastServed,
        `seed ${seed}: ${leastShare(world)} of the others were served`,
      );
    }
  });
}

test('back ends that end by themselves shut out no request, however often it comes', async (t) => {
  let sharesSum = 0;
  let endsUnderPopular = 0;
  for (const seed of MANY_SEEDS) {
    const world = await play(seed, fleet([], 900));
    const under = world.ends().filter((end) => end.under.some((traffic) => POPULAR.has(traffic)));
    endsUnderPopular += under.length;
    const attempts = world.callers.requests.flatMap((request) => request.attempts);
    const shutOut = attempts.filter(({ status }) => status === FINAL_STATUS).length;
    t.is(shutOut, 0, `seed ${seed}: ${shutOut} requests were refused for good`);
    sharesSum += leastShare(world);
  }
  const leastEnds = 4 * MANY_SEEDS.length;
  t.true(endsUnderPopular >= leastEnds, `${endsUnderPopular} back ends ended under requests that come often`);
  // An owner that ends thrice in a row costs its busiest key 0.1: 40 seeds of the untouched code gave 0.968 on average
  // with a deviation of 0.015, so the mean of ten tells a loss of 0.02 from luck.
  const share = sharesSum / MANY_SEEDS.length;
  t.true(share >= 0.95, `${share} were served`);
});
