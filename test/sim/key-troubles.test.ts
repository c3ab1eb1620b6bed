/**
 * Keys move while processes, replicas or all of them come back with older knowledge of who owns them, in drawn orders: no two
 * back ends hold the same keys, and fences rise with every change of hands.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { KeyTroubles } from '../../lab/sim/fleet/key-troubles.js';
import { Random } from '../../lab/random.js';
import type { GrantMode } from '../../src/directory/directory-state.js';

const SERVICE = 'keyed';
const PLAYS = 30;
const KEYS = 65_536;
const KEY_STEP = 7_919;

/** Time with troubles, until nothing that was granted before can be held, and the calm stretch at the end, in ms. */
const TROUBLED_MS = 10_000;
const SETTLED_MS = 20_000;
const CALM_MS = 3_000;

const LEAST_SERVED = 0.9;

function specOf(grantMode: GrantMode): FleetSpec {
  return {
    services: [{ name: SERVICE, keyed: true, backends: 4, grantMode }],
    traffic: [
      {
        name: 'reads',
        service: SERVICE,
        method: 'GET',
        path: (number) => `/reads/${number}`,
        key: (number) => (number * KEY_STEP) % KEYS,
        everyMs: 20,
        fromMs: FLEET_READY_MS,
        deadlineMs: 1_500,
        workMs: 40,
        endsBackend: false,
        retries: 1,
      },
    ],
    backAfterMs: 1_500,
    slots: 6,
    endsByItselfEveryMs: null,
  };
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  for (let seed = 1; seed <= PLAYS; seed += 1) {
    test(`keys have one owner beside whatever comes back with older knowledge: ${grantMode}, seed ${seed}`, async (t) => {
      const world = new FleetWorld(seed, specOf(grantMode));
      await world.start();
      const endMs = FLEET_READY_MS + TROUBLED_MS + SETTLED_MS;
      world.startTraffic(endMs);
      const troubles = new KeyTroubles(world, SERVICE, new Random(seed));
      troubles.start(FLEET_READY_MS + TROUBLED_MS);
      await world.runUntil(endMs);
      const { brought } = troubles;
      t.deepEqual(world.violations, [], brought.join(', '));
      const share = world.servedShare('reads', endMs - CALM_MS, endMs - CALM_MS / 2);
      t.true(share > LEAST_SERVED, `${share} served again; ${brought.join(', ')}`);
    });
  }
}
