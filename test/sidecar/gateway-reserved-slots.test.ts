/** Slots of a back end that some requests leave free for others. */
import test from 'ava';
import type { RequestHead } from '../../src/link/link-messages.js';
import { LinkPacer } from '../../src/link/link-pacer.js';
import { PacedFrames } from '../../src/link/paced-frames.js';
import type { AcceptedRequest, RequestReply } from '../../src/link/link-server.js';
import type { BackendClient } from '../../src/sidecar/backend-client.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import type { RunPorts } from '../../src/sidecar/backend-run.js';
import { gatewayPorts } from './gateway-ports.js';
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

/** A retry after the target latency has passed. */
const LATE: RequestHead = { ...LONG, targetLeftMs: 0, spentMs: 600 };

/** A back end whose runs end on demand. */
class ManualBackend implements BackendClient {
  readonly opened = 0;
  /** Pace that its answers report. */
  pace: number | null = null;
  /** Length of its answers in bytes. */
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
  readonly backend = new ManualBackend();
  readonly refusals: string[] = [];
  readonly failures: string[] = [];
  readonly gateway = new BackendGateway({
    ...gatewayPorts(this.time, this.backend),
    pacer: this.pacer,
  });

  constructor() {
    this.gateway.setSlots(SLOTS);
  }

  take(head: RequestHead, count = 1): AcceptedRequest[] {
    const reply = {
      refuse: ({ reason }: { reason: string }) => this.refusals.push(reason),
      fail: ({ reason }: { reason: string }) => this.failures.push(reason),
    } as unknown as RequestReply;
    return Array.from({ length: count }, () => this.gateway.accept(head, Buffer.alloc(0), reply));
  }

  /** Runs one request of each kind, so that the gateway learns how long they take. */
  learnWorkTimes(): void {
    this.take(LONG);
    this.time.pass(LONG_MS);
    this.backend.endAll();
    this.take(SHORT);
    this.time.pass(SHORT_MS);
    this.backend.endAll();
  }
}

test('work of one kind may use every slot', (t) => {
  const world = new World();
  world.take(LONG, SLOTS + 2);
  t.is(world.gateway.runningCount, SLOTS);
});

test('long work leaves a tenth of the slots free once short work was seen, and short work uses them', (t) => {
  const world = new World();
  world.learnWorkTimes();
  world.take(LONG, SLOTS + 2);
  t.is(world.gateway.runningCount, SLOTS - 1);
  world.take(SHORT);
  t.is(world.gateway.runningCount, SLOTS);
});

test('late requests leave a fifth of the slots free, and others overtake them', (t) => {
  const world = new World();
  world.take(LONG, SLOTS - 2);
  world.take(LATE);
  t.is(world.gateway.runningCount, SLOTS - 2);
  world.take(LONG, 2);
  t.is(world.gateway.runningCount, SLOTS);
  t.deepEqual(world.refusals, []);
});

test('an unreadable pace is ignored and counted', (t) => {
  const world = new World();
  world.take(LONG);
  world.backend.pace = 2;
  world.backend.endAll();
  t.is(world.gateway.status()?.pace, 2);
  world.take(LONG);
  world.backend.pace = NaN;
  world.backend.endAll();
  t.is(world.gateway.forecast.unreadablePaceReports, 1);
  t.is(world.gateway.status()?.pace, 2);
});

test('a withdrawn request is refused if it has not started, and continues otherwise', (t) => {
  const world = new World();
  const requests = world.take(LONG, SLOTS + 1);
  for (const request of requests) request.withdraw();
  t.deepEqual(world.refusals, ['cancelled']);
  t.is(world.gateway.runningCount, SLOTS);
});

test('a gateway that stops refuses waiting requests and fails running ones', (t) => {
  const world = new World();
  world.take(LONG, SLOTS + 1);
  world.gateway.stop();
  t.deepEqual(world.refusals, ['busy']);
  t.is(world.failures.length, SLOTS);
});

test('no work is started that the deadline would cut off', (t) => {
  const world = new World();
  world.learnWorkTimes();
  world.take({ ...LONG, remainingMs: LONG_MS / 3, patienceMs: 0 });
  t.deepEqual(world.refusals, ['busy']);
});

test('a request whose large answer would pass the link too late after its wait for a slot is not run', (t) => {
  const world = new World();
  world.backend.bytes = 10_000;
  world.learnWorkTimes();
  world.take(LONG, SLOTS + 1);
  t.deepEqual(world.refusals, []);
  new PacedFrames(world.pacer, () => undefined).send(1, Buffer.alloc(0), Buffer.alloc(460_000));
  world.backend.endAll();
  t.is(world.refusals[0], 'busy');
});

/** Guards against refusals one after another, each because of the answer of the request that was just refused. */
test('a request that the link has no room for when it gets its slot does not cause the refusal of the next one', (t) => {
  const world = new World();
  world.backend.bytes = 92_000;
  world.learnWorkTimes();
  world.backend.bytes = 0;
  world.take({ ...SHORT, route: 'small' }, SLOTS);
  world.take(LONG);
  world.take({ ...LONG, targetLeftMs: LONG.targetLeftMs + 40 });
  t.is(world.gateway.admission.waitingCount, 2);
  new PacedFrames(world.pacer, () => undefined).send(1, Buffer.alloc(0), Buffer.alloc(294_400));
  world.backend.endAll();
  t.is(world.gateway.counters.refusedForLink, 1);
  t.is(world.gateway.runningCount, 1);
});
