/**
 * A back end was replaced while the directory replica that its daemon had followed stood still. The daemon registered the new
 * life by way of another replica. When the first one went on, it passed on what it had been sent before, a registration of
 * the life that had ended, and the directory took that for news: it ended the registration of the new life and gave its keys
 * away while they were held.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { SimReplica } from '../../lab/sim/sim-directory.js';
import type { EventFields } from '../../src/telemetry/event-log.js';

const KEYS = 65_536;
const SEEDS = [1, 2, 3];
const CRASHED_MS = 1_000;
const SUSPENDED_MS = 2_100;

/** The daemon still follows the replica when its back end says that it leaves, and not any more when the next one begins. */
const LEAVES_AFTER_MS = 700;
const ENDS_AFTER_MS = 100;

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

/** Events of all daemons that concern the directory. */
class DirectoryEvents {
  readonly registrationsEnded: string[] = [];
  followed: string | null = null;

  event(name: string, fields: EventFields): void {
    if (name === 'registration-ended') this.registrationsEnded.push(JSON.stringify(fields));
    if (name === 'directory-connected' && typeof fields['replica'] === 'string')
      this.followed = fields['replica'];
  }

  failure(): void {
    // Nor do those that fail.
  }

  routine(): void {
    // Requests say nothing here.
  }
}

/** Lets replicas crash until daemons follow one that does not lead; one that leads passes on nothing when it wakes. */
async function findFollower(world: FleetWorld, events: DirectoryEvents): Promise<SimReplica> {
  for (;;) {
    const followed = world.directory.replicas.find(({ name }) => name === events.followed);
    if (followed === undefined) throw new Error('invariant broken: daemons follow nobody');
    if (world.directory.leaderReplica() !== followed) return followed;
    world.directory.injectFault('crash', followed, CRASHED_MS);
    await world.runUntil(world.queue.nowMs + 2 * CRASHED_MS);
  }
}

for (const seed of SEEDS) {
  test(`a registration that a replica held back ends no newer one: seed ${seed}`, async (t) => {
    const events = new DirectoryEvents();
    const world = new FleetWorld(seed, SPEC, events);
    await world.start();
    const followed = await findFollower(world, events);
    const suspendedMs = world.queue.nowMs;
    const untilMs = suspendedMs + 8_000;
    world.startTraffic(untilMs);
    world.directory.injectFault('suspend', followed, SUSPENDED_MS);
    await world.runUntil(suspendedMs + LEAVES_AFTER_MS);
    for (const machine of world.machines) machine.drainAndEndBackend(ENDS_AFTER_MS);
    await world.runUntil(untilMs);
    t.deepEqual(events.registrationsEnded, []);
    t.deepEqual(world.violations, []);
    t.true(world.servedShare('reads', untilMs - 3_000, untilMs - 500) > 0.95);
  });
}
