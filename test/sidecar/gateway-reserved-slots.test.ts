/** Places that some requests leave free for others at one back end. */
import test from 'ava';
import type { RequestHead } from '../../src/link/link-messages.js';
import { LinkPacer } from '../../src/link/link-pacer.js';
import { PacedFrames } from '../../src/link/paced-frames.js';
import type { AcceptedRequest, RequestReply } from '../../src/link/link-server.js';
import type { BackendClient } from '../../src/sidecar/backend-client.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import { ColdStartLimit } from '../../src/sidecar/cold-start-limit.js';
import { OPEN_GUARD } from '../../src/sidecar/crash-guard.js';
import type { RunPorts } from '../../src/sidecar/backend-run.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { ManualTime } from './manual-runtime.js';

const SLOTS = 10;
const LONG_MS = 200;
const SHORT_MS = 40;

const LONG: RequestHead = {
  requestId: 'r',
  method: 'GET',
  path: '/',
  headers: [],
  instance: 'life-1',
  key: null,
  route: 'long',
  priority: 1,
  repeatable: true,
  remainingMs: 2_000,
  patienceMs: 100,
  targetLeftMs: 600,
  spentMs: 0,
};
const SHORT: RequestHead = { ...LONG, route: 'short' };

/** Came back after most of its target had passed. */
const LATE: RequestHead = { ...LONG, targetLeftMs: 0, spentMs: 600 };

/** A back end whose runs end when the test says so. */
class HeldBackend implements BackendClient {
  readonly opened = 0;
  /** What its answers tell of the time that work takes. */
  pace: number | null = null;
  /** Length of its answers. */
  bytes = 0;
  private readonly ends: (() => void)[] = [];

  prepare(
    _head: RequestHead,
    _body: Buffer,
    _leftMs: number,
    ports: RunPorts,
  ): { start(): void; cancel(): void } {
    return {
      start: () => {
        this.ends.push(() => {
          ports.onDone({ kind: 'answered', statusCode: 200, bytes: this.bytes, pace: this.pace });
        });
      },
      cancel: () => undefined,
    };
  }

  destroy(): void {
    this.ends.length = 0;
  }

  endAll(): void {
    for (const end of this.ends.splice(0)) end();
  }
}

class World {
  readonly time = new ManualTime();
  readonly pacer = new LinkPacer(1_000, this.time.runtime);
  readonly backend = new HeldBackend();
  readonly refusals: string[] = [];
  readonly failures: string[] = [];
  readonly gateway = new BackendGateway({
    runtime: this.time.runtime,
    log: SILENT_EVENT_LOG,
    service: 's',
    latencies: NO_LATENCIES,
    pacer: this.pacer,
    backend: this.backend,
    coldLimit: new ColdStartLimit({ factor: 1, slack: 0 }, 0),
    guard: OPEN_GUARD,
    instance: () => 'life-1',
    awaitsBackend: () => false,
    closesAtMs: () => Infinity,
    leaving: () => false,
    holdsKey: () => true,
    ownsKey: () => true,
    onWork: () => undefined,
  });

  constructor() {
    this.gateway.setSlots(SLOTS);
  }

  take(head: RequestHead, count = 1): AcceptedRequest[] {
    const reply = {
      refuse: ({ reason }: { reason: string }) => this.refusals.push(reason),
      fail: ({ reason }: { reason: string }) => this.failures.push(reason),
    } as unknown as RequestReply;
    return Array.from({ length: count }, () => this.gateway.take(head, Buffer.alloc(0), reply));
  }

  /** Lets the back end learn how long both kinds of work take. */
  learn(): void {
    this.take(LONG);
    this.time.pass(LONG_MS);
    this.backend.endAll();
    this.take(SHORT);
    this.time.pass(SHORT_MS);
    this.backend.endAll();
  }
}

test('where all work is alike, it may take every place', (t) => {
  const world = new World();
  world.take(LONG, SLOTS + 2);
  t.is(world.gateway.runningCount, SLOTS);
});

test('long work leaves a tenth of the places free once short work was seen, and short work takes them', (t) => {
  const world = new World();
  world.learn();
  world.take(LONG, SLOTS + 2);
  t.is(world.gateway.runningCount, SLOTS - 1);
  world.take(SHORT);
  t.is(world.gateway.runningCount, SLOTS);
});

test('requests that will be late leave a fifth of the places free, and others pass them by', (t) => {
  const world = new World();
  world.take(LONG, SLOTS - 2);
  world.take(LATE);
  t.is(world.gateway.runningCount, SLOTS - 2);
  world.take(LONG, 2);
  t.is(world.gateway.runningCount, SLOTS);
  t.deepEqual(world.refusals, []);
});

test('a pace that cannot be read counts as not told, and is counted', (t) => {
  const world = new World();
  world.take(LONG);
  world.backend.pace = 2;
  world.backend.endAll();
  t.is(world.gateway.status()?.pace, 2);
  world.take(LONG);
  world.backend.pace = NaN;
  world.backend.endAll();
  t.is(world.gateway.forecast.unreadableFigures, 1);
  t.is(world.gateway.status()?.pace, 2);
});

test('a request that is taken back is refused if it has not begun, and goes on otherwise', (t) => {
  const world = new World();
  const requests = world.take(LONG, SLOTS + 1);
  for (const request of requests) request.withdraw();
  t.deepEqual(world.refusals, ['cancelled']);
  t.is(world.gateway.runningCount, SLOTS);
});

test('a gateway that stops refuses what waits, and fails what runs', (t) => {
  const world = new World();
  world.take(LONG, SLOTS + 1);
  world.gateway.stop();
  t.deepEqual(world.refusals, ['busy']);
  t.is(world.failures.length, SLOTS);
});

test('no work is begun that the deadline would break off', (t) => {
  const world = new World();
  world.learn();
  world.take({ ...LONG, remainingMs: LONG_MS / 3, patienceMs: 0 });
  t.deepEqual(world.refusals, ['busy']);
});

test('a large answer that the wait for a place has made too late for the link is not worked on', (t) => {
  const world = new World();
  world.backend.bytes = 10_000;
  world.learn();
  world.take(LONG, SLOTS + 1);
  t.deepEqual(world.refusals, []);
  new PacedFrames(world.pacer, () => undefined).send(1, Buffer.alloc(0), Buffer.alloc(460_000));
  world.backend.endAll();
  t.is(world.refusals[0], 'busy');
});
