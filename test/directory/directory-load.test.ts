/**
 * The load that a directory logs tells a disk that stalls from a peer that is behind. Without it, a directory that ran out of memory
 * did not tell which of them it had held messages for.
 */
import test, { type ExecutionContext } from 'ava';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';
import type { SimReplica } from '../../lab/sim/sim-directory.js';
import { readReplicaUsage, type ReplicaUsage } from '../../src/consensus/replica-usage.js';
import { DirectoryLoad } from '../../src/directory/directory-load.js';
import { ProcessDelay } from '../../src/telemetry/process-delay.js';

const SEEDS = [1, 2, 3];
const READY_MS = 4_000;
const STALL_MS = 3_000;
const CHANGE_INTERVAL_MS = 50;

/** Time in ms after which a replica without a fault has nothing queued any more. */
const SETTLED_MS = 3_000;

function usageOf(world: DirectoryWorld, { node }: SimReplica): ReplicaUsage {
  const replica = node?.consensus ?? null;
  if (replica === null) throw new Error('invariant broken: the replica does not run');
  return readReplicaUsage(replica, world.queue.nowMs);
}

/** Starts a world in which changes are made all the time; returns it with its leader and a follower. */
async function startWorld(
  seed: number,
): Promise<{ world: DirectoryWorld; leader: SimReplica; follower: SimReplica }> {
  const world = new DirectoryWorld(seed);
  await world.start();
  await world.runUntil(READY_MS);
  for (let atMs = READY_MS; atMs < READY_MS + STALL_MS; atMs += CHANGE_INTERVAL_MS) {
    world.queue.at(atMs, () => {
      world.change(`item-${atMs}`);
    });
  }
  const leader = world.directory.leaderReplica();
  const followers = world.replicas.filter((replica) => replica !== leader);
  if (leader === null) throw new Error('invariant broken: no replica leads');
  return { world, leader, follower: world.random.pick(followers) };
}

async function onSeeds(
  t: ExecutionContext,
  play: (seed: number, started: Awaited<ReturnType<typeof startWorld>>) => Promise<void>,
): Promise<void> {
  for (const seed of SEEDS) await play(seed, await startWorld(seed));
  t.pass();
}

test('what waits for a disk that stalls shows in bytes, at its replica only', async (t) => {
  await onSeeds(t, async (seed, { world, leader, follower }) => {
    follower.disk.stallNextSync(STALL_MS);
    await world.runUntil(READY_MS + STALL_MS - CHANGE_INTERVAL_MS);
    const stalled = usageOf(world, follower);
    t.true(stalled.queuedEvents > 10, `seed ${seed}: events`);
    t.true(stalled.queuedBytes > 1_000, `seed ${seed}: bytes`);
    t.true(stalled.diskDelayMs > STALL_MS / 2, `seed ${seed}: delay`);
    t.true(usageOf(world, leader).queuedBytes < stalled.queuedBytes, `seed ${seed}: leader`);
    await world.runUntil(READY_MS + STALL_MS + SETTLED_MS);
    t.is(usageOf(world, follower).queuedBytes, 0, `seed ${seed}: afterwards`);
  });
});

test('a peer that is behind shows at the leader, and no longer once it has caught up', async (t) => {
  await onSeeds(t, async (seed, { world, leader, follower }) => {
    world.injectFault('freeze', follower, STALL_MS);
    await world.runUntil(READY_MS + STALL_MS - CHANGE_INTERVAL_MS);
    const { peers, commitIndex } = usageOf(world, leader);
    const behind = peers.filter(({ match }) => match < commitIndex - 10).map(({ peer }) => peer);
    t.deepEqual(behind, [follower.name], `seed ${seed}`);
    t.is(peers.length, world.replicas.length - 1, `seed ${seed}: all peers`);
    await world.runUntil(READY_MS + STALL_MS + SETTLED_MS);
    const later = usageOf(world, world.directory.leaderReplica() ?? leader);
    t.deepEqual(
      later.peers.filter(({ match }) => match < later.commitIndex),
      [],
      `seed ${seed}: afterwards`,
    );
  });
});

test('the log in memory and on disk shows in bytes, and what was done since the last event', async (t) => {
  const { world, leader } = await startWorld(1);
  const runtime = { nowMs: () => world.queue.nowMs, every: () => () => undefined };
  if (leader.node === null) throw new Error('invariant broken: the replica does not run');
  const load = new DirectoryLoad(runtime, leader.node, new ProcessDelay(runtime));
  const before = usageOf(world, leader);
  await world.runUntil(READY_MS + 5 * CHANGE_INTERVAL_MS);
  const fields = load.takeFields();
  t.true(usageOf(world, leader).logMemoryBytes > before.logMemoryBytes);
  t.true(usageOf(world, leader).lastIndex > before.lastIndex);
  t.true(Number(fields['entriesPersisted']) > 0);
  t.true(Number(fields['syncs']) > 0);
  t.true(Number(fields['heapBytes']) > 0);
  t.is(load.takeFields()['entriesPersisted'], 0);
});
