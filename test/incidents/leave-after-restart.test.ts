/**
 * A daemon was killed and was back at once; its back end said that it leaves, and served on. The new process knew of nothing
 * that had been granted and gave the registration up, so the keys went to others while the back end still held them.
 *
 * What settled it, with grants in heartbeats, in all seeds:
 *   keyed-0|keyed-1 hold the same keys for more than 500 ms
 */
import test from 'ava';
import { HEARTBEAT_MS, type FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { GrantMode } from '../../src/directory/directory-state.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const CALM_MS = 1_000;

/** Time after which the daemon is back, and from its next heartbeat on until the back end says goodbye, in ms. */
const DOWN_MS = 100;
const GOODBYE_AFTER_MS = 20;

/** Pauses from the back end's last word to the end of its daemon's being cut off from the directory, in ms. */
const HEALED_AFTER_MS = [0, 30, 60, 300];

/** Time until nothing that was granted is held any more, and pause between looks, in ms. */
const UNTIL_HELD_NO_MORE_MS = 8_000;
const LOOK_MS = 1;

function specOf(grantMode: GrantMode): FleetSpec {
  const services = [{ name: 'keyed', keyed: true, backends: 4, grantMode }];
  return { services, traffic: [], restartDelayMs: 20_000, slots: 6, spontaneousEndIntervalMs: null };
}

async function runUntilHeartbeat(world: FleetWorld, { backend }: FleetMachine): Promise<void> {
  const sequence = backend?.sequence;
  while (backend?.sequence === sequence) await world.runUntil(world.queue.nowMs + LOOK_MS);
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  test(`a back end that leaves a daemon just started keeps its registration while it may hold keys: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      for (const healedAfterMs of HEALED_AFTER_MS) {
        const world = new FleetWorld(seed, specOf(grantMode));
        const wait = async (ms: number): Promise<void> => {
          await world.runUntil(world.queue.nowMs + ms);
        };
        await world.start();
        await world.runUntil(FLEET_READY_MS + CALM_MS);
        const [machine] = world.machines;
        if (machine === undefined) throw new Error('invariant broken: no machine');
        await runUntilHeartbeat(world, machine);
        machine.startDraining();
        await wait(HEARTBEAT_MS / 100);
        machine.crash();
        world.cutFromDirectory(machine);
        await wait(DOWN_MS);
        await machine.start();
        await runUntilHeartbeat(world, machine);
        await wait(GOODBYE_AFTER_MS);
        machine.sendLeave();
        await wait(healedAfterMs);
        world.heal();
        await wait(UNTIL_HELD_NO_MORE_MS);
        t.deepEqual(world.violations, [], `seed ${seed}, healed after ${healedAfterMs} ms`);
      }
    }
  });
}
