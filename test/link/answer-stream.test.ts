/** Flow control of answers on a link: no more is sent than the receiver has room for, and all of it arrives in order. */
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { AnswerStream } from '../../src/link/answer-stream.js';
import type { LinkConnection } from '../../src/link/link-connection.js';
import { FRAME_KIND } from '../../src/link/link-frame.js';
import type { AnswerHead } from '../../src/link/link-messages.js';

const SEEDS = 50;

interface Sent {
  readonly kinds: number[];
  readonly moreFollows: boolean[];
  readonly body: Buffer[];
  ended: number;
}

function open(room: number): { stream: AnswerStream; sent: Sent } {
  const sent: Sent = { kinds: [], moreFollows: [], body: [], ended: 0 };
  const connection = {
    send: (kind: number, _stream: number, head: AnswerHead | undefined, body: Buffer = Buffer.alloc(0)) => {
      sent.kinds.push(kind);
      if (head !== undefined) sent.moreFollows.push(head.moreFollows);
      sent.body.push(body);
    },
  } as unknown as LinkConnection;
  return { sent, stream: new AnswerStream(connection, 7, room, () => (sent.ended += 1)) };
}

const headOf = (moreFollows: boolean): AnswerHead => ({
  statusCode: 200,
  headers: [],
  moreFollows,
  contentLength: null,
  framed: true,
  timing: { waitedMs: 0, backendMs: 0 },
  status: null,
});

const bytesOf = ({ body }: Sent): number => Buffer.concat(body).length;

function play(t: ExecutionContext, seed: number): void {
  const random = new Random(seed);
  const whole = Buffer.from(Array.from({ length: random.below(2_000) }, () => random.below(256)));
  let room = random.below(600);
  const { stream, sent } = open(room);
  const first = random.below(whole.length + 1);
  stream.answer(headOf(true), whole.subarray(0, first));
  let drains = 0;
  let expectedDrains = 0;
  for (let at = first; at < whole.length;) {
    const end = Math.min(whole.length, at + 1 + random.below(300));
    stream.push(whole.subarray(at, end));
    at = end;
    if (random.below(4) === 0) {
      stream.onDrain(() => (drains += 1));
      expectedDrains += 1;
    }
    if (random.below(2) === 0) {
      const credit = random.below(500);
      room += credit;
      stream.grant(credit);
    }
    t.true(bytesOf(sent) <= room, `seed ${seed}`);
    t.is(stream.isDrained, bytesOf(sent) === at, `seed ${seed}`);
  }
  stream.end();
  t.is(sent.ended, stream.isDrained ? 1 : 0);
  while (!stream.isDrained) stream.grant(1 + random.below(300));
  t.deepEqual(Buffer.concat(sent.body), whole);
  t.is(sent.kinds.at(-1), FRAME_KIND.end);
  t.is(sent.ended, 1);
  t.is(drains, expectedDrains);
}

test('any body in any parts, with credit at any moment', (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) play(t, seed);
});

test('a whole answer that fits is one frame, and one that does not is split', (t) => {
  const fits = open(10);
  fits.stream.answer(headOf(false), Buffer.alloc(10));
  t.deepEqual([fits.sent.kinds, fits.sent.moreFollows, fits.sent.ended], [[FRAME_KIND.answer], [false], 1]);
  const split = open(10);
  split.stream.answer(headOf(false), Buffer.alloc(25));
  t.deepEqual([split.sent.kinds, split.sent.moreFollows, split.sent.ended], [[FRAME_KIND.answer], [true], 0]);
  split.stream.grant(15);
  t.deepEqual(split.sent.kinds, [FRAME_KIND.answer, FRAME_KIND.body, FRAME_KIND.end]);
});

test('a discarded answer sends nothing more, and whoever waits for room is told', (t) => {
  const { stream, sent } = open(3);
  let drained = false;
  stream.answer(headOf(true), Buffer.alloc(8));
  stream.onDrain(() => (drained = true));
  stream.discard();
  stream.grant(100);
  stream.push(Buffer.alloc(4));
  stream.end();
  t.deepEqual([bytesOf(sent), sent.ended, drained], [3, 1, true]);
});
