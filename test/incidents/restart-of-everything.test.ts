/**
 * Guards against slots that stay free after a loss of all power. Back ends began before their daemons and had repeated
 * their heartbeats, so the daemons took them for incarnations that a previous process might have been told a limit of, and
 * sent one request at a time until an answer. Where the back ends own keys, all owners were lost at once, and one back end
 * got most of the keys.
 */
import test from 'ava';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { FleetService, FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';

const SEEDS = [1, 2, 3];
const LOST_MS = FLEET_READY_MS + 2_000;

/** Time in ms until the first daemon runs again, and the spread of the others. */
const MIN_DOWN_MS = 1_000;
const DOWN_SPREAD_MS = 200;

const WINDOW_MS = 2_000;
const WINDOWS = 3;

const LAST_KEY = 65_535;

/** Multiplier that spreads consecutive request numbers over the keys. */
const KEY_STEP = 7_919;

interface Play {
  readonly service: FleetService;
  readonly meanIntervalMs: number;
  readonly workMs: number;
}

const PLAYS: readonly Play[] = [
  {
    service: { name: 'plain', keyed: false, backends: 6, grantMode: 'heartbeat' },
    meanIntervalMs: 30,
    workMs: 800,
  },
  {
    service: { name: 'keyed', keyed: true, backends: 12, grantMode: 'heartbeat' },
    meanIntervalMs: 10,
    workMs: 200,
  },
];

function specOf({ service, meanIntervalMs, workMs }: Play): FleetSpec {
  const traffic = {
    name: 'reads',
    service: service.name,
    method: 'GET',
    path: (number: number) => `/reads/${number}`,
    key: (number: number) => (service.keyed ? (number * KEY_STEP) % (LAST_KEY + 1) : null),
    meanIntervalMs,
    startMs: FLEET_READY_MS,
    deadlineMs: 1_500,
    workMs,
    endsBackend: false,
    maxRetries: 1,
  } as const;
  return {
    services: [service],
    traffic: [traffic],
    restartDelayMs: 200,
    slots: 6,
    spontaneousEndIntervalMs: null,
  };
}

/** Shares of served requests in the windows after the first daemon runs again. */
async function servedShares(seed: number, play: Play): Promise<{ shares: number[]; world: FleetWorld }> {
  const world = new FleetWorld(seed, specOf(play));
  for (const machine of world.machines) machine.repeatsHeartbeats = true;
  await world.start();
  const backMs = LOST_MS + MIN_DOWN_MS;
  const endMs = backMs + WINDOWS * WINDOW_MS;
  world.startTraffic(endMs);
  await world.runUntil(LOST_MS);
  world.loseAllPower(() => MIN_DOWN_MS + world.random.below(DOWN_SPREAD_MS));
  await world.runUntil(endMs + WINDOW_MS);
  const shares = Array.from({ length: WINDOWS }, (_, at) =>
    world.servedShare('reads', backMs + at * WINDOW_MS, backMs + (at + 1) * WINDOW_MS),
  );
  return { shares, world };
}

for (const play of PLAYS) {
  for (const seed of SEEDS) {
    test(`requests are served soon after a loss of all power: ${play.service.name}, seed ${seed}`, async (t) => {
      const { shares, world } = await servedShares(seed, play);
      t.log(shares.map((share) => share.toFixed(3)).join(' '));
      t.deepEqual(world.violations, []);
      t.true((shares[0] ?? 0) > 0.9, `${shares[0]} in the first window`);
      t.true((shares[1] ?? 0) > 0.95, `${shares[1]} in the second window`);
    });
  }
}
