/**
 * A machine may be suspended for seconds. Its steady clock does not count that time, so a daemon that wakes up finds every
 * lease, grant and confirmation as fresh as before, although the others have long gone on without it: its keys have been
 * given to another back end, and it goes on granting them to its own.
 *
 * No line of a log settled this; the clocks of the daemons did. Every time that they compared came from CLOCK_MONOTONIC.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';

const KEYS = 65_536;

/** Longer than a lease, and for how long the machine is cut off from the directory after it has woken. */
const SUSPENDED_MS = 12_000;
/** Shorter than a lease, and long enough for another life of the back end to begin. */
const FROZEN_MS = 3_000;
const STILL_CUT_MS = 3_000;
const SEEDS = [1, 2, 3];

function keyedFleet(grantMode: 'heartbeat' | 'invoke'): FleetSpec {
  return {
    services: [{ name: 'keyed', keyed: true, backends: 4, grantMode }],
    traffic: [
      {
        name: 'reads',
        service: 'keyed',
        method: 'GET',
        path: (number) => `/reads/${number}`,
        key: (number) => (number * 7_919) % KEYS,
        meanIntervalMs: 25,
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
}

for (const grantMode of ['heartbeat', 'invoke'] as const) {
  test(`a machine that wakes after its lease grants no keys that have another owner: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, keyedFleet(grantMode));
      await world.start();
      const untilMs = FLEET_READY_MS + SUSPENDED_MS + STILL_CUT_MS + 6_000;
      world.startTraffic(untilMs);
      const machine = world.machines[0];
      if (machine === undefined) throw new Error('invariant broken: no machine');
      await world.runUntil(FLEET_READY_MS + 1_000);
      world.cutFromDirectory(machine);
      machine.process.suspend();
      await world.runUntil(FLEET_READY_MS + 1_000 + SUSPENDED_MS);
      machine.process.thaw();
      await world.runUntil(FLEET_READY_MS + 1_000 + SUSPENDED_MS + STILL_CUT_MS);
      world.heal();
      await world.runUntil(untilMs);
      t.deepEqual(world.violations, [], `seed ${seed}`);
      t.true(
        world.servedShare('reads', untilMs - 3_000, untilMs - 500) > 0.95,
        `seed ${seed}: not served again`,
      );
    }
  });
}

for (const grantMode of ['heartbeat', 'invoke'] as const) {
  test(`a daemon that stood still grants nothing to a back end that has begun at the address meanwhile: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, keyedFleet(grantMode));
      await world.start();
      const untilMs = FLEET_READY_MS + 8_000;
      world.startTraffic(untilMs);
      const machine = world.machines[0];
      if (machine === undefined) throw new Error('invariant broken: no machine');
      await world.runUntil(FLEET_READY_MS + 1_000);
      machine.process.freeze();
      machine.drainAndEndBackend(400);
      await world.runUntil(FLEET_READY_MS + 1_000 + FROZEN_MS);
      machine.process.thaw();
      await world.runUntil(untilMs);
      t.deepEqual(world.violations, [], `seed ${seed}`);
      t.true(
        world.servedShare('reads', untilMs - 3_000, untilMs - 500) > 0.95,
        `seed ${seed}: not served again`,
      );
    }
  });
}

test('the wall clock of a leader that steps forward ends no lease before its time', async (t) => {
  const world = new DirectoryWorld(1);
  await world.start();
  await world.runUntil(5_000);
  const sessions = world.watchers.map(({ lease }) => lease.session);
  t.true(sessions.every((session) => session !== null));
  const leader = world.directory.leaderReplica();
  leader?.process.stepWallClock(20_000);
  await world.runUntil(9_000);
  t.deepEqual(
    world.watchers.map(({ lease }) => lease.session),
    sessions,
  );
  t.is(world.directory.leaderReplica()?.name, leader?.name, 'it leads on');
});
