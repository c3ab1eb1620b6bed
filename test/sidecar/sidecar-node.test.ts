/** Tests of a sidecar between a directory and a back end, with a manual clock. */
import test from 'ava';
import { request } from 'undici';
import { freePort } from '../loopback.js';
import type { DirectoryChange } from '../../src/directory/directory-commands.js';
import type { DirectoryNotice, DirectoryRequest } from '../../src/directory/directory-messages.js';
import type { DirectorySnapshot, KeyRange } from '../../src/directory/directory-state.js';
import type { ClientHandlers, Runtime } from '../../src/runtime/runtime.js';
import { NO_SIGNALS } from '../../src/sidecar/backend-signals.js';
import type { BackendHeartbeat, BackendIdentity, HeartbeatGrant } from '../../src/sidecar/backend-report.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';
import { SidecarNode } from '../../src/sidecar/sidecar-node.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { ManualTime } from './manual-runtime.js';

const SERVICE = 'stock';
const SESSION = 9;
const LEASE_MS = 9_500;

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

class World {
  readonly time = new ManualTime();
  readonly sent: DirectoryRequest[] = [];
  listens = true;
  /** Answer of the back end's address to an identity probe; null for no answer. */
  identity: BackendIdentity | null = null;
  /** Evacuated zones in the tables sent from now on. */
  evacuatedZones: string[] = [];
  callersPort = 0;
  private handlers: ClientHandlers | null = null;
  private index = 0;

  constructor(readonly node: SidecarNode | null = null) {}

  async start(): Promise<SidecarNode> {
    const runtime: Runtime = {
      ...this.time.runtime,
      dial: (_address, _identity, handlers) => {
        this.handlers = handlers;
        return {
          send: (message) => {
            this.sent.push(message as DirectoryRequest);
            return true;
          },
          sendEncoded: () => false,
          traffic: () => ({ bytesSent: 0, bytesReceived: 0 }),
          stop: () => undefined,
        };
      },
    };
    const [callers, links, backend] = [await freePort(), await freePort(), await freePort()];
    this.callersPort = callers;
    const started = await SidecarNode.start({
      settings: {
        name: 'sidecar',
        zone: 'z',
        callers: { host: '127.0.0.1', port: callers },
        links: { host: '127.0.0.1', port: links },
        advertisedLinks: { host: '127.0.0.1', port: links },
        dialFrom: null,
        backend: { host: '127.0.0.1', port: backend },
        service: SERVICE,
        seeds: ['127.0.0.1:1'],
        grantMode: 'heartbeat',
        holdMs: 6_000,
        drainMs: 2_000,
        graceMs: 6_000,
        retryBudget: { ratio: 0.2, extra: 60, windowMs: 10_000 },
        coldStartBound: { factor: 1.5, slack: 8 },
        evacuationMs: 5_000,
        dialect: DEFAULT_HEADER_DIALECT,
        linkBytesPerMs: Infinity,
      },
      token: 'token',
      runtime,
      log: SILENT_EVENT_LOG,
      calls: {
        identify: async () => await Promise.resolve(this.identity),
        grant: async () => await Promise.resolve('granted'),
        release: async () => await Promise.resolve(''),
      },
      random: () => 0,
      latencies: NO_LATENCIES,
      backendListens: async () => await Promise.resolve(this.listens),
    });
    return started.unwrap();
  }

  notify(notice: DirectoryNotice): void {
    this.handlers?.onMessage(notice);
  }

  table(ranges: readonly KeyRange[]): void {
    this.index += 1;
    const service = {
      maxConnections: 9,
      keyed: true,
      grantMode: null,
      coldStart: { durationMs: 3_000, requestsPerSecond: 14 },
      healthPath: '/health',
    };
    const item = { kind: 'service', name: SERVICE, version: 1, source: null, definition: service } as const;
    const table: DirectorySnapshot = {
      items: [item],
      revision: 0,
      configured: true,
      accepted: [],
      instances: [],
      ranges: [{ service: SERVICE, ranges }],
      evacuatedZones: this.evacuatedZones,
    };
    this.notify({ kind: 'table', index: this.index, table });
  }

  change(changes: readonly DirectoryChange[]): void {
    this.index += 1;
    this.notify({ kind: 'changes', index: this.index, changes });
  }

  lease(): void {
    const sentMs = this.time.nowMs;
    this.notify({ kind: 'registered', id: 'one', session: SESSION, sentMs, termMs: LEASE_MS, index: 0 });
  }

  kinds(): string[] {
    return this.sent.map(({ kind }) => kind);
  }
}

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
  await stop(world, node);
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
  await stop(world, node);
});

test('heartbeats at shorter intervals than the maximum wait are answered while a move is pending', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  world.table([range(0, 99, 'other', 'one'), range(100, 65_535, 'one')]);
  const answers: (HeartbeatGrant | null)[] = [];
  for (let sequence = 3; sequence < 7; sequence += 1) {
    void node.heartbeat(heartbeat(sequence)).then((answer) => answers.push(answer));
    await pass(world, 500);
  }
  t.true(answers.some((answer) => answer !== null));
  await stop(world, node);
});

test('the keys of a back end that left are released once no process listens at its address', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  await node.leave({ id: 'one', bornMs: null });
  world.listens = true;
  await pass(world, 2_500);
  t.false(world.kinds().includes('unregister'), 'the back end still runs and holds its keys');
  world.listens = false;
  await pass(world, 1_000);
  t.true(world.kinds().includes('unregister'));
  await stop(world, node);
});

test('a stopping daemon releases the keys only if its back end has ended', async (t) => {
  for (const listens of [true, false]) {
    const world = new World();
    const { node } = await startWithOwnedKeys(world);
    world.listens = listens;
    await stop(world, node);
    t.is(world.kinds().includes('unregister'), !listens);
  }
});

test('a stopping daemon is not ready from the start of the shutdown', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  const stopping = node.stop();
  t.is(node.notReadyReason, 'stopping');
  await pass(world, 7_000);
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
  await stop(world, node);
});

async function pass(world: World, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    world.time.pass(50);
    await settle();
  }
}

async function stop(world: World, node: SidecarNode): Promise<void> {
  const stopping = node.stop();
  await pass(world, 7_000);
  await stopping;
}

test('a delayed heartbeat is ignored if its sender has ended and another incarnation is at the address', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  world.identity = { id: 'one', bornMs: null, isHealthy: true, coldLeftMs: 0, signals: NO_SIGNALS };
  t.is(await node.heartbeat({ ...heartbeat(90), id: 'zero' }), null);
  t.is(node.gateway.status()?.instance, 'one');
  t.truthy(await node.heartbeat(heartbeat(2)), 'the current incarnation continues');
  await stop(world, node);
});

test('a restarted daemon does not accept a delayed heartbeat of a past incarnation', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  world.identity = { id: 'one', bornMs: null, isHealthy: true, coldLeftMs: 0, signals: NO_SIGNALS };
  await node.heartbeat({ ...heartbeat(90), id: 'zero' });
  t.is(node.gateway.status(), null);
  t.false(world.kinds().includes('register'));
  await stop(world, node);
});

test('a restarted daemon knows the limit that its back end names in the answer to a probe', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  const limit = { kind: 'limited', requestsPerSecond: 2.5 } as const;
  const signals = { limit, leaving: false };
  world.identity = { id: 'one', bornMs: null, isHealthy: true, coldLeftMs: 0, signals };
  const answered = node.heartbeat(heartbeat(7));
  await settle();
  t.is(node.gateway.pacing.limitPerSecond, 2.5);
  await pass(world, 1_000);
  await answered;
  await stop(world, node);
});

test('a back end that reports in its answer to a probe that it is cold is sent no more than it sustains', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  world.identity = { id: 'one', bornMs: null, isHealthy: true, coldLeftMs: 2_000, signals: NO_SIGNALS };
  const answered = node.heartbeat(heartbeat(7));
  await settle();
  node.gateway.pacing.recordStatement({ kind: 'none' }, 'r', node.gateway.pacing.recordSent());
  t.is(node.gateway.status()?.pacing?.intervalMs, 71);
  await pass(world, 1_000);
  await answered;
  await stop(world, node);
});

test('a restarted daemon does not open a back end whose answer to a probe states its leave', async (t) => {
  const world = new World();
  const node = await world.start();
  world.table([range(0, 65_535, 'one')]);
  const signals = { limit: { kind: 'none' }, leaving: true } as const;
  world.identity = { id: 'one', bornMs: null, isHealthy: true, coldLeftMs: 0, signals };
  const answered = node.heartbeat(heartbeat(7));
  await settle();
  t.is(node.gateway.status()?.accepting, false);
  await pass(world, 1_000);
  await answered;
  await stop(world, node);
});

test('without an identity answer, an incarnation with a recent heartbeat stays and a silent one is replaced', async (t) => {
  const world = new World();
  const { node } = await startWithOwnedKeys(world);
  const other = { ...heartbeat(1), id: 'two' };
  await node.heartbeat(other);
  t.is(node.gateway.status()?.instance, 'one');
  world.time.pass(2_000);
  const taken = node.heartbeat(other);
  await settle();
  t.is(node.gateway.status()?.instance, 'two');
  await pass(world, 1_000);
  await taken;
  await stop(world, node);
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
  await stop(world, node);
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
  await stop(world, node);
});
