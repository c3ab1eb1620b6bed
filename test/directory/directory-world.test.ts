/** A directory under faults, on virtual time. */
import test from 'ava';
import { DirectoryWorld, runDirectory } from '../../lab/sim/directory-world.js';

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
