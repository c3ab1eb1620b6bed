/**
 * Guards against one request that crashes one back end after another. A service lost nine back ends within a minute, under
 * no more load than before, while the services beside it were healthy. The request was repeated with a new id each time and
 * through another daemon. Daemons kept no record beyond a request, so each repetition was sent to the next back end; up to
 * five other requests broke off with it each time, and of 47 requests of the service in a second 5 were answered in time.
 *
 * The broken runs of all five logged crashes had one key in common, and no other key occurred at two of them:
 *   36.7398 "event":"run-ended","instance":"i-e115c347ef","key":18124,"outcome":{"kind":"broken",...},"usedMs":46
 *   39.6721 "event":"run-ended","instance":"i-3e6a840a19","key":18124,"outcome":{"kind":"broken",...},"usedMs":90
 *   44.5196 "event":"run-ended","instance":"i-f11e9d6dce","key":18124,"outcome":{"kind":"broken",...},"usedMs":63
 *   45.9911 "event":"run-ended","instance":"i-0cba57f576","key":18124,"outcome":{"kind":"broken",...},"usedMs":103
 *   46.5050 "event":"run-ended","instance":"i-81642092ab","key":18124,"outcome":{"kind":"broken",...},"usedMs":97
 * None of the 32 requests of that key whose end was logged was answered; they arrived at daemons of three services.
 */
import test from 'ava';
import type { FleetSpec, FleetTraffic } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';

/** Time in ms after the third crash within which every daemon must know of the request. */
const PROPAGATION_MS = 3_000;

/** Status of a final refusal, after which no caller retries. */
const FINAL_STATUS = 400;

/** Crashes after which a request counts as crashing its back ends, and runs of it that may follow. */
const CRASHES_TO_DETECT = 3;
const MAX_LATER_RUNS = 3;

const TRAFFIC_MS = 24_000;
const END_MS = FLEET_READY_MS + TRAFFIC_MS;
const SEEDS = [1, 2, 3];
const MANY_SEEDS = Array.from({ length: 10 }, (_, at) => at + 1);

const KEYS = 65_536;
const CRASHING_KEY = 18_124;

const COMMON = {
  startMs: FLEET_READY_MS,
  deadlineMs: 1_500,
  workMs: 60,
  maxRetries: 1,
  endsBackend: false,
} as const;

/** Requests that each have a path of their own. */
function distinctRequests(service: string, keyed: boolean, method: 'GET' | 'POST'): FleetTraffic {
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

/** One request that is repeated, alongside all the others. */
function repeatedRequests(service: string, keyed: boolean): FleetTraffic {
  const name = `${service}-popular`;
  const key = keyed ? CRASHING_KEY + 1 : null;
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

/** The request that crashes every back end that runs it. */
function crashingRequests(service: string, keyed: boolean, method: 'GET' | 'POST'): FleetTraffic {
  const name = 'crashing';
  const key = keyed ? CRASHING_KEY : null;
  const startMs = FLEET_READY_MS + 2_000;
  const path = (): string => '/crashing/same';
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
      distinctRequests('plain', false, 'GET'),
      distinctRequests('plain', false, 'POST'),
      repeatedRequests('plain', false),
      distinctRequests('keyed', true, 'GET'),
      repeatedRequests('keyed', true),
      ...traffic,
    ],
    restartDelayMs: 1_500,
    slots: 6,
    spontaneousEndIntervalMs,
  };
}

const OTHER_TRAFFIC = ['plain-GET', 'plain-POST', 'plain-popular', 'keyed-GET', 'keyed-popular'];

const REPEATED: ReadonlySet<string> = new Set(['plain-popular', 'keyed-popular']);

/** Kinds of the crashing request, and the minimum share of all other requests that must be served meanwhile. */
const CASES: readonly { name: string; crashing: FleetTraffic; minServed: number }[] = [
  { name: 'an idempotent request', crashing: crashingRequests('plain', false, 'GET'), minServed: 0.97 },
  {
    name: 'a request that is not idempotent',
    crashing: crashingRequests('plain', false, 'POST'),
    minServed: 0.97,
  },
  { name: 'a request with a key', crashing: crashingRequests('keyed', true, 'GET'), minServed: 0.93 },
];

async function runWorld(seed: number, spec: FleetSpec): Promise<FleetWorld> {
  const world = new FleetWorld(seed, spec);
  await world.start();
  world.startTraffic(END_MS);
  await world.runUntil(END_MS);
  return world;
}

function minServedShare(world: FleetWorld): number {
  return Math.min(...OTHER_TRAFFIC.map((traffic) => world.servedShare(traffic)));
}

for (const { name, crashing: request, minServed } of CASES) {
  test(`${name} that crashes its back ends is sent to three of them, and to at most three more`, async (t) => {
    for (const seed of SEEDS) {
      const world = await runWorld(seed, fleet([request]));
      const ends = world.ends().filter(({ under }) => under.includes(request.name));
      const detectedMs = ends[CRASHES_TO_DETECT - 1]?.atMs ?? Infinity;
      const later = world.runsSince(request.name, detectedMs + PROPAGATION_MS).length;
      t.true(later <= MAX_LATER_RUNS, `seed ${seed}: ${later} runs long after the third crash`);
      t.true(
        ends.length <= CRASHES_TO_DETECT + MAX_LATER_RUNS,
        `seed ${seed}: ${ends.length} back ends ended`,
      );
      t.true(
        minServedShare(world) >= minServed,
        `seed ${seed}: ${minServedShare(world)} of the others were served`,
      );
    }
  });
}

test('back ends that crash by themselves block no request, however frequent it is', async (t) => {
  let sharesSum = 0;
  let endsUnderPopular = 0;
  for (const seed of MANY_SEEDS) {
    const world = await runWorld(seed, fleet([], 900));
    const under = world.ends().filter((end) => end.under.some((traffic) => REPEATED.has(traffic)));
    endsUnderPopular += under.length;
    const attempts = world.callers.requests.flatMap((request) => request.attempts);
    const shutOut = attempts.filter(({ status }) => status === FINAL_STATUS).length;
    t.is(shutOut, 0, `seed ${seed}: ${shutOut} requests were refused for good`);
    sharesSum += minServedShare(world);
  }
  const minEnds = 4 * MANY_SEEDS.length;
  t.true(endsUnderPopular >= minEnds, `${endsUnderPopular} back ends ended under frequent requests`);
  // An owner that crashes three times in a row costs its busiest key 0.1: 40 seeds of the unmodified code gave a mean of
  // 0.968 with a standard deviation of 0.015, so the mean of ten seeds shows a loss of 0.02 reliably.
  const share = sharesSum / MANY_SEEDS.length;
  t.true(share >= 0.95, `${share} were served`);
});
