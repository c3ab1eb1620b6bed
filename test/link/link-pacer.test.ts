/** Pacing of large frames on a slow network link, and their order relative to small frames. */
import test from 'ava';
import { LinkPacer, MIN_PACED_FRAME_BYTES } from '../../src/link/link-pacer.js';
import { PacedFrames } from '../../src/link/paced-frames.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

const BYTES_PER_MS = 1_000;
const LARGE = 3 * MIN_PACED_FRAME_BYTES;
const EMPTY_BODY = Buffer.alloc(0);

function frame(name: string, bytes = name.length): Buffer {
  return Buffer.alloc(bytes, name);
}

class PacerFixture {
  readonly time = new ManualTime();
  readonly pacer = new LinkPacer(BYTES_PER_MS, this.time.runtime);

  connection(): { readonly frames: PacedFrames; readonly written: () => string } {
    const chunks: Buffer[] = [];
    const frames = new PacedFrames(this.pacer, (bytes) => chunks.push(Buffer.from(bytes)));
    return { frames, written: () => Buffer.concat(chunks).toString() };
  }

  /** Uses up the pacer's initial credit, so that further large frames must wait. */
  saturate(): { readonly written: () => string } {
    const { frames, written } = this.connection();
    frames.send(1, EMPTY_BODY, frame('s', LARGE));
    return { written };
  }
}

/** Distinct letters in order of their first occurrence. */
function distinctLetters(text: string): string {
  return [...new Set(text)].join('');
}

/** Run-length encoding: each run of one letter with its length. */
function runLengths(text: string): string[] {
  return [...text.matchAll(/(.)\1*/g)].map(([letters]) => `${letters.charAt(0)}${letters.length}`);
}

test('large frames are sent no faster than the bandwidth of the link', (t) => {
  const fixture = new PacerFixture();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', 200_000));
  fixture.time.pass(100);
  t.true(written().length <= 100 * BYTES_PER_MS + 25 * BYTES_PER_MS);
  t.true(written().length >= 80 * BYTES_PER_MS);
  fixture.time.pass(200);
  t.is(written().length, 200_000);
});

test('small frames to other peers are not queued behind large frames', (t) => {
  const fixture = new PacerFixture();
  fixture.saturate();
  const other = fixture.connection();
  other.frames.send(7, frame('b'), EMPTY_BODY);
  t.is(other.written(), 'b');
});

test('a small frame overtakes a large frame of its connection that has not begun', (t) => {
  const fixture = new PacerFixture();
  fixture.saturate();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', LARGE));
  frames.send(0, frame('p'), EMPTY_BODY);
  t.is(written(), 'p');
  fixture.time.pass(1_000);
  t.is(distinctLetters(written()), 'pa');
});

test('a large frame that has begun is not interrupted', (t) => {
  const fixture = new PacerFixture();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', 100_000));
  fixture.time.pass(20);
  frames.send(0, frame('p'), EMPTY_BODY);
  fixture.time.pass(1_000);
  t.deepEqual(runLengths(written()), ['a100000', 'p1']);
});

test('frames of one stream are sent in order', (t) => {
  const fixture = new PacerFixture();
  fixture.saturate();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', LARGE));
  frames.send(1, frame('e'), EMPTY_BODY);
  t.is(written(), '');
  fixture.time.pass(1_000);
  t.is(distinctLetters(written()), 'ae');
});

test('a dropped frame is not sent, unless its writing has begun', (t) => {
  const fixture = new PacerFixture();
  fixture.saturate();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', LARGE));
  frames.send(2, EMPTY_BODY, frame('b', LARGE));
  frames.drop(1);
  fixture.time.pass(60);
  frames.drop(2);
  fixture.time.pass(1_000);
  t.is(written().length, LARGE);
  t.is(distinctLetters(written()), 'b');
});

test('the backlog is the time needed to send the queue, and returns to zero', (t) => {
  const fixture = new PacerFixture();
  const { frames } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', 460_000));
  t.true(fixture.pacer.backlogMs > 400 && fixture.pacer.backlogMs <= 500);
  fixture.time.pass(600);
  t.is(fixture.pacer.backlogMs, 0);
});

test('frames of a closed connection do not delay other connections', (t) => {
  const fixture = new PacerFixture();
  const ended = fixture.connection();
  ended.frames.send(1, EMPTY_BODY, frame('a', 100_000));
  ended.frames.discardAll();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('b', LARGE));
  fixture.time.pass(200);
  t.is(written().length, LARGE);
});

test('of two queued frames the smaller one is sent first', (t) => {
  const fixture = new PacerFixture();
  fixture.saturate();
  const large = fixture.connection();
  large.frames.send(1, EMPTY_BODY, frame('a', 300_000));
  const small = fixture.connection();
  small.frames.send(1, EMPTY_BODY, frame('b', LARGE));
  fixture.time.pass(100);
  t.is(small.written().length, LARGE);
  t.true(large.written().length < 300_000);
});

test('a large frame is not starved by smaller ones', (t) => {
  const fixture = new PacerFixture();
  const large = fixture.connection();
  const small = fixture.connection();
  fixture.saturate();
  large.frames.send(1, EMPTY_BODY, frame('a', 60_000));
  for (let stream = 1; stream <= 100; stream += 1) {
    small.frames.send(stream, EMPTY_BODY, frame('b', LARGE));
    fixture.time.pass(30);
  }
  t.is(large.written().length, 60_000);
});

test('a small frame that was held back by a large one is written before the next large one', (t) => {
  const fixture = new PacerFixture();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', 100_000));
  fixture.time.pass(20);
  frames.send(1, EMPTY_BODY, frame('b', LARGE));
  frames.send(2, EMPTY_BODY, frame('c', LARGE));
  frames.send(0, frame('p'), EMPTY_BODY);
  fixture.time.pass(1_000);
  t.deepEqual(runLengths(written()), ['a100000', 'p1', `c${LARGE}`, `b${LARGE}`]);
});

test('of two large frames to different peers the one with fewer bytes left is sent first, even if the other has begun', (t) => {
  const fixture = new PacerFixture();
  const large = fixture.connection();
  large.frames.send(1, EMPTY_BODY, frame('a', 100_000));
  fixture.time.pass(20);
  const small = fixture.connection();
  small.frames.send(1, EMPTY_BODY, frame('b', LARGE));
  fixture.time.pass(30);
  t.is(small.written().length, LARGE);
  t.true(large.written().length < 60_000);
  fixture.time.pass(200);
  t.is(large.written().length, 100_000);
});

test('unpaced traffic, including packet headers, reduces the bandwidth of large frames', (t) => {
  const fixture = new PacerFixture();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', 400_000));
  for (let turn = 0; turn < 20; turn += 1) {
    for (let sent = 0; sent < 20; sent += 1) fixture.pacer.recordUnpacedSend(148);
    fixture.pacer.recordReceive(2_000);
    fixture.time.pass(10);
  }
  const large = written().length;
  const small = 400 * 200 + 20 * 52;
  t.true(large + small < 200 * BYTES_PER_MS, `${large} bytes of large frames`);
  t.true(large + small > 170 * BYTES_PER_MS, `${large} bytes of large frames`);
});

test('small frames that exceed the bandwidth delay large frames for a bounded time only', (t) => {
  const fixture = new PacerFixture();
  const { frames, written } = fixture.connection();
  fixture.pacer.recordUnpacedSend(1_000_000);
  frames.send(1, EMPTY_BODY, frame('a', LARGE));
  fixture.time.pass(150);
  t.is(written().length, LARGE);
});

test('the estimated sending time accounts for unpaced traffic', (t) => {
  const fixture = new PacerFixture();
  t.is(Math.round(fixture.pacer.sendingMs(92_000)), 100);
  for (let turn = 0; turn < 200; turn += 1) {
    for (let sent = 0; sent < 10; sent += 1) fixture.pacer.recordUnpacedSend(448);
    fixture.time.pass(10);
  }
  t.true(fixture.pacer.sendingMs(92_000) > 190 && fixture.pacer.sendingMs(92_000) < 230);
  fixture.time.pass(10_000);
  t.true(fixture.pacer.sendingMs(92_000) < 102);
});

test('flush writes all queued frames, each one uninterrupted', (t) => {
  const fixture = new PacerFixture();
  const { frames, written } = fixture.connection();
  frames.send(1, EMPTY_BODY, frame('a', 100_000));
  frames.send(2, EMPTY_BODY, frame('b', LARGE));
  fixture.time.pass(20);
  frames.send(0, frame('p'), EMPTY_BODY);
  frames.flush();
  t.is(written().length, 100_000 + LARGE + 1);
  t.is(runLengths(written()).length, 3);
});

/** A pacer with a long frame, whose timer fires when the test says so. */
class LatePacer {
  nowMs = 0;
  writtenBytes = 0;
  private due: () => void = () => undefined;

  constructor() {
    const after = (_ms: number, callback: () => void): void => {
      this.due = callback;
    };
    const pacer = new LinkPacer(BYTES_PER_MS, { nowMs: () => this.nowMs, after });
    const frames = new PacedFrames(pacer, ({ length }) => {
      this.writtenBytes += length;
    });
    frames.send(1, EMPTY_BODY, frame('a', 2_000_000));
  }

  fire(): void {
    this.due();
  }
}

/** Guards against a link that is left unused because the process that paces it runs late. */
test('a process whose timers fire 60 ms late uses the whole link while frames are queued', (t) => {
  const late = new LatePacer();
  for (; late.nowMs < 1_200; late.nowMs += 60) late.fire();
  const { nowMs, writtenBytes } = late;
  t.true(writtenBytes >= 0.8 * nowMs * BYTES_PER_MS, `${writtenBytes} bytes in ${nowMs} ms`);
  t.true(writtenBytes <= (nowMs + 100) * BYTES_PER_MS, `${writtenBytes} bytes in ${nowMs} ms`);
});

/** Guards against a burst after a stall that fills the link for longer than small frames may wait. */
test('after a stall of a second a queued frame is sent no faster than for 100 ms of the link', (t) => {
  const late = new LatePacer();
  const before = late.writtenBytes;
  late.nowMs += 1_000;
  late.fire();
  const burstBytes = late.writtenBytes - before;
  t.true(burstBytes <= 110 * BYTES_PER_MS, `${burstBytes} bytes`);
});
