/** Calls at the gateway of the back end that serves them. */
import test from 'ava';
import { callReserve } from '../../src/sidecar/slot-policy.js';
import { READ, READ_MS, RegistryGateway, SLOTS, SYNC, SYNC_MS } from './registry-gateway.js';

test('a call beyond its own target waits while its parent has time, and is refused when that has none', (t) => {
  const world = new RegistryGateway().learn();
  world.fill();
  world.time.pass(SYNC_MS - 400);
  world.call('call', 0);
  world.call('hopeless', 0, 100);
  world.time.pass(300);
  t.deepEqual(
    world.refused.map(({ requestId }) => requestId),
    ['hopeless'],
  );
  t.like(world.logged.at(-1), { cause: 'queue-too-long', inheritedPriority: 0 });
  world.time.pass(100);
  t.true(world.backend.started.includes('call'));
});

test('a call at a back end that has become slower than expected is refused while its caller can still be told', (t) => {
  const world = new RegistryGateway().learn();
  world.backend.factor = 4;
  world.fill();
  world.time.pass(SYNC_MS - 100);
  world.call('call', 0);
  t.deepEqual(world.refused, []);
  world.time.pass(READ.remainingMs - READ_MS);
  t.like(world.logged.at(-1), { cause: 'parent-time-up' });
});

test('calls go before queued new work, that of the more urgent parent first, and old requests as before', (t) => {
  const world = new RegistryGateway().learn();
  world.fill();
  world.time.pass(SYNC_MS - 300);
  world.take({ ...SYNC, requestId: 'new' });
  world.take({ ...READ, requestId: 'old-read', remainingMs: 3_000, targetLeftMs: 2_000 });
  world.call('lesser', 2);
  world.call('urgent', 0);
  world.time.pass(300);
  t.deepEqual(world.backend.started.slice(SLOTS), ['urgent', 'lesser', 'old-read', 'new']);
});

test('a call is refused at once when the calls before it need longer than its parent has', (t) => {
  const world = new RegistryGateway().learn();
  world.fill();
  world.time.pass(SYNC_MS - 300);
  for (let at = 0; at < 200; at += 1) world.call(`call${at}`, 1);
  t.true(world.refused.length > 0, 'not all can be served');
  t.true(world.refused.length < 170, 'as many wait as slots become free for');
  t.like(world.logged.at(-1), { cause: 'queue-too-long' });
});

test('a forged or unreadable relation changes nothing and is counted', (t) => {
  const world = new RegistryGateway().learn();
  world.fill();
  const forged = [null, 7, {}, { priority: -1, remainingMs: 9 }, { priority: 0, remainingMs: -9 }];
  for (const nested of forged) world.take({ ...SYNC, requestId: 'forged' }, nested);
  world.take({ ...READ, requestId: 'old-read', targetLeftMs: 2_000, remainingMs: 3_000 });
  world.time.pass(SYNC_MS);
  t.is(world.backend.started[SLOTS], 'old-read', 'a forged call does not go first');
  t.is(world.gateway.counters.unreadableCalls, forged.length);
  t.is(world.gateway.counters.calls, 0);
});

test('the requests at the back end are known as parents while they run, with what they inherited', (t) => {
  const world = new RegistryGateway().learn();
  world.call('p.call', 0);
  const arrived = { requestId: 'p.call.next', route: 'third', statedDeadlineMs: null };
  const find = () => world.gateway.runningRequests.findParent(arrived, world.time.nowMs);
  t.like(find()?.request, { priority: 0, isCall: true, deadlineMs: world.time.nowMs + READ.remainingMs });
  world.time.pass(READ_MS);
  t.is(find(), null);
});

test('slots are kept for calls from half a slot on, and never more than a quarter', (t) => {
  const reserves = [0.49, 0.5, 1.4, 9].map((needed) => callReserve(SLOTS, needed, 0));
  t.deepEqual(reserves, [0, 1, 1, 2]);
  t.is(callReserve(3, 9, 0), 0, 'a back end of few slots serves its own work');
  t.deepEqual([callReserve(SLOTS, 0.3, 1), callReserve(SLOTS, 0.25, 1)], [1, 0], 'given up later than taken');
});

test('a back end keeps one of eight slots for calls once they need half a slot, and none a while after', (t) => {
  const world = new RegistryGateway().learn();
  const runSyncs = () => {
    world.fill();
    const { runningCount } = world.gateway;
    world.time.pass(3 * SYNC_MS);
    return runningCount;
  };
  t.is(runSyncs(), SLOTS, 'nothing is kept where there are no calls');
  for (let at = 0; at < 22; at += 1) {
    world.call(`call${at}`, 0);
    world.time.pass(READ_MS);
  }
  t.is(runSyncs(), SLOTS - 1);
  t.is(runSyncs(), SLOTS, 'the reserve ends with the calls');
});

test('calls that run use up the slots kept for them, and new work starts when the reserve fades', (t) => {
  const world = new RegistryGateway().learn();
  for (let at = 0; at < 2 * SLOTS; at += 1) world.call(`call${at}`, 0);
  world.time.pass(2 * READ_MS);
  world.backend.factor = 4;
  world.fill();
  t.is(world.gateway.runningCount, SLOTS - 1);
  world.call('call', 0);
  t.is(world.gateway.runningCount, SLOTS);
  world.time.pass(4 * READ_MS);
  t.is(world.gateway.runningCount, SLOTS - 1, 'the slot stays free for the next call');
  world.time.pass(2 * SYNC_MS);
  t.is(world.gateway.runningCount, SLOTS);
});

test('new work whose calls fail is refused early with a retry-after time, but not all of it, and no calls', (t) => {
  const world = new RegistryGateway().learn();
  const request = { requestId: 'p', route: 'sync', priority: 2, deadlineMs: 9_999, isCall: false };
  const failed = { service: 'called', answered: false, elapsedMs: 628, targetMs: 262 };
  for (let call = 0; call < 20; call += 1)
    world.gateway.recordCallEnded({ parent: { request, criterion: 'id' }, ...failed });
  world.fill();
  t.true(world.refused.length > 0 && world.refused.length < SLOTS);
  t.true(world.refused.every(({ retryAfterMs }) => retryAfterMs > 0));
  t.is(world.gateway.runningCount, SLOTS - world.refused.length, 'slots were free');
  t.like(world.logged.at(-1), { cause: 'calls-failing', calledService: 'called' });
  const refusedBefore = world.refused.length;
  world.take({ ...SYNC, requestId: 'call' }, { priority: 2, remainingMs: 9_000 });
  t.is(world.refused.length, refusedBefore);
});
