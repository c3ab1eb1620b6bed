/** Simulation tests of a directory under faults, in virtual time. */
import test from 'ava';
import { SLOW_CPU_SIZE, DirectoryWorld, runDirectory } from '../../lab/sim/directory-world.js';
import { DEFAULT_DIRECTORY_TIMING } from '../../src/directory/directory-settings.js';

const SEEDS = Array.from({ length: 12 }, (_, at) => at + 1);

test('replicas form from their seeds and acknowledge changes only when they survive the tolerated losses', async (t) => {
  const world = new DirectoryWorld(1);
  await world.start();
  for (let atMs = 100; atMs <= 4_000; atMs += 100) {
    await world.runUntil(atMs);
    world.change('item');
    const voters = world.leader()?.consensus?.core.committedMembership()?.voters.length ?? 0;
    if (voters < 5) t.is(world.acknowledged.size, 0);
  }
  t.is(world.leader()?.consensus?.core.membership.voters.length, 5);
  await world.runUntil(5_000);
  t.is(world.acknowledged.size, 1);
});

for (const seed of SEEDS) {
  test(`crashes, lost disks, freezes and partitions: seed ${seed}`, async (t) => {
    const { violations, acknowledged } = await runDirectory(seed);
    t.deepEqual(violations, []);
    t.true(acknowledged > 0);
  });
}

for (const seed of SEEDS.slice(0, 4)) {
  test(`crashes, lost disks, freezes and partitions among eleven replicas with scarce CPU time: seed ${seed}`, async (t) => {
    const { violations, acknowledged } = await runDirectory(seed, SLOW_CPU_SIZE);
    t.deepEqual(violations, []);
    t.true(acknowledged > 0);
  });
}

/** Returns the time in ms from a simultaneous restart of all replicas until one leads. */
async function leaderlessMs(seed: number): Promise<number> {
  const readyMs = 6_000;
  const downMs = 500;
  const world = new DirectoryWorld(seed);
  await world.start();
  await world.runUntil(readyMs);
  for (const replica of world.replicas) world.injectFault('crash', replica, downMs);
  for (let sinceMs = 0; sinceMs < 5_000; sinceMs += 10) {
    await world.runUntil(readyMs + downMs + sinceMs);
    if (world.leader() !== null) return sinceMs;
  }
  return Infinity;
}

test('after a crash of all replicas, a leader is elected within half an election timeout on average', async (t) => {
  let sumMs = 0;
  for (const seed of SEEDS) sumMs += await leaderlessMs(seed);
  const meanMs = sumMs / SEEDS.length;
  t.true(meanMs < DEFAULT_DIRECTORY_TIMING.electionTimeoutMs / 2, `${meanMs} ms`);
});
