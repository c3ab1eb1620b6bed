import test from 'ava';
import fc from 'fast-check';
import { daemonRequestSchema } from '../../src/control/daemon-messages.js';
import { parsePeerMessage } from '../../src/control/peer-messages.js';
import {
  decodeFrame,
  encodeCompactFrame,
  encodeFrame,
  FrameDecoder,
} from '../../src/transport/frame-codec.js';
import { checkHello, PROTOCOL_VERSION } from '../../src/transport/hello.js';

const SEED = 1;
const TOKEN = 'a-token-of-some-length';

test('messages are decoded completely, however the bytes are split', (t) => {
  const messages = [{ kind: 'one', cells: Uint32Array.from([1, 2]) }, 'two', [3, null]];
  const bytes = Buffer.concat(messages.map((message) => encodeFrame(message)));
  const property = fc.property(fc.array(fc.nat(bytes.length), { maxLength: 8 }), (cuts) => {
    const decoder = new FrameDecoder();
    const places = [0, ...[...cuts].sort((left, right) => left - right), bytes.length];
    const received = places.flatMap((place, at) => {
      const next = places[at + 1];
      return next === undefined ? [] : decoder.push(bytes.subarray(place, next)).unwrap();
    });
    t.deepEqual(received, messages);
  });
  t.notThrows(() => {
    fc.assert(property, { seed: SEED });
  });
});

test('garbage yields an error or a message that no receiver accepts, never an exception', (t) => {
  const property = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    const framed = Buffer.concat([Buffer.alloc(4), Buffer.from(bytes)]);
    framed.writeUInt32BE(bytes.length, 0);
    for (const input of [Buffer.from(bytes), framed]) {
      const decoded = new FrameDecoder(1_000).push(input);
      for (const message of decoded.ok ? decoded.val : []) {
        t.is(checkHello(message, TOKEN), 'not-a-hello');
        t.is(parsePeerMessage(message), null);
        t.false(daemonRequestSchema.safeParse(message).success);
      }
    }
  });
  t.notThrows(() => {
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});

function manyRoutes(count: number): unknown {
  const items = Array.from({ length: count }, (_, at) => ({
    kind: 'route',
    name: `route-${at}`,
    version: at + 1,
    source: null,
    definition: { host: `h${at}.example`, pathPrefix: '/', destinations: [{ service: 'stock', weight: 1 }] },
  }));
  return { kind: 'changes', index: 7, changes: [{ kind: 'items', items }] };
}

test('a long message for slow links is compressed to less than a tenth and decoded unchanged, however it is split', (t) => {
  const message = manyRoutes(2_000);
  const frame = encodeCompactFrame(message);
  t.true(frame.length * 10 < encodeFrame(message).length, `${frame.length} bytes`);
  t.deepEqual(decodeFrame(frame).unwrap(), message);
  const bytes = Buffer.concat([frame, encodeFrame('next')]);
  const decoder = new FrameDecoder();
  const cut = Math.floor(frame.length / 2);
  t.deepEqual(decoder.push(bytes.subarray(0, cut)).unwrap(), []);
  t.deepEqual(decoder.push(bytes.subarray(cut)).unwrap(), [message, 'next']);
});

test('a short message for slow links is not compressed', (t) => {
  t.deepEqual(encodeCompactFrame({ kind: 'alive' }), encodeFrame({ kind: 'alive' }));
});

test('a compact frame with a text that is too large or invalid is an error', (t) => {
  const frame = encodeCompactFrame(manyRoutes(2_000));
  const decoded = new FrameDecoder(64 * 1024).push(frame);
  t.is(decoded.err ? decoded.val.kind : '', 'not-parseable');
  const damaged = Buffer.from(frame);
  damaged.fill(0xff, 40, 80);
  const garbage = decodeFrame(damaged);
  t.is(garbage.err ? garbage.val.kind : '', 'not-parseable');
});

test('a frame that announces too large a payload is refused before it is received', (t) => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(1_001, 0);
  const decoded = new FrameDecoder(1_000).push(header);
  t.is(decoded.err ? decoded.val.kind : '', 'frame-too-large');
});

const HELLO = {
  kind: 'hello',
  version: PROTOCOL_VERSION,
  token: TOKEN,
  role: 'router',
  name: 'router-1',
  zone: 'zone',
};

test('a hello is accepted only with the correct version and token', (t) => {
  t.deepEqual(checkHello(HELLO, TOKEN), HELLO as never);
  t.is(checkHello({ ...HELLO, version: PROTOCOL_VERSION + 1 }, TOKEN), 'wrong-version');
  t.is(checkHello({ ...HELLO, token: 'another' }, TOKEN), 'wrong-token');
  t.is(checkHello({ ...HELLO, role: 'king' }, TOKEN), 'not-a-hello');
  t.is(checkHello(null, TOKEN), 'not-a-hello');
});
