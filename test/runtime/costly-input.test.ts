import test from 'ava';
import { Random } from '../../lab/random.js';
import { CostlyInput, type HeldConnection } from '../../src/runtime/costly-input.js';

/** Processor time in ms of one read of a connection with small parts, and the parts in it. */
const READ_MS = 40;
const PARTS = 10_000;

/** A connection whose reads the test plays. */
class PlayedConnection implements HeldConnection {
  destroyed = false;
  reads = 0;
  private paused = false;

  isPaused(): boolean {
    return this.paused;
  }

  pause(): this {
    this.paused = true;
    return this;
  }

  resume(): this {
    this.paused = false;
    return this;
  }
}

/** An event loop with a clock of its own: timers, then reads, then what follows them. */
class PlayedLoop {
  nowMs = 0;
  readonly input = new CostlyInput({
    nowMs: () => this.nowMs,
    after: (ms, callback) => this.timers.push({ atMs: this.nowMs + ms, callback }),
    afterInput: (callback) => this.afterInput.push(callback),
  });
  private timers: { atMs: number; callback: () => void }[] = [];
  private afterInput: (() => void)[] = [];

  /** Plays one turn; returns how long it took in ms. */
  turn(connections: readonly PlayedConnection[], partBytes: number): number {
    const startMs = this.nowMs;
    const due = this.timers.filter(({ atMs }) => atMs <= startMs);
    this.timers = this.timers.filter(({ atMs }) => atMs > startMs);
    for (const { callback } of due) callback();
    for (const connection of connections) this.read(connection, partBytes);
    for (const callback of this.afterInput.splice(0)) callback();
    const tookMs = this.nowMs - startMs;
    this.nowMs += 1;
    return tookMs;
  }

  private read(connection: PlayedConnection, partBytes: number): void {
    if (connection.isPaused() || connection.destroyed) return;
    const meter = this.input.meter(connection);
    connection.reads += 1;
    meter.add(partBytes);
    this.nowMs += READ_MS;
    for (let part = 1; part < PARTS; part += 1) meter.add(partBytes);
  }
}

test('connections with small parts are read one at a time, and the process has half of its time for others', (t) => {
  const loop = new PlayedLoop();
  const connections = Array.from({ length: 20 }, () => new PlayedConnection());
  loop.turn(connections, 1);
  const startMs = loop.nowMs;
  const readsBefore = connections.reduce((sum, { reads }) => sum + reads, 0);
  for (let turn = 0; turn < 2_000; turn += 1) t.true(loop.turn(connections, 1) <= READ_MS);
  const reads = connections.reduce((sum, { reads: count }) => sum + count, 0) - readsBefore;
  t.true(reads * READ_MS <= (loop.nowMs - startMs) / 2 + READ_MS);
  const counts = connections.map((connection) => connection.reads);
  t.true(Math.min(...counts) >= Math.max(...counts) - 1, 'all get the same share');
});

test('no connection is read behind costly ones that have taken a while, and none stays unread', (t) => {
  const loop = new PlayedLoop();
  const random = new Random(7);
  const connections = Array.from({ length: 50 }, () => new PlayedConnection());
  for (const connection of connections)
    loop.input.follow(Object.assign(connection, { once: () => connection }));
  for (let turn = 0; turn < 200; turn += 1) {
    const order = connections.map((connection) => ({ connection, at: random.fraction() }));
    order.sort((left, right) => left.at - right.at);
    t.true(
      loop.turn(
        order.map(({ connection }) => connection),
        1,
      ) <=
        6 * READ_MS,
    );
  }
  t.true(connections.every(({ reads }) => reads > 0));
});

test('connections with parts of usual size are not held', (t) => {
  const loop = new PlayedLoop();
  const connections = [new PlayedConnection(), new PlayedConnection()];
  for (let turn = 0; turn < 10; turn += 1) loop.turn(connections, 1_000);
  t.deepEqual(
    connections.map(({ reads }) => reads),
    [10, 10],
  );
  t.is(loop.input.size, 0);
});

test('a connection that closes is not waited for', (t) => {
  const loop = new PlayedLoop();
  const connections = Array.from({ length: 3 }, () => new PlayedConnection());
  loop.turn(connections, 1);
  t.is(loop.input.size, 3);
  for (const connection of connections) connection.destroyed = true;
  for (let turn = 0; turn < 500; turn += 1) loop.turn(connections, 1);
  t.is(loop.input.size, 0);
});
