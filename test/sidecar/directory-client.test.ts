/** Tests of a daemon's connection to the directory, with a manual clock and a manual network. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { DirectoryNotice } from '../../src/directory/directory-messages.js';
import { readNotice } from '../../src/directory/notice-checks.js';
import type { ClientHandlers, Runtime } from '../../src/runtime/runtime.js';
import { DirectoryClient } from '../../src/sidecar/directory-client.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { damageJson } from '../fuzz/damage.js';
import { ManualTime } from './manual-runtime.js';

const SEEDS = ['127.0.0.1:1', '127.0.0.2:1'];
const ALIVE: DirectoryNotice = { kind: 'alive', index: 0, members: [] };

/** Limits for the number of dials in a second in which no replica can be followed. */
const MAX_DIALS_PER_SECOND = 50;
const MIN_DIALS_PER_SECOND = 20;

/** Simulated network: counts dials, and delivers bytes and messages on request of a test. */
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

  deliver(notice: unknown): void {
    this.handlers?.onMessage(notice);
  }

  /** Makes the replica that was dialed last refuse to be watched. */
  refuse(): void {
    this.handlers?.onMessage({ kind: 'watch-refused', reason: 'no-leader' });
  }

  /** Delivers bytes of an incomplete frame for `ms`. */
  receivePartialFrame(ms: number): void {
    for (let passed = 0; passed < ms; passed += 100) {
      this.bytesReceived += 56_000;
      this.time.pass(100);
    }
  }
}

test('the client stays with a replica while bytes of a long message arrive from it', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.receivePartialFrame(3_000);
  t.is(network.dials, 1);
});

test('the client leaves a replica that sends nothing', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.time.pass(1_200);
  t.is(network.dials, 2);
});

test('the client leaves a replica whose bytes never complete a message', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.receivePartialFrame(7_000);
  t.is(network.dials, 2);
});

test('the table counts as current only while the replica sends alive notices', (t) => {
  const network = new Network();
  t.false(network.client.isTableCurrent);
  network.deliver(ALIVE);
  t.true(network.client.isTableCurrent);
  network.receivePartialFrame(1_000);
  t.false(network.client.isTableCurrent);
  network.deliver(ALIVE);
  t.true(network.client.isTableCurrent);
});

test('a daemon without a replica to follow dials at a limited rate, but keeps dialing', (t) => {
  const network = new Network();
  for (let passed = 0; passed < 1_000; passed += 1) {
    network.refuse();
    network.time.pass(1);
  }
  t.true(network.dials <= MAX_DIALS_PER_SECOND, `${network.dials} dials`);
  t.true(network.dials >= MIN_DIALS_PER_SECOND, `${network.dials} dials`);
});

test('the next replica is dialed at once if it has not been tried', (t) => {
  const network = new Network();
  network.deliver(ALIVE);
  network.refuse();
  t.is(network.dials, 2);
});

/** Notices of all kinds, and how deep their fields are checked. */
const RANGE = { from: 0, to: 9, owner: 'a', session: 1, fence: 1, movingTo: null, handover: '' };
const INSTANCE = {
  id: 'a',
  service: 's',
  zone: 'z',
  daemonAddress: 'h:1',
  slots: 1,
  condition: 'ready',
  version: '',
};
const NOTICES: readonly unknown[] = [
  ALIVE,
  { kind: 'watch-refused', reason: 'behind' },
  { kind: 'registered', id: 'a', session: 1, sentMs: 0, termMs: 1_000, index: 0 },
  { kind: 'session-ended', id: 'a', session: 1 },
  { kind: 'end-recorded', token: 1 },
  { kind: 'run-permitted', fingerprint: 'f', life: 'l' },
  {
    kind: 'table',
    index: 1,
    table: {
      items: [{ kind: 'service', name: 's', version: 1, source: null, definition: null }],
      revision: 0,
      configured: true,
      accepted: [],
      instances: [INSTANCE],
      ranges: [{ service: 's', ranges: [RANGE] }],
      evacuatedZones: ['z'],
      crashRecords: [],
    },
  },
  {
    kind: 'changes',
    index: 2,
    changes: [
      { kind: 'items', items: [] },
      { kind: 'instance', instance: INSTANCE },
      { kind: 'instance-gone', id: 'a' },
      { kind: 'evacuation', zone: 'z', evacuated: true },
      { kind: 'crash-records', changed: [], removed: [] },
      { kind: 'ranges', service: 's', ranges: [RANGE] },
    ],
  },
];
const CHECKED_DEPTH = 1;

test('a damaged notice makes the client leave the replica at most: it ended the daemon', (t) => {
  const random = new Random(62);
  let left = 0;
  for (let count = 0; count < 4_000; count += 1) {
    const network = new Network();
    network.deliver(ALIVE);
    t.notThrows(() => {
      network.deliver(damageJson(random.pick(NOTICES), random, CHECKED_DEPTH));
    }, `case ${count}`);
    network.time.pass(100);
    if (network.dials > 1) left += 1;
    network.client.stop();
  }
  t.true(left > 1_000);
});

test('sound notices are readable', (t) => {
  for (const notice of NOTICES) t.truthy(readNotice(notice));
});
