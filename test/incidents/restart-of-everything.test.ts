/**
 * Guards against slots that stay free after a loss of all power. Back ends began before their daemons and had repeated
 * their heartbeats, so the daemons took them for incarnations that a previous process might have been told a limit of, and
 * sent one request at a time until an answer.
 */
import test from 'ava';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';

const SEEDS = [1, 2, 3];
const LOST_MS = FLEET_READY_MS + 2_000;

/** Time in ms until the first daemon runs again, and the spread of the others. */
const MIN_DOWN_MS = 1_000;
const DOWN_SPREAD_MS = 200;

const WINDOW_MS = 2_000;
const WINDOWS = 3;

const SPEC: FleetSpec = {
  services: [{ name: 'plain', keyed: false, backends: 6, grantMode: 'heartbeat' }],
  traffic: [
    {
      name: 'reads',
      service: 'plain',
      method: 'GET',
      path: (number) => `/reads/${number}`,
      key: () => null,
      meanIntervalMs: 30,
      startMs: FLEET_READY_MS,
      deadlineMs: 1_500,
      workMs: 800,
      endsBackend: false,
      maxRetries: 1,
    },
  ],
  restartDelayMs: 200,
  slots: 6,
  spontaneousEndIntervalMs: null,
};

/** Shares of served requests in the windows after the first daemon runs again. */
async function servedShares(seed: number): Promise<{ shares: number[]; world: FleetWorld }> {
  const world = new FleetWorld(seed, SPEC);
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

for (const seed of SEEDS) {
  test(`requests are served soon after a loss of all power: seed ${seed}`, async (t) => {
    const { shares, world } = await servedShares(seed);
    t.log(shares.map((share) => share.toFixed(3)).join(' '));
    t.deepEqual(world.violations, []);
    t.true((shares[0] ?? 0) > 0.9, `${shares[0]} in the first window`);
    t.true((shares[1] ?? 0) > 0.95, `${shares[1]} in the second window`);
  });
}
