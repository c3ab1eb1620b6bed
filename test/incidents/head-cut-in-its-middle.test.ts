/**
 * A head that is cut off in its middle, with another answer or damage behind it, is no answer: callers got the status of the
 * one with the body of the other, framed as whole.
 */
import type { Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';
import { BackendCallClient } from '../../src/sidecar/backend-call-client.js';
import { BackendPool } from '../../src/sidecar/backend-pool.js';
import { startRawBackend } from '../raw-backend.js';

const HOST = '127.0.0.1';
const SEEDS = [70, 71, 72];
const CASES = 120;
const BODY_BYTES = 400;

interface Outcome {
  readonly text: string;
}

/** Starts a back end that answers each request with `send`, and a pool of connections to it. */
async function openPool(
  t: ExecutionContext,
  send: (socket: Socket, id: string) => void,
): Promise<BackendPool> {
  const backend = await startRawBackend((socket, text) => {
    const id = /^id: (\S+)/im.exec(text)?.[1];
    if (id !== undefined) send(socket, id);
  });
  const address = { host: HOST, port: backend.port };
  const pool = new BackendPool(address, { requestId: 'id' }, nodeRuntime.nowMs, () => {
    t.fail('the back end is not reached');
  });
  t.teardown(() => {
    pool.destroy();
    backend.close();
  });
  return pool;
}

/** Status and length of the body, or why there is no answer. */
async function ask(pool: BackendPool, id: string): Promise<Outcome> {
  return await new Promise((resolve) => {
    let status = 0;
    let bytes = 0;
    const request = { method: 'GET', path: '/', headers: ['id', id], body: Buffer.alloc(0) };
    pool.run(
      { ...request, requestId: id, repeatable: true },
      {
        onAnswer: ({ statusCode }) => (status = statusCode),
        onBody: (chunk) => (bytes += chunk.length),
        onEnd: () => {
          resolve({ text: `${status} ${bytes}` });
        },
        onBroken: (reason) => {
          resolve({ text: reason });
        },
      },
    );
  });
}

const body = 'b'.repeat(BODY_BYTES);
const headOf = (id: string, status: string, framing: string): string =>
  `HTTP/1.1 ${status}\r\nid: ${id}\r\nServer-Seal: s1.2\r\n${framing}\r\n\r\n`;

function drawHead(id: string, random: Random): string {
  const status = random.pick(['200 OK', '500 Failed', '503 Full', '200 ']);
  const framing = random.pick([
    `Content-Length: ${BODY_BYTES}`,
    'Connection: close',
    'Transfer-Encoding: chunked',
  ]);
  return headOf(id, status, framing);
}

function drawWhole(id: string, random: Random): string {
  return random.pick([
    `${headOf(id, '200 OK', `Content-Length: ${BODY_BYTES}`)}${body}`,
    `${headOf(id, '200 OK', 'Connection: close')}${body}`,
    headOf(id, '500 Failed', 'Content-Length: 0'),
    headOf(id, '204 None', 'x: y'),
    `${headOf(id, '200 OK', 'Transfer-Encoding: chunked')}2\r\nok\r\n0\r\n\r\n`,
  ]);
}

/** Damage that leaves a line of the head which is no header. */
function damageLine(head: string, random: Random): string {
  const lines = head.split('\r\n');
  const at = 1 + random.below(lines.length - 3);
  const line = lines[at] ?? '';
  const damaged = random.pick([
    line.replace(':', ''),
    line.replace(':', ' :'),
    ` ${line}`,
    `\t${line}`,
    line.replace(': ', '\r: '),
    `(${line}`,
  ]);
  return lines.with(at, damaged).join('\r\n');
}

for (const seed of SEEDS) {
  test(`a head that is cut at any byte, and another answer behind it, seed ${seed}`, async (t) => {
    const random = new Random(seed);
    const isSplit = (): boolean => random.below(2) === 0;
    const pool = await openPool(t, (socket, id) => {
      const head = drawHead(id, random);
      const cut = head.slice(0, 1 + random.below(head.length - 1));
      const rest = drawWhole(id, random);
      if (isSplit()) {
        socket.write(cut);
        setImmediate(() => socket.end(rest));
      } else socket.end(cut + rest);
    });
    for (let count = 0; count < CASES; count += 1) {
      const { text } = await ask(pool, `seed-${seed}-${count}`);
      t.regex(text, /^(?:garbled|broken)$/, `case ${count}`);
    }
  });

  test(`a line that is no header, seed ${seed}`, async (t) => {
    const random = new Random(seed);
    const pool = await openPool(t, (socket, id) => {
      const head = damageLine(drawHead(id, random), random);
      socket.end(head + body.slice(random.below(BODY_BYTES)));
    });
    for (let count = 0; count < CASES; count += 1) {
      const { text } = await ask(pool, `seed-${seed}-${count}`);
      t.is(text, 'garbled', `case ${count}`);
    }
  });
}

const STRUCTURES: readonly (readonly [string, (id: string) => string])[] = [
  [
    'lines that end with LF alone',
    (id) => headOf(id, '200 OK', 'Connection: close').replaceAll('\r\n', '\n') + body.slice(10),
  ],
  [
    'a length that occurs twice',
    (id) => headOf(id, '200 OK', 'Content-Length: 2\r\nContent-Length: 2') + 'ok',
  ],
  ['an id that occurs twice', (id) => headOf(id, '200 OK', `id: ${id}\r\nContent-Length: 2`) + 'ok'],
  [
    'a trailer that is no header',
    (id) => `${headOf(id, '200 OK', 'Transfer-Encoding: chunked')}2\r\nok\r\n0\r\nx y\r\n\r\n`,
  ],
  [
    'another head in the trailers',
    (id) =>
      `${headOf(id, '200 OK', 'Transfer-Encoding: chunked')}2\r\nok\r\n0\r\nx: y${headOf(id, '500 Failed', 'a: b')}`,
  ],
];

for (const [name, answer] of STRUCTURES) {
  test(`${name}: no answer`, async (t) => {
    const pool = await openPool(t, (socket, id) => socket.end(answer(id)));
    t.is((await ask(pool, 'a-1')).text, 'garbled');
  });
}

test('calls to a back end read heads like requests do', async (t) => {
  const random = new Random(SEEDS[0] ?? 0);
  const pool = await openPool(t, (socket, id) => {
    const head = drawHead(id, random);
    socket.end(head.slice(0, 1 + random.below(head.length - 1)) + drawWhole(id, random));
  });
  const client = new BackendCallClient(pool, 'h', 'id', nodeRuntime);
  for (let count = 0; count < CASES; count += 1) {
    const call = { method: 'POST', path: '/grant', headers: [], text: '{}', timeoutMs: 5_000 } as const;
    const answer = await client.send(call);
    t.is(answer.err ? answer.val : `status ${answer.val.status}`, 'unanswered', `case ${count}`);
  }
});
