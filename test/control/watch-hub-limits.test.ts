/**
 * Guards against a replica that holds any number of large changes for watchers that may reconnect, or for watchers that do not
 * read: the number of changes is limited, their size is chosen by operators.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { Change } from '../../src/control/changes.js';
import { emptyControlState } from '../../src/control/control-state.js';
import { WatchHub, type Watcher } from '../../src/control/watch-hub.js';

const LIMITS = { retainedChangeBytes: 200_000, watcherQueueBytes: 300_000 };
const HELLO = { kind: 'hello', version: 1, token: 't', role: 'router', name: 'r', zone: 'z' } as const;
const SIZES = [10, 1_000, 20_000, 90_000];

/** A connection that takes nothing of what is queued, or all of it. */
class Reader {
  queuedBytes = 0;
  closed = false;
  readonly kinds: string[] = [];
  readonly watcher: Watcher;

  constructor(private readonly reads: boolean) {
    this.watcher = { hello: HELLO, connection: this, scope: null, index: 0, revision: 0 };
  }

  send(message: unknown): void {
    this.kinds.push((message as { kind: string }).kind);
  }

  sendEncoded(frame: Buffer): void {
    this.kinds.push(/"kind":"(\w+)"/.exec(frame.subarray(0, 100).toString('latin1'))?.[1] ?? '');
    if (!this.reads) this.queuedBytes += frame.length;
  }

  close(): void {
    this.closed = true;
  }
}

function changeOf(index: number, size: number): Change {
  return { kind: 'configuration', revision: index, services: {}, removed: ['x'.repeat(size)] };
}

test('the changes stored for watchers that reconnect are limited in bytes', (t) => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const random = new Random(seed);
    const hub = new WatchHub(LIMITS);
    hub.reset(emptyControlState(), 0);
    for (let index = 1; index <= 60; index += 1) {
      hub.publish(index, [changeOf(index, random.pick(SIZES))]);
      t.true(hub.storedBytes <= LIMITS.retainedChangeBytes, `seed ${seed}`);
    }
    hub.publish(61, [changeOf(61, 10)]);
    const recent = new Reader(true);
    hub.add(recent.watcher, 60, emptyControlState(), 61);
    t.deepEqual(recent.kinds, ['changes'], `seed ${seed}: one that misses one change gets it`);
    const old = new Reader(true);
    hub.add(old.watcher, 1, emptyControlState(), 61);
    t.is(old.kinds[0], 'table', `seed ${seed}: one that misses more than is stored gets a table`);
  }
});

test('a change that is larger than the limit is delivered, and not stored', (t) => {
  const hub = new WatchHub(LIMITS);
  hub.reset(emptyControlState(), 0);
  const present = new Reader(true);
  hub.add(present.watcher, 0, emptyControlState(), 0);
  hub.publish(1, [changeOf(1, 500_000)]);
  t.deepEqual(present.kinds, ['table', 'changes']);
  t.is(hub.storedBytes, 0);
  const late = new Reader(true);
  hub.add(late.watcher, 0, emptyControlState(), 1);
  t.is(late.kinds[0], 'table');
});

test('watchers that do not read are disconnected once too much is queued, and the others stay', (t) => {
  const hub = new WatchHub(LIMITS);
  hub.reset(emptyControlState(), 0);
  const stuck = [new Reader(false), new Reader(false)];
  const reading = new Reader(true);
  for (const { watcher } of [...stuck, reading]) hub.add(watcher, 0, emptyControlState(), 0);
  for (let index = 1; index <= 20; index += 1) hub.publish(index, [changeOf(index, 40_000)]);
  t.true(stuck.every(({ closed }) => closed));
  t.false(reading.closed);
  t.is(hub.list().length, 1);
  t.is(reading.kinds.length, 21);
});
