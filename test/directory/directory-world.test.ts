/** A directory under faults, on virtual time. */
import test from 'ava';
import { BUSY_SIZE, DirectoryWorld, runDirectory } from '../../lab/sim/directory-world.js';
import { DEFAULT_DIRECTORY_TIMING } from '../../src/directory/directory-settings.js';

const SEEDS = Array.from({ length: 12 }, (_, at) => at + 1);

test('replicas form from their seeds, and acknowledge nothing before losses that are tolerated cannot take it', async (t) => {
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
  test(`crashes, lost disks, freezes and cuts: seed ${seed}`, async (t) => {
    const { violations, acknowledged } = await runDirectory(seed);
    t.deepEqual(violations, []);
    t.true(acknowledged > 0);
  });
}

for (const seed of SEEDS.slice(0, 4)) {
  test(`crashes, lost disks, freezes and cuts among eleven replicas short of processor time: seed ${seed}`, async (t) => {
    const { violations, acknowledged } = await runDirectory(seed, BUSY_SIZE);
    t.deepEqual(violations, []);
    t.true(acknowledged > 0);
  });
}

/** Time in ms from a restart of all replicas at once until one leads. */
async function leaderlessMs(seed: number): Promise<number> {
  const readyMs = 6_000;
  const downMs = 500;
  const world = new DirectoryWorld(seed);
  await world.start();
  await world.runUntil(readyMs);
  for (const replica of world.replicas) world.strike('crash', replica, downMs);
  for (let sinceMs = 0; sinceMs < 5_000; sinceMs += 10) {
    await world.runUntil(readyMs + downMs + sinceMs);
    if (world.leader() !== null) return sinceMs;
  }
  return Infinity;
}

test('after all replicas lost power one leads again within half an election timeout, on average', async (t) => {
  let sumMs = 0;
  for (const seed of SEEDS) sumMs += await leaderlessMs(seed);
  const meanMs = sumMs / SEEDS.length;
  t.true(meanMs < DEFAULT_DIRECTORY_TIMING.electionTimeoutMs / 2, `${meanMs} ms`);
});
