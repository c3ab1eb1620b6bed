/** Tests of a sidecar between a directory and a back end, with a manual clock. */
import test from 'ava';
import { request } from 'undici';
import type { KeyRange } from '../../src/directory/directory-state.js';
import { NO_SIGNALS } from '../../src/sidecar/backend-signals.js';
import type { BackendHeartbeat, BackendIdentity, HeartbeatGrant } from '../../src/sidecar/backend-report.js';
import type { SidecarNode } from '../../src/sidecar/sidecar-node.js';
import { SERVICE, SESSION, settle, World } from './sidecar-world.js';

function heartbeat(sequence: number): BackendHeartbeat {
  const common = {
    version: 'v1',
    id: 'one',
    bornMs: null,
    service: SERVICE,
    zone: 'z',
    slots: 2,
    condition: 'ready',
  } as const;
  return { ...common, sequence, coldLeftMs: 0, holds: [], released: [] };
}

function range(from: number, to: number, owner: string | null, movingTo: string | null = null): KeyRange {
  return { from, to, owner, session: SESSION, fence: 3, movingTo, handover: '' };
}

/** Answer of the healthy back end 'one' to a probe. */
function identity(parts: Partial<BackendIdentity> = {}): BackendIdentity {
  const common = { id: 'one', bornMs: null, isOther: false, isHealthy: true };
  return { ...common, coldLeftMs: 0, signals: NO_SIGNALS, ...parts };
}

async function startWithOwnedKeys(
  world: World,
): Promise<{ node: SidecarNode; grant: HeartbeatGrant | null }> {
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  const first = node.heartbeat(heartbeat(1));
  await settle();
  world.lease();
  return { node, grant: await first };
}

test('a back end is registered with its first heartbeat and granted the keys it owns', async (t) => {
  const world = new World();
  const { node, grant } = await startWithOwnedKeys(world);
  t.true(world.kinds().includes('register'));
  t.deepEqual(grant?.ranges, [{ from: 0, to: 65_535, fence: 3, handover: '' }]);
  t.is(node.notReadyReason, null);
  await world.stop(node);
});

test('the answer to a heartbeat waits briefly for keys that are being moved to the back end', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  world.table([range(0, 99, 'other', 'one'), range(100, 65_535, 'one')]);
  const answering = node.heartbeat(heartbeat(3));
  await settle();
  world.table([range(0, 99, 'one'), range(100, 65_535, 'one')]);
  t.is((await answering)?.ranges.length, 2);
  const late = node.heartbeat(heartbeat(4));
  t.truthy(await late, 'no move is pending');
  await world.stop(node);
});

test('heartbeats at shorter intervals than the maximum wait are answered while a move is pending', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  world.table([range(0, 99, 'other', 'one'), range(100, 65_535, 'one')]);
  const answers: (HeartbeatGrant | null)[] = [];
  for (let sequence = 3; sequence < 7; sequence += 1) {
    void node.heartbeat(heartbeat(sequence)).then((answer) => answers.push(answer));
    await world.pass(500);
  }
  t.true(answers.some((answer) => answer !== null));
  await world.stop(node);
});

test('the keys of a back end that left are released once no process listens at its address', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  await node.leave({ id: 'one', bornMs: null });
  world.listens = true;
  await world.pass(2_500);
  t.false(world.kinds().includes('unregister'), 'the back end still runs and holds its keys');
  world.listens = false;
  await world.pass(1_000);
  t.true(world.kinds().includes('unregister'));
  await world.stop(node);
});

test('a stopping daemon releases the keys only if its back end has ended', async (t) => {
  for (const listens of [true, false]) {
    const world = new World();
    const { node } = await startWithOwnedKeys(world);
    world.listens = listens;
    await world.stop(node);
    t.is(world.kinds().includes('unregister'), !listens);
  }
});

test('a stopping daemon is not ready from the start of the shutdown', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  const stopping = node.stop();
  t.is(node.notReadyReason, 'stopping');
  await world.pass(7_000);
  await stopping;
});

test('a missing route is answered as unknown only while the table is current', async (t) => {
  const world = new World();
  const node = await world.start();
  const requestMissingRoute = async (): Promise<number> => {
    const { statusCode, body } = await request(`http://127.0.0.1:${world.callersPort}/new/`);
    await body.dump();
    return statusCode;
  };
  world.table([range(0, 65_535, 'one')]);
  t.is(await requestMissingRoute(), 503, 'the table may be outdated');
  world.notify({ kind: 'alive', index: 1, members: [] });
  t.is(await requestMissingRoute(), 404);
  world.time.pass(700);
  t.is(await requestMissingRoute(), 503, 'a change may be in flight');
  await world.stop(node);
});

test('a delayed heartbeat is ignored if its sender has ended and another incarnation is at the address', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  world.identity = identity();
  t.is(await node.heartbeat({ ...heartbeat(90), id: 'zero' }), null);
  t.is(node.gateway.status()?.instance, 'one');
  t.truthy(await node.heartbeat(heartbeat(2)), 'the current incarnation continues');
  await world.stop(node);
});

test('a restarted daemon does not accept a delayed heartbeat of a past incarnation', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  world.identity = identity();
  await node.heartbeat({ ...heartbeat(90), id: 'zero' });
  t.is(node.gateway.status(), null);
  t.false(world.kinds().includes('register'));
  await world.stop(node);
});

test('a restarted daemon knows the limit that its back end names in the answer to a probe', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  const limit = { kind: 'limited', requestsPerSecond: 2.5 } as const;
  const signals = { limit, leaving: false };
  world.identity = identity({ signals });
  const answered = node.heartbeat(heartbeat(7));
  await settle();
  t.is(node.gateway.pacing.limitPerSecond, 2.5);
  await world.pass(1_000);
  await answered;
  await world.stop(node);
});

test('a back end that reports in its answer to a probe that it is cold is sent no more than it sustains', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  world.identity = identity({ coldLeftMs: 2_000 });
  const answered = node.heartbeat(heartbeat(7));
  await settle();
  node.gateway.pacing.recordStatement({ kind: 'none' }, 'r', node.gateway.pacing.recordSent());
  t.is(node.gateway.status()?.pacing?.intervalMs, 71);
  await world.pass(1_000);
  await answered;
  await world.stop(node);
});

test('a restarted daemon does not open a back end whose answer to a probe states its leave', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  const signals = { limit: { kind: 'none' }, leaving: true } as const;
  world.identity = identity({ signals });
  const answered = node.heartbeat(heartbeat(7));
  await settle();
  t.is(node.gateway.status()?.accepting, false);
  await world.pass(1_000);
  await answered;
  await world.stop(node);
});

test('without an identity answer, an incarnation stays until it was silent for as long as it may hold keys', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  const other = { ...heartbeat(1), id: 'two' };
  const instanceAfter = async (ms: number): Promise<string | null | undefined> => {
    await world.pass(ms);
    void node.heartbeat(other);
    await settle();
    return node.gateway.status()?.instance;
  };
  t.is(await instanceAfter(0), 'one');
  t.is(await instanceAfter(2_000), 'one', 'a heartbeat is late, which shows nothing');
  t.is(await instanceAfter(3_500), 'one', 'its grant has not expired yet');
  t.is(await instanceAfter(1_500), 'two');
  await world.stop(node);
});

test('an incarnation that was silent for as long as it may hold keys is taken back with its next heartbeat', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  await world.pass(7_000);
  t.is(node.gateway.status(), null, 'it counts as ended');
  void node.heartbeat(heartbeat(2));
  await settle();
  t.is(node.gateway.status()?.instance, 'one');
  await world.stop(node);
});

/** Reason for which the gateway refuses a request for a key. */
function refusalAt(node: SidecarNode): string {
  let refused = 'nothing';
  const reply = {
    refuse: ({ reason }: { reason: string }) => (refused = reason),
    fail: () => undefined,
    answer: () => undefined,
    body: () => true,
    end: () => undefined,
    onDrain: () => undefined,
  };
  const head = {
    requestId: 'r',
    method: 'GET',
    path: '/',
    headers: [],
    instance: 'one',
    key: 7,
    route: 'route',
    priority: 1,
    repeatable: true,
    remainingMs: 500,
    patienceMs: 0,
    targetLeftMs: 100,
    spentMs: 0,
  };
  node.gateway.accept(head, Buffer.alloc(0), reply);
  return refused;
}

test('an evacuation leaves time for handovers and stops requests within its time limit', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  world.change([{ kind: 'evacuation', zone: 'other', evacuated: true }]);
  t.true(node.gateway.status()?.accepting);
  world.change([{ kind: 'evacuation', zone: 'z', evacuated: true }]);
  t.false(node.gateway.status()?.accepting, 'other daemons send no more requests');
  t.not(refusalAt(node), 'leaving');
  world.time.pass(2_100);
  t.is(refusalAt(node), 'leaving');
  await world.stop(node);
});

test('an evacuation from a whole table takes effect at once; after its end the back end counts as cold', async (t) => {
  const world = new World();
  world.evacuatedZones = ['z'];
  const { node } = await startWithOwnedKeys(world);
  t.is(refusalAt(node), 'leaving');
  t.is(node.gateway.status()?.pacing, null);
  world.change([{ kind: 'evacuation', zone: 'z', evacuated: false }]);
  t.true(node.gateway.status()?.accepting);
  t.is(node.gateway.status()?.pacing?.intervalMs, 71);
  await world.stop(node);
});
