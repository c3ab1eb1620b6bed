import test from 'ava';
import { LinkPacer, PACED_FRAME_BYTES } from '../../src/link/link-pacer.js';
import { PacedFrames } from '../../src/link/paced-frames.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

const BYTES_PER_MS = 1_000;
const LARGE = 3 * PACED_FRAME_BYTES;
const EMPTY = Buffer.alloc(0);

function frame(name: string, bytes = name.length): Buffer {
  return Buffer.alloc(bytes, name);
}

class World {
  readonly time = new ManualTime();
  readonly pacer = new LinkPacer(BYTES_PER_MS, this.time.runtime);

  connection(): { readonly frames: PacedFrames; readonly written: () => string } {
    const chunks: Buffer[] = [];
    const frames = new PacedFrames(this.pacer, (bytes) => chunks.push(Buffer.from(bytes)));
    return { frames, written: () => Buffer.concat(chunks).toString() };
  }

  /** Uses up what the link may take at once. */
  saturate(): { readonly written: () => string } {
    const { frames, written } = this.connection();
    frames.send(1, EMPTY, frame('s', LARGE));
    return { written };
  }
}

/** Letters in the order in which they first appear. */
function order(text: string): string {
  return [...new Set(text)].join('');
}

/** Each letter with the number of times that it stands there in a row. */
function runs(text: string): string[] {
  return [...text.matchAll(/(.)\1*/g)].map(([run]) => `${run.charAt(0)}${run.length}`);
}

test('large frames are handed over no faster than the link takes them', (t) => {
  const world = new World();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', 200_000));
  world.time.pass(100);
  t.true(written().length <= 100 * BYTES_PER_MS + 25 * BYTES_PER_MS);
  t.true(written().length >= 80 * BYTES_PER_MS);
  world.time.pass(200);
  t.is(written().length, 200_000);
});

test('small frames to other daemons do not wait behind large ones', (t) => {
  const world = new World();
  world.saturate();
  const other = world.connection();
  other.frames.send(7, frame('b'), EMPTY);
  t.is(other.written(), 'b');
});

test('a small frame goes before a large one of its connection that has not begun', (t) => {
  const world = new World();
  world.saturate();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', LARGE));
  frames.send(0, frame('p'), EMPTY);
  t.is(written(), 'p');
  world.time.pass(1_000);
  t.is(order(written()), 'pa');
});

test('a large frame that has begun is not interrupted', (t) => {
  const world = new World();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', 100_000));
  world.time.pass(20);
  frames.send(0, frame('p'), EMPTY);
  world.time.pass(1_000);
  t.deepEqual(runs(written()), ['a100000', 'p1']);
});

test('frames of one stream keep their order', (t) => {
  const world = new World();
  world.saturate();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', LARGE));
  frames.send(1, frame('e'), EMPTY);
  t.is(written(), '');
  world.time.pass(1_000);
  t.is(order(written()), 'ae');
});

test('what is not wanted any more is not sent, unless it has begun', (t) => {
  const world = new World();
  world.saturate();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', LARGE));
  frames.send(2, EMPTY, frame('b', LARGE));
  frames.drop(1);
  world.time.pass(60);
  frames.drop(2);
  world.time.pass(1_000);
  t.is(written().length, LARGE);
  t.is(order(written()), 'b');
});

test('the backlog is told in time, and ends', (t) => {
  const world = new World();
  const { frames } = world.connection();
  frames.send(1, EMPTY, frame('a', 460_000));
  t.true(world.pacer.backlogMs > 400 && world.pacer.backlogMs <= 500);
  world.time.pass(600);
  t.is(world.pacer.backlogMs, 0);
});

test('a connection that ended does not hold the others up', (t) => {
  const world = new World();
  const ended = world.connection();
  ended.frames.send(1, EMPTY, frame('a', 100_000));
  ended.frames.dropAll();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('b', LARGE));
  world.time.pass(200);
  t.is(written().length, LARGE);
});

test('of two frames that wait the smaller one goes first, until the larger one has waited for long', (t) => {
  const world = new World();
  world.saturate();
  const large = world.connection();
  large.frames.send(1, EMPTY, frame('a', 300_000));
  const small = world.connection();
  small.frames.send(1, EMPTY, frame('b', LARGE));
  world.time.pass(100);
  t.is(small.written().length, LARGE);
  t.true(large.written().length < 300_000);
});

test('a large frame is not kept waiting for ever by smaller ones', (t) => {
  const world = new World();
  const large = world.connection();
  const small = world.connection();
  world.saturate();
  large.frames.send(1, EMPTY, frame('a', 60_000));
  for (let stream = 1; stream <= 100; stream += 1) {
    small.frames.send(stream, EMPTY, frame('b', LARGE));
    world.time.pass(30);
  }
  t.is(large.written().length, 60_000);
});

test('a small frame that waited for a large one is whole before the next large one begins', (t) => {
  const world = new World();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', 100_000));
  world.time.pass(20);
  frames.send(1, EMPTY, frame('b', LARGE));
  frames.send(2, EMPTY, frame('c', LARGE));
  frames.send(0, frame('p'), EMPTY);
  world.time.pass(1_000);
  t.deepEqual(runs(written()), ['a100000', 'p1', `c${LARGE}`, `b${LARGE}`]);
});

test('of two large frames to different daemons the one with less left goes on first, also when the other has begun', (t) => {
  const world = new World();
  const large = world.connection();
  large.frames.send(1, EMPTY, frame('a', 100_000));
  world.time.pass(20);
  const small = world.connection();
  small.frames.send(1, EMPTY, frame('b', LARGE));
  world.time.pass(30);
  t.is(small.written().length, LARGE);
  t.true(large.written().length < 60_000);
  world.time.pass(200);
  t.is(large.written().length, 100_000);
});

test('what passes beside the pacer, with what the network adds, is taken off what large frames get', (t) => {
  const world = new World();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', 400_000));
  for (let turn = 0; turn < 20; turn += 1) {
    for (let sent = 0; sent < 20; sent += 1) world.pacer.noteSent(148);
    world.pacer.noteReceived(2_000);
    world.time.pass(10);
  }
  const large = written().length;
  const small = 400 * 200 + 20 * 52;
  t.true(large + small < 200 * BYTES_PER_MS, `${large} bytes of large frames`);
  t.true(large + small > 170 * BYTES_PER_MS, `${large} bytes of large frames`);
});

test('small frames beyond the link hold large ones up for a bounded time only', (t) => {
  const world = new World();
  const { frames, written } = world.connection();
  world.pacer.noteSent(1_000_000);
  frames.send(1, EMPTY, frame('a', LARGE));
  world.time.pass(150);
  t.is(written().length, LARGE);
});

test('the time that an answer needs counts the small frames that go before it', (t) => {
  const world = new World();
  t.is(Math.round(world.pacer.sendingMs(92_000)), 100);
  for (let turn = 0; turn < 200; turn += 1) {
    for (let sent = 0; sent < 10; sent += 1) world.pacer.noteSent(448);
    world.time.pass(10);
  }
  t.true(world.pacer.sendingMs(92_000) > 190 && world.pacer.sendingMs(92_000) < 230);
  world.time.pass(10_000);
  t.true(world.pacer.sendingMs(92_000) < 102);
});

test('a connection that ends well sends everything that waits, each frame whole', (t) => {
  const world = new World();
  const { frames, written } = world.connection();
  frames.send(1, EMPTY, frame('a', 100_000));
  frames.send(2, EMPTY, frame('b', LARGE));
  world.time.pass(20);
  frames.send(0, frame('p'), EMPTY);
  frames.flush();
  t.is(written().length, 100_000 + LARGE + 1);
  t.is(runs(written()).length, 3);
});
