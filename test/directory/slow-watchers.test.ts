/**
 * Memory for watchers is bounded in bytes: changes retained for those that reconnect, and frames queued for those that read slowly.
 * Both used to be bounded by the number of changes, or by 64 MB for each connection.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { ChangeFeed } from '../../src/directory/change-feed.js';
import type { DirectoryNotice } from '../../src/directory/directory-messages.js';
import { emptyDirectoryState } from '../../src/directory/directory-state.js';
import type { Connection } from '../../src/runtime/runtime.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { decodeFrame } from '../../src/transport/frame-codec.js';

const SEEDS = 6;
const CHANGES = 150;
const INSTANCES = 10;
const MAX_CHANGE_BYTES = 60_000;
const LIMITS = { retainedChangeBytes: 100_000, watcherQueueBytes: 300_000 };

/** Text that cannot be compressed. */
const TEXT = randomText(1_000_000);

function randomText(length: number): string {
  const random = new Random(1);
  return Array.from({ length }, () => String.fromCharCode(33 + random.below(90))).join('');
}

/** A daemon whose connection takes so many bytes for each change that is published; null if it takes all at once. */
class Watcher implements Connection {
  readonly table = new DirectoryTable();
  queue: Buffer[] = [];
  receivedBytes = 0;
  closed = false;
  private credit = 0;

  constructor(readonly bytesPerTurn: number | null) {}

  get queuedBytes(): number {
    return this.queue.reduce((bytes, frame) => bytes + frame.length, 0);
  }

  send(): void {
    throw new Error('a feed sends only encoded frames');
  }

  sendEncoded(frame: Buffer): void {
    this.queue.push(frame);
    if (this.bytesPerTurn === null) this.drain(Infinity);
  }

  close(): void {
    this.closed = true;
    this.queue = [];
  }

  drain(bytes: number): void {
    this.credit += bytes;
    for (
      let frame = this.queue[0];
      frame !== undefined && frame.length <= this.credit;
      frame = this.queue[0]
    ) {
      this.credit -= frame.length;
      this.queue.shift();
      this.receive(frame);
    }
    if (this.queue.length === 0) this.credit = 0;
  }

  private receive(frame: Buffer): void {
    this.receivedBytes += frame.length;
    const notice = decodeFrame(frame).unwrap() as DirectoryNotice;
    if (notice.kind === 'table') this.table.replace(notice.index, notice.table);
    if (notice.kind === 'changes') this.table.apply(notice.index, notice.changes);
  }
}

class Replica {
  readonly feed = new ChangeFeed(LIMITS);
  readonly state = emptyDirectoryState();
  index = 0;

  constructor(private readonly random: Random) {}

  /** Publishes a change whose text cannot be compressed. */
  change(bytes: number): void {
    const id = `i-${this.random.below(INSTANCES)}`;
    const from = this.random.below(TEXT.length - bytes);
    const version = TEXT.slice(from, from + bytes);
    const registration = {
      service: 's',
      zone: 'z',
      daemonAddress: id,
      slots: 1,
      condition: 'ready',
    } as const;
    this.index += 1;
    const instance = { id, ...registration, version, session: this.index };
    this.state.instances.set(id, instance);
    this.feed.publish(this.index, [{ kind: 'instance', instance }]);
  }

  join(watcher: Watcher): Watcher {
    this.feed.add(watcher, watcher.table.index, this.state, this.index);
    return watcher;
  }
}

function drawBytes(random: Random): number {
  return Math.round(10 + MAX_CHANGE_BYTES * random.fraction() ** 3);
}

function queuedFrameBytes(watchers: readonly Watcher[]): number {
  const frames = new Set(watchers.flatMap(({ queue }) => queue));
  return [...frames].reduce((bytes, frame) => bytes + frame.length, 0);
}

for (const slowWatchers of [1, 30]) {
  test(`frames queued for ${slowWatchers} slow watchers stay within the limit, and no other watcher is disconnected`, (t) => {
    let disconnected = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = new Random(seed);
      const replica = new Replica(random);
      const fast = Array.from({ length: 5 }, () => replica.join(new Watcher(null)));
      const steady = replica.join(new Watcher(2 * MAX_CHANGE_BYTES));
      let slow = Array.from({ length: slowWatchers }, () => replica.join(new Watcher(random.below(8_000))));
      for (let at = 0; at < CHANGES; at += 1) {
        replica.change(drawBytes(random));
        const watchers = [...fast, steady, ...slow];
        t.true(queuedFrameBytes(watchers) <= LIMITS.watcherQueueBytes, `seed ${seed}, change ${at}`);
        for (const watcher of watchers) watcher.drain(watcher.bytesPerTurn ?? 0);
        slow = slow.map((watcher) => {
          if (!watcher.closed) return watcher;
          disconnected += 1;
          return replica.join(new Watcher(watcher.bytesPerTurn));
        });
      }
      t.false(
        [...fast, steady].some(({ closed }) => closed),
        `seed ${seed}`,
      );
      // A watcher that joins may be the one for which another has to give way.
      for (const [at, watcher] of slow.entries()) {
        watcher.drain(Infinity);
        if (watcher.closed) slow[at] = replica.join(new Watcher(null));
      }
      for (const { table } of [...fast, ...slow]) {
        t.is(table.index, replica.index, `seed ${seed}`);
        t.deepEqual(new Set(table.instances()), new Set(replica.state.instances.values()), `seed ${seed}`);
      }
    }
    t.true(disconnected > SEEDS, `${disconnected} watchers were disconnected`);
  });
}

test('changes retained for watchers that reconnect are bounded in bytes; others get a table', (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new Random(seed);
    const replica = new Replica(random);
    for (let at = 0; at < CHANGES; at += 1) replica.change(drawBytes(random));
    const tableBytes = replica.join(new Watcher(null)).receivedBytes;
    for (let heldIndex = 1; heldIndex <= replica.index; heldIndex += 1) {
      const watcher = new Watcher(null);
      replica.feed.add(watcher, heldIndex, replica.state, replica.index);
      t.true(
        watcher.receivedBytes <= LIMITS.retainedChangeBytes + tableBytes,
        `seed ${seed}, from ${heldIndex}`,
      );
    }
  }
});

test('a change that is larger than what is retained reaches watchers, and those that join later get it in their table', (t) => {
  const replica = new Replica(new Random(1));
  replica.change(10);
  const watcher = replica.join(new Watcher(null));
  replica.change(2 * LIMITS.watcherQueueBytes);
  replica.change(20);
  for (const { table, closed } of [watcher, replica.join(new Watcher(null))]) {
    t.is(table.index, replica.index);
    t.false(closed);
  }
});
