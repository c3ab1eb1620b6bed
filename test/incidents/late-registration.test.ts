/**
 * Guards against a delayed registration that ends a newer one. A back end was replaced while the directory replica that its
 * daemon had followed was suspended, and the daemon registered the new incarnation through another replica. When the first
 * replica resumed, it forwarded an earlier registration, of the incarnation that had ended. The directory took it for a
 * newer one: it ended the registration of the new incarnation and gave its keys away while they were held.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { DirectoryEvents } from './followed-replica.js';

const KEYS = 65_536;
const SEEDS = [1, 2, 3];
const SUSPENSION_MS = 2_100;

/** The daemon still follows the suspended replica when its back end announces its leave, but not when the next one starts. */
const LEAVE_DELAY_MS = 700;
const END_DELAY_MS = 100;

const SPEC: FleetSpec = {
  services: [{ name: 'keyed', keyed: true, backends: 3, grantMode: 'invoke' }],
  traffic: [
    {
      name: 'reads',
      service: 'keyed',
      method: 'GET',
      path: (number) => `/reads/${number}`,
      key: (number) => (number * 7_919) % KEYS,
      meanIntervalMs: 30,
      startMs: FLEET_READY_MS,
      deadlineMs: 1_500,
      workMs: 40,
      endsBackend: false,
      maxRetries: 1,
    },
  ],
  restartDelayMs: 500,
  slots: 6,
  spontaneousEndIntervalMs: null,
};

for (const seed of SEEDS) {
  test(`a registration that a suspended replica forwards late ends no newer one: seed ${seed}`, async (t) => {
    const events = new DirectoryEvents();
    const world = new FleetWorld(seed, SPEC, events);
    await world.start();
    const followed = await events.findFollower(world);
    const suspendedMs = world.queue.nowMs;
    const untilMs = suspendedMs + 8_000;
    world.startTraffic(untilMs);
    world.directory.injectFault('suspend', followed, SUSPENSION_MS);
    await world.runUntil(suspendedMs + LEAVE_DELAY_MS);
    for (const machine of world.machines) machine.drainAndEndBackend(END_DELAY_MS);
    await world.runUntil(untilMs);
    t.deepEqual(events.registrationsEnded, []);
    t.deepEqual(world.violations, []);
    t.true(world.servedShare('reads', untilMs - 3_000, untilMs - 500) > 0.95);
  });
}
