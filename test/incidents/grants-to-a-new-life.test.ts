/**
 * Guards against a new incarnation that is granted the keys of the one before it under the old fence. A back end restarted
 * at once, so that no connection was refused, and its first heartbeat came late. Until then the daemon, which grants keys
 * by calls, renewed the grants of the earlier incarnation, and the calls went to whichever process listened at the address.
 * An incarnation with a new id now rejects a grant that names another id; one with the same id is granted nothing between a
 * broken run, or rejected work, and its next heartbeat.
 *
 * Observed with a first heartbeat that is 1.5 s late (in 1 of 6 seeds each, with a new id and with the same id):
 *   fence-rises: keyed-0-life-2 takes 0-16383@11 after keyed-0-life-1 held 0-16383@11
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';

const KEYS = 65_536;
const SEEDS = [1, 2, 3, 4, 5, 6];
const END_MS = FLEET_READY_MS + 12_000;
const RESTART_MS = FLEET_READY_MS + 1_000;
const SEED_STEP_MS = 130;
const HEARTBEAT_DELAY_MS = 1_500;

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
  const name = sameId ? 'the same id' : 'a new id';
  test(`a restarted back end whose first heartbeat is late is granted no keys of its earlier incarnation: ${name}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, SPEC);
      const [machine] = world.machines;
      if (machine === undefined) throw new Error('invariant broken: no machine');
      machine.reusesId = sameId;
      await world.start();
      world.startTraffic(END_MS);
      await world.runUntil(RESTART_MS + seed * SEED_STEP_MS);
      machine.delayNextHeartbeat(HEARTBEAT_DELAY_MS);
      machine.restartBackend();
      await world.runUntil(END_MS);
      t.deepEqual(world.violations, [], `seed ${seed}`);
      const share = world.servedShare('reads', END_MS - 3_000, END_MS - 500);
      t.true(share > 0.95, `seed ${seed}: ${share} served again`);
    }
  });
}
