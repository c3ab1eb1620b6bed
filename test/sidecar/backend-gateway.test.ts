/** What the gateway admits, refuses and tells others. */
import test from 'ava';
import { freePort } from '../loopback.js';
import { LinkPacer } from '../../src/link/link-pacer.js';
import type { RequestHead, StatusHead } from '../../src/link/link-messages.js';
import type { RequestReply } from '../../src/link/link-server.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { ManualTime } from './manual-runtime.js';

const HEAD: RequestHead = {
  requestId: 'r',
  method: 'GET',
  path: '/',
  headers: [],
  instance: 'life-1',
  key: null,
  route: 'route',
  priority: 1,
  remainingMs: 2_000,
  patienceMs: 100,
  targetLeftMs: 500,
  spentMs: 0,
};

class World {
  readonly time = new ManualTime();
  readonly broadcasts: StatusHead[] = [];
  readonly refusals: string[] = [];
  listeners = 1;
  closesAtMs = Infinity;

  async gateway(pacer: LinkPacer | null = null): Promise<BackendGateway> {
    const port = await freePort();
    const gateway = new BackendGateway({
      runtime: this.time.runtime,
      log: SILENT_EVENT_LOG,
      dialect: DEFAULT_HEADER_DIALECT,
      service: 's',
      latencies: NO_LATENCIES,
      pacer,
      address: { host: '127.0.0.1', port },
      instance: () => 'life-1',
      awaitsBackend: () => false,
      closesAtMs: () => this.closesAtMs,
      leaving: () => false,
      holdsKey: () => true,
      ownsKey: () => true,
      onWork: () => undefined,
      onBackendRefused: () => undefined,
      broadcast: (status) => this.broadcasts.push(status),
      listeners: () => this.listeners,
    });
    gateway.setSlots(2);
    return gateway;
  }

  reply(): RequestReply {
    return {
      refuse: ({ reason }) => this.refusals.push(reason),
      fail: () => undefined,
      answer: () => undefined,
      body: () => true,
      end: () => undefined,
      onRoom: () => undefined,
    };
  }
}

test('what was asked of another life, or after the back end closed, is refused', async (t) => {
  const world = new World();
  const gateway = await world.gateway();
  gateway.take({ ...HEAD, instance: 'life-0' }, Buffer.alloc(0), world.reply());
  world.closesAtMs = world.time.nowMs;
  gateway.take(HEAD, Buffer.alloc(0), world.reply());
  t.deepEqual(world.refusals, ['unknown-instance', 'leaving']);
  t.is(gateway.runningCount, 0);
  gateway.stop();
});

for (const { listeners, pauseMs } of [
  { listeners: 5, pauseMs: 250 },
  { listeners: 80, pauseMs: 1_000 },
]) {
  test(`${listeners} daemons are told every ${pauseMs} ms how busy the back end is`, async (t) => {
    const world = new World();
    world.listeners = listeners;
    const gateway = await world.gateway();
    gateway.take(HEAD, Buffer.alloc(0), world.reply());
    world.time.pass(pauseMs - 1);
    t.is(world.broadcasts.length, 0);
    world.time.pass(1);
    t.like(world.broadcasts, [{ instance: 'life-1', running: 1 }]);
    gateway.stop();
  });
}

test('the wait for the network link is told with the status', async (t) => {
  const world = new World();
  const pacer = new LinkPacer(1_000, world.time.runtime);
  const gateway = await world.gateway(pacer);
  pacer.add({ remainingBytes: 460_000, dropped: false, write: () => 0 });
  t.is(gateway.status()?.sendWaitMs, 500);
  gateway.stop();
});
