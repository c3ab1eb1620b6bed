/** A back end that states its leave to its agent hands its shards over, and owns shards again after a restart. */
import test from 'ava';
import { findScenario } from '../../lab/sim/scenarios.js';
import { SimWorld } from '../../lab/sim/sim-world.js';
import type { ShardRow } from '../../src/model/shard.js';

const SEEDS = [1, 2, 3];

/** Times in ms at which the back end states its leave, at which its shards must have moved, and of its restart. */
const LEAVE_MS = 4_000;
const MOVED_MS = 9_000;
const END_MS = 16_000;

function ownedBy(world: SimWorld, backend: string): readonly ShardRow[] {
  const shards = world.leader()?.node?.state.shards.values() ?? [];
  return [...shards].flatMap(({ rows }) => rows).filter(({ owner }) => owner === backend);
}

for (const seed of SEEDS) {
  test(`a back end that states its leave is emptied, and its next incarnation is not: seed ${seed}`, async (t) => {
    const scenario = findScenario('calm');
    if (scenario === undefined) throw new Error('invariant broken: no scenario');
    const world = new SimWorld({ scenario, seed, withoutGuard: null, trace: null });
    const runUntil = async (untilMs: number): Promise<void> => {
      while (world.queue.runNext(untilMs)) await new Promise((resolve) => setImmediate(resolve));
    };
    await world.start();
    await runUntil(LEAVE_MS / 2);
    void world.configure('first', 0, 1_000);
    await runUntil(LEAVE_MS);
    const [machine] = world.machines;
    if (machine === undefined) throw new Error('invariant broken: no machine');
    const { backend } = machine;
    t.true(ownedBy(world, backend.name).length > 0);
    backend.statements = { leaving: true };
    await runUntil(MOVED_MS);
    t.is(ownedBy(world, backend.name).length, 0);
    world.crash(backend.process);
    backend.start();
    await runUntil(END_MS);
    t.true(ownedBy(world, backend.name).length > 0);
  });
}
