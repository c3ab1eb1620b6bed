/**
 * Guards against a daemon that grants keys on an expired lease after its machine was suspended for seconds. The monotonic
 * clock does not count that time, so the daemon finds every lease, grant and confirmation as fresh as before, although the
 * directory has given its keys to another back end meanwhile, and it keeps granting them to its own.
 *
 * The cause shows in the clocks of the daemons, not in a log: every time that they compared came from CLOCK_MONOTONIC.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';

const KEYS = 65_536;

/** Time in ms of a suspension that is longer than a lease. */
const SUSPENSION_MS = 12_000;
/** Time in ms that is shorter than a lease, and long enough for a new incarnation of the back end to start. */
const FREEZE_MS = 3_000;
/** Time in ms for which the machine stays cut off from the directory after it has resumed. */
const CUT_AFTER_RESUME_MS = 3_000;
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
  test(`a machine that resumes after its lease expired grants no keys that have another owner: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, keyedFleet(grantMode));
      await world.start();
      const untilMs = FLEET_READY_MS + SUSPENSION_MS + CUT_AFTER_RESUME_MS + 6_000;
      world.startTraffic(untilMs);
      const machine = world.machines[0];
      if (machine === undefined) throw new Error('invariant broken: no machine');
      await world.runUntil(FLEET_READY_MS + 1_000);
      world.cutFromDirectory(machine);
      machine.process.suspend();
      await world.runUntil(FLEET_READY_MS + 1_000 + SUSPENSION_MS);
      machine.process.thaw();
      await world.runUntil(FLEET_READY_MS + 1_000 + SUSPENSION_MS + CUT_AFTER_RESUME_MS);
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
  test(`a daemon that was frozen grants nothing to a back end that started at the address meanwhile: ${grantMode}`, async (t) => {
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
      await world.runUntil(FLEET_READY_MS + 1_000 + FREEZE_MS);
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

test('a forward step of the wall clock of a leader expires no lease early', async (t) => {
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
  t.is(world.directory.leaderReplica()?.name, leader?.name, 'it is still the leader');
});
