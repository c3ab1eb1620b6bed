/**
 * A back end ended and started again at once, so that no connection was refused, and its first heartbeat came late. Until
 * then the daemon beside it, which grants keys by calls, renewed what it had granted to the life before, and the new life
 * took it under the old fence: the calls went to whoever listened at the address. A life with an id of its own now turns
 * away a grant that names another id; one under the same id is granted nothing between a run that broke off, or work that
 * was turned away, and the next heartbeat.
 *
 * What settled it, with a first heartbeat that is 1.5 s late (1 of 6 seeds each, with an id of its own and the same one):
 *   fence-rises: keyed-0-life-2 takes 0-16383@11 after keyed-0-life-1 held 0-16383@11
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';

const KEYS = 65_536;
const SEEDS = [1, 2, 3, 4, 5, 6];
const UNTIL_MS = FLEET_READY_MS + 12_000;
const ENDS_MS = FLEET_READY_MS + 1_000;
const SEED_STEP_MS = 130;
const LATE_MS = 1_500;

const SPEC: FleetSpec = {
  services: [{ name: 'keyed', keyed: true, backends: 4, grantMode: 'invoke' }],
  traffic: [
    {
      name: 'reads',
      service: 'keyed',
      method: 'GET',
      path: (number) => `/reads/${number}`,
      key: (number) => (number * 7_919) % KEYS,
      meanIntervalMs: 20,
      startMs: FLEET_READY_MS,
      deadlineMs: 1_500,
      workMs: 40,
      endsBackend: false,
      maxRetries: 1,
    },
  ],
  restartDelayMs: 1_500,
  slots: 6,
  spontaneousEndIntervalMs: null,
};

for (const sameId of [false, true]) {
  const name = sameId ? 'the same id' : 'an id of its own';
  test(`a life that begins at once and tells so late is granted nothing of its forerunner's: ${name}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, SPEC);
      const [machine] = world.machines;
      if (machine === undefined) throw new Error('invariant broken: no machine');
      machine.reusesId = sameId;
      await world.start();
      world.startTraffic(UNTIL_MS);
      await world.runUntil(ENDS_MS + seed * SEED_STEP_MS);
      machine.delayNextHeartbeat(LATE_MS);
      machine.restartBackend();
      await world.runUntil(UNTIL_MS);
      t.deepEqual(world.violations, [], `seed ${seed}`);
      const share = world.servedShare('reads', UNTIL_MS - 3_000, UNTIL_MS - 500);
      t.true(share > 0.95, `seed ${seed}: ${share} served again`);
    }
  });
}
