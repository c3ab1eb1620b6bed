/**
 * Changes that cannot be accepted, sent to simulated replicas: a leader refuses them without an entry in its log, and one that was
 * deposed without knowing it refuses nothing that the present leader may accept.
 */
import test from 'ava';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';
import type { SimReplica } from '../../lab/sim/sim-directory.js';
import { Random } from '../../lab/random.js';
import { OperatorCalls } from '../../platform/operator-calls.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const READY_MS = 4_000;
const CALL_MS = 1_000;
const ELECTED_AFTER_MS = 3_000;
const REFUSED_CHANGES = 20;
const CONTROL_PORT = 8_306;
const STATUS = { ok: 200, invalid: 400, conflict: 412 };

interface CallResult {
  status: number | null;
}

const SERVICE = { max_connections: 10 };
const ROUTE = { host: 'h.example', path_prefix: '/p/', route_type: 'safe', timeout_s: 1 };

function sendPut(replica: SimReplica, base: number, version: number, destination = 's'): CallResult {
  const result: CallResult = { status: null };
  if (replica.node === null) return result;
  const routes = { r: { ...ROUTE, service: destination } };
  const body = JSON.stringify({ version, routes, services: { s: SERVICE } });
  const calls = new OperatorCalls(replica.node, CONTROL_PORT, new Set());
  const headers = { 'if-match': `"${base}"` };
  void calls.handle({ method: 'PUT', path: '/config', headers, body }).then(({ status }) => {
    result.status = status;
  });
  return result;
}

function leaderOf(world: DirectoryWorld): SimReplica {
  const leader = world.directory.leaderReplica();
  if (leader === null) throw new Error('invariant broken: no replica leads');
  return leader;
}

async function put(
  world: DirectoryWorld,
  base: number,
  version: number,
  destination?: string,
): Promise<number | null> {
  const result = sendPut(leaderOf(world), base, version, destination);
  await world.runUntil(world.queue.nowMs + CALL_MS);
  return result.status;
}

async function worldWithRevision(seed: number, version: number): Promise<DirectoryWorld> {
  const world = new DirectoryWorld(seed);
  await world.start();
  await world.runUntil(READY_MS);
  if ((await put(world, 0, version)) !== STATUS.ok)
    throw new Error('invariant broken: no change is accepted');
  return world;
}

test('refused changes leave the last index of the log as it is', async (t) => {
  for (const seed of SEEDS) {
    const world = await worldWithRevision(seed, 10);
    const random = new Random(seed);
    const core = leaderOf(world).node?.consensus?.core;
    const lastIndex = core?.lastIndex;
    for (let at = 0; at < REFUSED_CHANGES; at += 1) {
      const [base, version, destination, status] = random.pick([
        [random.below(10), 20, 's', STATUS.conflict],
        [11 + random.below(10), 40, 's', STATUS.conflict],
        [10, 1 + random.below(10), 't', STATUS.invalid],
        [10, 11 + random.below(10), 'unknown', STATUS.invalid],
      ] as const);
      t.is(await put(world, base, version, destination), status, `seed ${seed}, ${base} to ${version}`);
    }
    t.is(core?.lastIndex, lastIndex, `seed ${seed}`);
    t.is(await put(world, 10, 11), STATUS.ok, `seed ${seed}`);
    t.is(await put(world, 0, 10), STATUS.ok, `seed ${seed}: sent again`);
    t.is(core?.lastIndex, (lastIndex ?? 0) + 1, `seed ${seed}`);
  }
});

/** Base, version and destination of changes that a state at revision 10 does not allow, or does not know. */
const UNCERTAIN: readonly [number, number, string][] = [
  [12, 14, 's'],
  [10, 12, 's'],
  [10, 9, 't'],
  [10, 11, 'unknown'],
];

test('a leader that was deposed without knowing it refuses no change that the present one may accept', async (t) => {
  let asked = 0;
  for (const seed of SEEDS) {
    const world = await worldWithRevision(seed, 10);
    const deposed = leaderOf(world);
    const thawedMs = world.queue.nowMs + ELECTED_AFTER_MS;
    world.injectFault('freeze', deposed, ELECTED_AFTER_MS);
    const uncertain: CallResult[] = [];
    const certain: CallResult[] = [];
    // The calls wait at the frozen process, which reads them before anything else when it goes on.
    deposed.process.schedule(0, () => {
      if (deposed.node?.leading === true) asked += 1;
      for (const [base, version, destination] of UNCERTAIN) {
        uncertain.push(sendPut(deposed, base, version, destination));
      }
      certain.push(sendPut(deposed, 3, 11));
    });
    await world.runUntil(thawedMs - CALL_MS);
    t.not(leaderOf(world), deposed);
    t.is(await put(world, 10, 12), STATUS.ok, `seed ${seed}`);
    await world.runUntil(thawedMs + CALL_MS);
    for (const { status } of uncertain) {
      t.false(status === STATUS.conflict || status === STATUS.invalid, `seed ${seed}: ${String(status)}`);
    }
    t.is(uncertain.length, UNCERTAIN.length);
    t.deepEqual(certain, [{ status: STATUS.conflict }], `seed ${seed}`);
    t.is(await put(world, 12, 16), STATUS.ok, `seed ${seed}`);
  }
  t.true(asked > 0, 'a deposed leader that does not know it was asked');
});
