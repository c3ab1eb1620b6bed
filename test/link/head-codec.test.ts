/** Short heads: the codec alone, and frames that a paced connection writes in another order than they were sent in. */
import { createHash } from 'node:crypto';
import { deflateRawSync } from 'node:zlib';
import test from 'ava';
import * as fc from 'fast-check';
import { HeadDecoder, HeadEncoder, MAX_SHORT_HEAD_BYTES } from '../../src/link/head-codec.js';
import { INITIAL_DICTIONARIES } from '../../src/link/head-dictionaries.js';
import { FRAME_KIND, LinkFrameDecoder, type FrameKind } from '../../src/link/link-frame.js';
import { LinkPacer, MIN_PACED_FRAME_BYTES } from '../../src/link/link-pacer.js';
import { openConnection } from './recording-socket.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

const PROPERTY = { seed: 7, numRuns: 60 };
const LINK_BYTES_PER_MS = 100;

/** Heads of this protocol and of later builds: known and unknown fields, repeated and random values. */
const headArbitrary = fc.record(
  {
    requestId: fc.string(),
    headers: fc.array(fc.oneof(fc.constantFrom('host', 'content-type', 'text/plain'), fc.string())),
    remainingMs: fc.double({ noNaN: true, noDefaultInfinity: true }).map((ms) => ms + 0),
    nested: fc.record({ priority: fc.nat(), remainingMs: fc.nat() }),
    unknownToThisBuild: fc.jsonValue().map((value) => JSON.parse(JSON.stringify(value)) as unknown),
  },
  { requiredKeys: ['requestId'] },
);

const kindArbitrary = fc.constantFrom<FrameKind>(FRAME_KIND.request, FRAME_KIND.answer, FRAME_KIND.status);

function jsonOf(head: unknown): Buffer {
  return Buffer.from(JSON.stringify(head));
}

test('every head comes back as it was, whatever was learned before it', (t) => {
  const heads = fc.array(fc.tuple(kindArbitrary, headArbitrary, fc.boolean()), { maxLength: 25 });
  fc.assert(
    fc.property(heads, (sent) => {
      const encoder = new HeadEncoder();
      const decoder = new HeadDecoder();
      for (const [kind, head, mayLearn] of sent) {
        const text = jsonOf(head);
        const short = encoder.encode(kind, text, mayLearn);
        if (short !== null && !decoder.decode(kind, short).unwrap().equals(text)) return false;
      }
      return true;
    }),
    PROPERTY,
  );
  t.pass();
});

test('frames that a paced connection reorders or drops are decoded with the dictionary of their encoding', (t) => {
  const frame = fc.record({
    kind: kindArbitrary,
    stream: fc.integer({ min: 1, max: 4 }),
    head: headArbitrary,
    bodyBytes: fc.constantFrom(0, 300, 1_900, 2 * MIN_PACED_FRAME_BYTES, 9 * MIN_PACED_FRAME_BYTES),
    passMs: fc.constantFrom(0, 0, 5, 40),
    dropsStream: fc.constantFrom(false, false, false, true),
  });
  let reordered = 0;
  fc.assert(
    fc.property(fc.array(frame, { minLength: 5, maxLength: 40 }), (sent) => {
      const time = new ManualTime();
      const { socket, connection } = openConnection(new LinkPacer(LINK_BYTES_PER_MS, time.runtime));
      connection.enableShortHeads();
      for (const [index, { kind, stream, head, bodyBytes, passMs, dropsStream }] of sent.entries()) {
        connection.send(kind, stream, { ...head, index }, Buffer.alloc(bodyBytes));
        time.pass(passMs);
        if (dropsStream) connection.dropStream(stream);
      }
      time.pass(60_000);
      const heads = new HeadDecoder();
      const decoder = new LinkFrameDecoder((kind, short) => heads.decode(kind, short));
      const received = decoder.push(Buffer.concat(socket.chunks)).unwrap();
      const order = received.map((one) => (one.head as { index: number }).index);
      if (order.some((index, at) => at > 0 && index < (order[at - 1] ?? 0))) reordered += 1;
      connection.close('end of the test');
      return received.every(({ kind, stream, head, body }, at) => {
        const index = order[at] ?? 0;
        const original = sent[index];
        const expected = { ...original?.head, index };
        const sameHead = JSON.stringify(head) === JSON.stringify(expected);
        return (
          sameHead &&
          kind === original?.kind &&
          stream === original.stream &&
          body.length === original.bodyBytes
        );
      });
    }),
    PROPERTY,
  );
  t.true(reordered > 0, 'the property must cover frames that overtake others');
});

test('a corrupted short head closes the connection, or is read as another head, but never throws', (t) => {
  const text = jsonOf({ requestId: 'a'.repeat(40), headers: ['host', 'x'] });
  fc.assert(
    fc.property(fc.nat(), fc.integer({ min: 1, max: 255 }), fc.nat(), (at, flip, length) => {
      const short = Buffer.from(new HeadEncoder().encode(FRAME_KIND.request, text, true) ?? []);
      const position = at % short.length;
      short.writeUInt8(short.readUInt8(position) ^ flip, position);
      const decoded = new HeadDecoder().decode(
        FRAME_KIND.request,
        short.subarray(0, length % (short.length + 1)),
      );
      return decoded.err || decoded.val.length <= MAX_SHORT_HEAD_BYTES;
    }),
    PROPERTY,
  );
  const { socket, connection, closeReasons } = openConnection(null);
  const garbage = Buffer.from([0, 0, 0, 11, FRAME_KIND.request + 0x80, 0, 0, 0, 1, 0, 0, 0, 2, 0, 0xff]);
  socket.emit('data', garbage);
  t.deepEqual(closeReasons, ['unreadable-head']);
  t.false(connection.open);
});

test('a head that decompresses beyond the limit, or names a dictionary that is not known, is rejected', (t) => {
  const bomb = Buffer.concat([Buffer.from([0]), deflateRawSync(Buffer.alloc(64 * 1024 * 1024))]);
  t.true(new HeadDecoder().decode(FRAME_KIND.request, bomb).err);
  const atLimit = Buffer.concat([Buffer.from([0]), deflateRawSync(Buffer.alloc(MAX_SHORT_HEAD_BYTES))]);
  t.true(new HeadDecoder().decode(FRAME_KIND.request, atLimit).ok);
  t.is(new HeadEncoder().encode(FRAME_KIND.request, Buffer.alloc(MAX_SHORT_HEAD_BYTES + 1), true), null);
  const data = deflateRawSync(Buffer.from('{}'));
  for (const prefix of [1, 0x7f, 0x81]) {
    t.true(new HeadDecoder().decode(FRAME_KIND.request, Buffer.concat([Buffer.from([prefix]), data])).err);
  }
  t.true(new HeadDecoder().decode(FRAME_KIND.request, Buffer.alloc(0)).err);
});

test('what a connection learns is bounded', (t) => {
  const encoder = new HeadEncoder();
  const learned = Array.from({ length: 20 }, (_, index) => {
    const text = jsonOf({ random: Buffer.alloc(300, index).toString('base64') + String(index * 7919) });
    return (encoder.encode(FRAME_KIND.answer, text, true)?.readUInt8(0) ?? 0) >= 0x80;
  });
  t.true(learned.filter(Boolean).length <= 3);
});

test('the dictionaries of the wire format are those that other builds use', (t) => {
  const digest = createHash('sha256');
  for (const [kind, dictionary] of INITIAL_DICTIONARIES) digest.update(String(kind)).update(dictionary);
  t.is(digest.digest('hex').slice(0, 16), 'ef6b9344e6f99c1d');
  const head = { reason: 'busy', arrived: false, retryAfterMs: 100, status: null };
  const short = Buffer.from(GOLDEN_REFUSAL, 'hex');
  t.deepEqual(JSON.parse(new HeadDecoder().decode(FRAME_KIND.refusal, short).unwrap().toString()), head);
});

/** A short head that this wire format must always read. */
const GOLDEN_REFUSAL = '00a3c81720836b01';
