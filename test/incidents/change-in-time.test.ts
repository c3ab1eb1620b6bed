/**
 * Guards against a valid change of the configuration that is not acknowledged within the bound of 4 s although nothing is
 * disturbed. No log of that failure was kept, and it was not reproduced: without faults the longest time until an
 * acknowledgement was 1,370 ms. Two possible causes are tested:
 *
 * - A replica whose disk stalls keeps accepting changes and reads as leader. It judged its leadership by its role rather
 *   than by whether it can commit, and held each call for 5 s, longer than the bound, while another replica led.
 * - A change whose acknowledgement was lost was rejected permanently when it was repeated after a later change had removed
 *   what it names, although it had been committed.
 */
import test from 'ava';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';
import type { SimReplica } from '../../lab/sim/sim-directory.js';
import { OperatorCalls } from '../../platform/operator-calls.js';

const SEEDS = [1, 2, 3];
const READY_MS = 4_000;
const STALL_MS = 6_000;

/** Timeout in ms of an operator's call, and time within which a call that cannot be served is rejected. */
const CALL_TIMEOUT_MS = 1_000;
const REJECTION_MS = 50;

/** Time in ms after the start of the stall by which another replica leads. */
const ELECTED_AFTER_MS = 2_500;

const UNAVAILABLE = 503;
const OK = 200;
const CONTROL_PORT = 8_306;

interface CallResult {
  status: number | null;
  ms: number;
}

function sendCall(world: DirectoryWorld, { node }: SimReplica, method: string, body: string): CallResult {
  const result: CallResult = { status: null, ms: Infinity };
  const sentMs = world.queue.nowMs;
  if (node === null) return result;
  const calls = new OperatorCalls(node, CONTROL_PORT, new Set());
  void calls.handle({ method, path: '/config', headers: {}, body }).then(({ status }) => {
    result.status = status;
    result.ms = world.queue.nowMs - sentMs;
  });
  return result;
}

function serviceChange(name: string, version: number): string {
  const service = {
    health_path: '/health',
    max_connections: 10,
    protocol: 'h1',
    tls: false,
    sharded: false,
    warm_s: 1,
    version,
  };
  return JSON.stringify({ upsert: { services: { [name]: service } }, remove: {} });
}

/** Creates a world whose leader's disk has begun to stall. */
async function withStalledLeader(seed: number): Promise<{ world: DirectoryWorld; leader: SimReplica }> {
  const world = new DirectoryWorld(seed);
  await world.start();
  await world.runUntil(READY_MS);
  const first = sendCall(world, leaderOf(world), 'PATCH', serviceChange('first', 1));
  await world.runUntil(READY_MS + CALL_TIMEOUT_MS);
  if (first.status !== OK) throw new Error('invariant broken: no change is accepted without a fault');
  const leader = leaderOf(world);
  leader.disk.stallNextSync(STALL_MS);
  return { world, leader };
}

function leaderOf(world: DirectoryWorld): SimReplica {
  const leader = world.directory.leaderReplica();
  if (leader === null) throw new Error('invariant broken: no replica leads');
  return leader;
}

test('changes in time: a leader whose disk stalls fails a change before the operator times out', async (t) => {
  for (const seed of SEEDS) {
    const { world, leader } = await withStalledLeader(seed);
    const change = sendCall(world, leader, 'PATCH', serviceChange('second', 2));
    await world.runUntil(world.queue.nowMs + CALL_TIMEOUT_MS);
    t.is(change.status, UNAVAILABLE, `seed ${seed}`);
  }
});

test('changes in time: a leader whose disk stalls immediately rejects later changes and reads', async (t) => {
  for (const seed of SEEDS) {
    const { world, leader } = await withStalledLeader(seed);
    sendCall(world, leader, 'PATCH', serviceChange('second', 2));
    await world.runUntil(world.queue.nowMs + ELECTED_AFTER_MS);
    const change = sendCall(world, leader, 'PATCH', serviceChange('second', 2));
    const read = sendCall(world, leader, 'GET', '');
    await world.runUntil(world.queue.nowMs + REJECTION_MS);
    t.is(change.status, UNAVAILABLE, `seed ${seed}: change`);
    t.is(read.status, UNAVAILABLE, `seed ${seed}: read`);
  }
});

test('changes in time: a change that a stalled leader failed is accepted by the next one, and acknowledged when it is repeated', async (t) => {
  for (const seed of SEEDS) {
    const { world, leader } = await withStalledLeader(seed);
    sendCall(world, leader, 'PATCH', serviceChange('second', 2));
    await world.runUntil(world.queue.nowMs + ELECTED_AFTER_MS);
    const next = leaderOf(world);
    t.not(next, leader, `seed ${seed}: another replica leads`);
    const again = sendCall(world, next, 'PATCH', serviceChange('second', 2));
    await world.runUntil(world.queue.nowMs + CALL_TIMEOUT_MS);
    t.is(again.status, OK, `seed ${seed}`);
    await world.runUntil(world.queue.nowMs + STALL_MS);
    const later = sendCall(world, leaderOf(world), 'PATCH', serviceChange('second', 2));
    await world.runUntil(world.queue.nowMs + CALL_TIMEOUT_MS);
    t.is(later.status, OK, `seed ${seed}: sent again after the stall`);
  }
});

const ROUTE = {
  host: 'h.example',
  path_prefix: '/p/',
  route_type: 'safe',
  timeout_s: 1,
  target_latency_s: 0.4,
  priority: 1,
  max_attempts: 2,
};

test('changes in time: an accepted change is acknowledged again after later changes removed what it names', async (t) => {
  const world = new DirectoryWorld(1);
  await world.start();
  await world.runUntil(READY_MS);
  const adds = JSON.stringify({
    upsert: { routes: { r: { ...ROUTE, service: 'old', version: 5 } } },
    remove: {},
  });
  const drops = JSON.stringify({
    upsert: { routes: { r: { ...ROUTE, service: 'new', version: 6 } } },
    remove: { services: [{ name: 'old', version: 6 }] },
  });
  const changes = [serviceChange('old', 1), serviceChange('new', 2), adds, drops, adds];
  for (const [at, change] of changes.entries()) {
    const result = sendCall(world, leaderOf(world), 'PATCH', change);
    await world.runUntil(world.queue.nowMs + CALL_TIMEOUT_MS);
    t.is(result.status, OK, `order ${at}`);
  }
});
