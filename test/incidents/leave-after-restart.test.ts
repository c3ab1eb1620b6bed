/**
 * Guards against a registration that ends while its back end still holds keys. A daemon was killed and restarted at once;
 * its back end announced its leave and kept serving. The new process knew of no grants and gave up the registration, so the
 * keys were granted to other back ends while the leaving one still held them.
 *
 * Reproduced in all seeds, with grants in heartbeats:
 *   keyed-0|keyed-1 hold the same keys for more than 500 ms
 */
import test from 'ava';
import { HEARTBEAT_MS, type FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { GrantMode } from '../../src/directory/directory-state.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const SETTLE_MS = 1_000;

/** Time in ms until the daemon restarts, and from the back end's next heartbeat to its goodbye. */
const OUTAGE_MS = 100;
const GOODBYE_DELAY_MS = 20;

/** Times in ms from the goodbye until the daemon reaches the directory again. */
const HEAL_DELAYS_MS = [0, 30, 60, 300];

/** Time in ms until every grant has expired, and interval between checks. */
const GRANT_EXPIRY_MS = 8_000;
const CHECK_INTERVAL_MS = 1;

function specOf(grantMode: GrantMode): FleetSpec {
  const services = [{ name: 'keyed', keyed: true, backends: 4, grantMode }];
  return { services, traffic: [], restartDelayMs: 20_000, slots: 6, spontaneousEndIntervalMs: null };
}

async function runUntilHeartbeat(world: FleetWorld, { backend }: FleetMachine): Promise<void> {
  const sequence = backend?.sequence;
  while (backend?.sequence === sequence) await world.runUntil(world.queue.nowMs + CHECK_INTERVAL_MS);
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  test(`a back end that leaves just after its daemon restarted stays registered while it may hold keys: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      for (const healDelayMs of HEAL_DELAYS_MS) {
        const world = new FleetWorld(seed, specOf(grantMode));
        const wait = async (ms: number): Promise<void> => {
          await world.runUntil(world.queue.nowMs + ms);
        };
        await world.start();
        await world.runUntil(FLEET_READY_MS + SETTLE_MS);
        const [machine] = world.machines;
        if (machine === undefined) throw new Error('invariant broken: no machine');
        await runUntilHeartbeat(world, machine);
        machine.startDraining();
        await wait(HEARTBEAT_MS / 100);
        machine.crash();
        world.cutFromDirectory(machine);
        await wait(OUTAGE_MS);
        await machine.start();
        await runUntilHeartbeat(world, machine);
        await wait(GOODBYE_DELAY_MS);
        machine.sendLeave();
        await wait(healDelayMs);
        world.heal();
        await wait(GRANT_EXPIRY_MS);
        t.deepEqual(world.violations, [], `seed ${seed}, healed after ${healDelayMs} ms`);
      }
    }
  });
}
