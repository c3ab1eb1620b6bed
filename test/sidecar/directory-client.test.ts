/** A daemon's connection to the directory, on time and a network that the tests move by hand. */
import test from 'ava';
import type { DirectoryNotice } from '../../src/directory/directory-messages.js';
import type { ClientHandlers, Runtime } from '../../src/runtime/runtime.js';
import { DirectoryClient } from '../../src/sidecar/directory-client.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { ManualTime } from './manual-runtime.js';

const SEEDS = ['127.0.0.1:1', '127.0.0.2:1'];
const ALIVE: DirectoryNotice = { kind: 'alive', index: 0, members: [] };

/** Dials in a second while nobody can be followed. */
const MOST_DIALS_PER_SECOND = 50;
const LEAST_DIALS_PER_SECOND = 20;

/** Dialed connections; bytes and messages arrive when a test says so. */
class Network {
  readonly time = new ManualTime();
  dials = 0;
  bytesReceived = 0;
  private handlers: ClientHandlers | null = null;
  readonly client: DirectoryClient;

  constructor() {
    const runtime: Runtime = {
      ...this.time.runtime,
      dial: (_address, _identity, handlers) => {
        this.dials += 1;
        this.handlers = handlers;
        return {
          send: () => true,
          sendEncoded: () => false,
          traffic: () => ({ bytesSent: 0, bytesReceived: this.bytesReceived }),
          stop: () => undefined,
        };
      },
    };
    const identity = { role: 'sidecar', name: 'sidecar', zone: 'z', token: 'token' } as const;
    this.client = new DirectoryClient(runtime, identity, SEEDS, new DirectoryTable(), SILENT_EVENT_LOG, {
      onTable: () => undefined,
      onNotice: () => undefined,
      onConnected: () => undefined,
    });
  }

  deliver(notice: DirectoryNotice): void {
    this.handlers?.onMessage(notice);
  }

  /** The replica that was dialed last refuses to be watched. */
  refuse(): void {
    this.handlers?.onMessage({ kind: 'watch-refused', reason: 'no-leader' });
  }

  /** Bytes of a frame that stays unfinished arrive for a while. */
  trickle(ms: number): void {
    for (let passed = 0; passed < ms; passed += 100) {
      this.bytesReceived += 56_000;
      this.time.pass(100);
    }
  }
}

test('a replica is not left while bytes of a long message arrive from it', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.trickle(3_000);
  t.is(network.dials, 1);
});

test('a replica that sends nothing is left', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.time.pass(1_200);
  t.is(network.dials, 2);
});

test('a replica whose bytes never make a message is left', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.trickle(7_000);
  t.is(network.dials, 2);
});

test('the table counts as current only while the replica says so', (t) => {
  const network = new Network();
  t.false(network.client.current);
  network.deliver(ALIVE);
  t.true(network.client.current);
  network.trickle(1_000);
  t.false(network.client.current);
  network.deliver(ALIVE);
  t.true(network.client.current);
});

test('a daemon that finds no replica to follow dials each of them a few times a second, and not as fast as it can', (t) => {
  const network = new Network();
  for (let passed = 0; passed < 1_000; passed += 1) {
    network.refuse();
    network.time.pass(1);
  }
  t.true(network.dials <= MOST_DIALS_PER_SECOND, `${network.dials} dials`);
  t.true(network.dials >= LEAST_DIALS_PER_SECOND, `${network.dials} dials`);
});

test('the next replica is dialed at once where another has not been tried', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.refuse();
  t.is(network.dials, 2);
});
