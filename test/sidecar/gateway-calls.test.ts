/** Calls at the gateway of the back end that serves them. */
import test from 'ava';
import type { NestedHead, RequestHead } from '../../src/link/link-messages.js';
import type { RequestReply } from '../../src/link/link-server.js';
import type { BackendClient } from '../../src/sidecar/backend-client.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import type { RunPorts } from '../../src/sidecar/backend-run.js';
import { ColdStartLimit } from '../../src/sidecar/cold-start-limit.js';
import { NO_CRASH_GUARD } from '../../src/sidecar/crash-guard.js';
import type { EventFields } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { ManualTime } from './manual-runtime.js';

const SLOTS = 8;
const SYNC_MS = 743;
const READ_MS = 54;

const SYNC: RequestHead = {
  requestId: 'sync',
  method: 'GET',
  path: '/',
  headers: [],
  instance: 'life-1',
  key: null,
  route: 'sync',
  priority: 2,
  repeatable: true,
  remainingMs: 15_086,
  patienceMs: 0,
  targetLeftMs: 2_514,
  spentMs: 0,
};
const READ: RequestHead = {
  ...SYNC,
  requestId: 'p.read',
  route: 'read',
  remainingMs: 628,
  targetLeftMs: 262,
};

/** A back end that serves each route for a fixed time. */
class TimedBackend implements BackendClient {
  readonly opened = 0;
  readonly started: string[] = [];

  constructor(private readonly time: ManualTime) {}

  prepare(head: RequestHead, _body: Buffer, _leftMs: number, ports: RunPorts) {
    return {
      start: () => {
        this.started.push(head.requestId);
        this.time.runtime.after(head.route === 'sync' ? SYNC_MS : READ_MS, () => {
          ports.onDone({ kind: 'answered', statusCode: 200, bytes: 1, pace: null });
        });
      },
      cancel: () => undefined,
    };
  }

  destroy(): void {
    this.started.length = 0;
  }
}

class World {
  readonly time = new ManualTime();
  readonly backend = new TimedBackend(this.time);
  readonly logged: EventFields[] = [];
  readonly refused: { requestId: string; retryAfterMs: number }[] = [];
  readonly gateway = new BackendGateway({
    runtime: this.time.runtime,
    log: {
      event: (_name, fields) => this.logged.push(fields),
      failure: (_name, fields) => this.logged.push(fields),
      routine: () => undefined,
    },
    service: 'registry',
    latencies: NO_LATENCIES,
    pacer: null,
    backend: this.backend,
    coldLimit: new ColdStartLimit({ factor: 1, slack: 0 }, 0),
    guard: NO_CRASH_GUARD,
    instance: () => 'life-1',
    awaitsBackend: () => false,
    closesAtMs: () => Infinity,
    leaving: () => false,
    holdsKey: () => true,
    ownsKey: () => true,
    onAnswer: () => undefined,
    onWork: () => undefined,
  });

  constructor() {
    this.gateway.setSlots(SLOTS);
    // The gateway learns how long both routes take.
    for (const head of [SYNC, READ]) {
      this.take(head);
      this.time.pass(SYNC_MS);
    }
    this.backend.started.length = 0;
  }

  take(head: RequestHead, nested?: unknown): void {
    const reply = {
      refuse: ({ retryAfterMs }: { retryAfterMs: number }) => {
        this.refused.push({ requestId: head.requestId, retryAfterMs });
      },
      fail: () => undefined,
    } as unknown as RequestReply;
    const sent = nested === undefined ? head : { ...head, nested: nested as NestedHead };
    this.gateway.accept(sent, Buffer.alloc(0), reply);
  }

  fill(): void {
    for (let slot = 0; slot < SLOTS; slot += 1) this.take({ ...SYNC, requestId: `sync${slot}` });
  }

  call(requestId: string, priority: number, remainingMs = 2_000): void {
    this.take({ ...READ, requestId }, { priority, remainingMs });
  }
}

test('a call beyond its own target waits while its parent has time, and is refused when that has none', (t) => {
  const world = new World();
  world.fill();
  world.time.pass(SYNC_MS - 400);
  world.call('call', 0);
  world.call('hopeless', 0, 100);
  world.time.pass(300);
  t.deepEqual(
    world.refused.map(({ requestId }) => requestId),
    ['hopeless'],
  );
  t.like(world.logged.at(-1), { cause: 'parent-time-up', inheritedPriority: 0 });
  world.time.pass(100);
  t.true(world.backend.started.includes('call'));
});

test('calls go before queued new work, that of the more urgent parent first, and old requests as before', (t) => {
  const world = new World();
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
  const world = new World();
  world.fill();
  for (let at = 0; at < 200; at += 1) world.call(`call${at}`, 1);
  t.true(world.refused.length > 0, 'not all can be served');
  t.true(world.refused.length < 170, 'as many wait as slots become free for');
  t.like(world.logged.at(-1), { cause: 'queue-too-long' });
});

test('a forged or unreadable relation changes nothing and is counted', (t) => {
  const world = new World();
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
  const world = new World();
  world.call('p.call', 0);
  const arrived = { requestId: 'p.call.next', route: 'third', statedDeadlineMs: null };
  const find = () => world.gateway.runningRequests.findParent(arrived, world.time.nowMs);
  t.like(find()?.request, { priority: 0, isCall: true, deadlineMs: world.time.nowMs + READ.remainingMs });
  world.time.pass(READ_MS);
  t.is(find(), null);
});
