/**
 * Micro-benchmark of the forms of link heads: bytes and processor time of plain JSON, of the short form, and of fields by
 * position with repeated strings by index. Run it with `node dist/lab/bench/head-bench.js`. The heads are made up: ids,
 * sizes and times differ in each, as in real ones.
 */
import { HeadDecoder, HeadEncoder } from '../../src/link/head-codec.js';
import { FRAME_KIND } from '../../src/link/link-frame.js';
import type { AnswerHead, RefusalHead, RequestHead, StatusHead } from '../../src/link/link-messages.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';
import { Random } from '../random.js';

const HEADS = 6_000;
const WARM_UP_HEADS = 1_500;
/** Heads of a kind on one connection: of a link between two daemons out of many, and of a busy one. */
const HEADS_PER_CONNECTION = [10, 1_000];
const INSTANCE = 'cancellation-17@1796310011223';

/** One form of heads, with the state of one connection. */
interface HeadForm {
  encode(head: object): Buffer;
  decode(bytes: Buffer): unknown;
}

const random = new Random(1);

function randomId(): string {
  return Array.from({ length: 16 }, () => random.below(16).toString(16)).join('');
}

function makeRequest(): RequestHead {
  const isCall = random.fraction() < 0.6;
  const route = isCall ? 'order-status' : 'port-cancel';
  const requestId = isCall ? `${randomId()}.${randomId()}` : randomId();
  const remainingMs = 500 + random.below(3_000);
  const own = [
    'Host',
    'localhost:7001',
    DEFAULT_HEADER_DIALECT.requestId,
    requestId,
    'Content-Type',
    'application/json',
  ];
  return {
    requestId,
    method: 'POST',
    path: `/${route}/${random.below(1_000_000)}`,
    headers: [...own, 'Content-Length', String(random.below(400)), DEFAULT_HEADER_DIALECT.caller, 'ordering'],
    instance: INSTANCE,
    key: null,
    route,
    priority: 1,
    repeatable: isCall,
    remainingMs,
    patienceMs: Math.round(remainingMs / 5),
    targetLeftMs: Math.round(remainingMs / 3),
    spentMs: 0,
  };
}

function makeStatus(): StatusHead {
  return {
    instance: INSTANCE,
    running: random.below(9),
    waiting: random.below(5),
    slots: 8,
    serviceMs: 150 + random.below(200),
    accepting: true,
    sendWaitMs: random.below(60),
    pacing: null,
    pace: random.below(150) / 100,
    meanPace: (90 + random.below(30)) / 100,
  };
}

function makeAnswer(): AnswerHead {
  const id = [
    DEFAULT_HEADER_DIALECT.requestId,
    `${randomId()}.${randomId()}`,
    DEFAULT_HEADER_DIALECT.seal,
    randomId(),
  ];
  return {
    statusCode: 200,
    headers: [
      ...id,
      'Content-Type',
      'application/json',
      DEFAULT_HEADER_DIALECT.pace,
      String(random.below(200) / 100),
    ],
    moreFollows: false,
    contentLength: 400 + random.below(20),
    framed: true,
    timing: { waitedMs: random.below(40), backendMs: 40 + random.below(300) },
    status: makeStatus(),
  };
}

function makeRefusal(): RefusalHead {
  const reason = random.fraction() < 0.7 ? 'busy' : 'not-owner';
  return { reason, arrived: false, retryAfterMs: random.below(600), status: makeStatus() };
}

const plainForm = (): HeadForm => ({
  encode: (head) => Buffer.from(JSON.stringify(head)),
  decode: (bytes) => JSON.parse(bytes.toString()) as unknown,
});

function shortForm(kind: number): HeadForm {
  const encoder = new HeadEncoder();
  const decoder = new HeadDecoder();
  return {
    encode: (head) => {
      const text = Buffer.from(JSON.stringify(head));
      return encoder.encode(kind, text, true) ?? text;
    },
    decode: (bytes) => JSON.parse(decoder.decode(kind, bytes).unwrap().toString()) as unknown,
  };
}

/** Field names from the first head, and up to 64 strings without long numbers, are replaced by their positions. */
function fieldForm(): HeadForm {
  const MAX_STRINGS = 64;
  const ID = /\d{3}|[\da-f]{12}/;
  let names: string[] = [];
  const written = new Map<string, number>();
  const read: string[] = [];
  const pack = (value: unknown): unknown => {
    if (Array.isArray(value)) return value.map(pack);
    if (typeof value === 'object' && value !== null) return Object.values(value).map(pack);
    if (typeof value !== 'string') return value;
    const index = written.get(value);
    if (index !== undefined) return { s: index };
    if (written.size < MAX_STRINGS && !ID.test(value)) written.set(value, written.size);
    return value;
  };
  const unpack = (value: unknown): unknown => {
    if (Array.isArray(value)) return value.map(unpack);
    if (typeof value === 'object' && value !== null) return read[(value as { readonly s: number }).s];
    if (typeof value === 'string' && read.length < MAX_STRINGS && !ID.test(value)) read.push(value);
    return value;
  };
  return {
    encode: (head) => {
      if (names.length === 0) names = Object.keys(head);
      return Buffer.from(JSON.stringify(pack(head)).replaceAll(/\{"s":(\d+)\}/g, '~$1'));
    },
    decode: (bytes) => {
      const text = bytes.toString().replaceAll(/~(\d+)/g, '{"s":$1}');
      const values = unpack(JSON.parse(text)) as readonly unknown[];
      return Object.fromEntries(names.map((name, index) => [name, values[index]]));
    },
  };
}

/** Returns the mean bytes of a head, and the mean time in microseconds to encode and to decode one. */
function measure(heads: readonly object[], perConnection: number, open: () => HeadForm): readonly number[] {
  let bytes = 0;
  let encodeMs = 0;
  let decodeMs = 0;
  for (let at = 0; at < heads.length; at += perConnection) {
    const form = open();
    const startMs = performance.now();
    const encoded = heads.slice(at, at + perConnection).map((head) => form.encode(head));
    const encodedMs = performance.now();
    for (const one of encoded) form.decode(one);
    encodeMs += encodedMs - startMs;
    decodeMs += performance.now() - encodedMs;
    for (const one of encoded) bytes += one.length;
  }
  return [bytes / heads.length, (encodeMs * 1_000) / heads.length, (decodeMs * 1_000) / heads.length];
}

const kinds: readonly (readonly [name: string, kind: number, make: () => object])[] = [
  ['request', FRAME_KIND.request, makeRequest],
  ['answer', FRAME_KIND.answer, makeAnswer],
  ['refusal', FRAME_KIND.refusal, makeRefusal],
  ['status', FRAME_KIND.status, makeStatus],
];
for (const [name, kind, make] of kinds) {
  const heads = Array.from({ length: HEADS }, make);
  const forms = { plain: plainForm, short: () => shortForm(kind), fields: fieldForm };
  for (const [formName, open] of Object.entries(forms)) {
    for (const perConnection of HEADS_PER_CONNECTION) {
      measure(heads.slice(0, WARM_UP_HEADS), perConnection, open);
      const [bytes, encodeUs, decodeUs] = measure(heads, perConnection, open).map((mean) => mean.toFixed(1));
      process.stdout.write(
        `${name} ${formName}, ${perConnection} a connection: ` +
          `${bytes} bytes, encoded in ${encodeUs} us, decoded in ${decodeUs} us\n`,
      );
    }
  }
}
