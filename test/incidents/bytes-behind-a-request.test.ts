/**
 * Bytes behind a request that is being run get no answer ahead of the request's own: a caller would take a 400 for a request
 * that a back end runs.
 */
import { connect } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import type { CallerSink } from '../../src/sidecar/caller-request.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';
const CASES = 120;
const MAX_DELAY_MS = 12;

const LIMITS = { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 5_000, idleTimeoutMs: 5_000 };
const HEAD = {
  statusCode: 200,
  headers: [],
  framed: true,
  timing: { waitedMs: 0, backendMs: 0 },
  status: null,
};
const PARTS = ['one ', 'two ', 'three'];
const WHOLE = PARTS.join('');

const delay = async (random: Random): Promise<void> => {
  await new Promise((resolve) => setTimeout(resolve, random.below(MAX_DELAY_MS)));
};

/** Bytes that are no request, or the beginning of one whose body is damaged. */
function unreadableBytes(random: Random): Buffer {
  switch (random.below(5)) {
    case 0:
      return Buffer.from(Array.from({ length: 1 + random.below(200) }, () => random.below(256)));
    case 1:
      return Buffer.from(`GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(200_000)}\r\n\r\n`);
    case 2:
      return Buffer.from('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n');
    case 3:
      return Buffer.from('GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 4x\r\n\r\n');
    default:
      return Buffer.from('\0\0 / HTTP/9.9\r\n\r\n');
  }
}

/** Answers whole, or in parts with pauses between them. */
async function answer(sink: CallerSink, random: Random): Promise<void> {
  await delay(random);
  if (random.below(2) === 0) {
    sink.answer({ ...HEAD, moreFollows: false, contentLength: WHOLE.length }, Buffer.from(WHOLE));
    return;
  }
  const contentLength = random.below(2) === 0 ? WHOLE.length : null;
  sink.answer({ ...HEAD, moreFollows: true, contentLength }, Buffer.from(PARTS[0] ?? ''));
  for (const part of PARTS.slice(1)) {
    await delay(random);
    sink.body(Buffer.from(part));
  }
  sink.end();
}

/** Reads the answers to `count` requests, and checks that each is the request's own. */
function checkAnswers(t: ExecutionContext, received: string, count: number, seed: number): void {
  let rest = received;
  for (let at = 0; at < count; at += 1) {
    const headEnd = rest.indexOf('\r\n\r\n') + 4;
    const head = rest.slice(0, headEnd);
    t.true(head.startsWith('HTTP/1.1 200 '), `seed ${seed}, answer ${at}: ${rest.slice(0, 60)}`);
    const chunked = PARTS.map((part) => `${part.length}\r\n${part}\r\n`).join('') + '0\r\n\r\n';
    const body = /chunked/i.test(head) ? chunked : WHOLE;
    t.is(rest.slice(headEnd, headEnd + body.length), body, `seed ${seed}, answer ${at}`);
    rest = rest.slice(headEnd + body.length);
  }
  t.regex(rest, /^(?:HTTP\/1\.1 4\d\d [^]*)?$/, `seed ${seed}: what follows the answers`);
}

test('bytes behind requests that run do not get the answers of the requests', async (t) => {
  let random = new Random(0);
  const server = new CallerServer({
    limits: () => LIMITS,
    closing: () => false,
    handle: (_request, sink) => {
      void answer(sink, random);
      return { cancel: () => undefined };
    },
  });
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  for (let seed = 1; seed <= CASES; seed += 1) {
    random = new Random(seed);
    const count = 1 + random.below(3);
    const requests = Buffer.from('POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi'.repeat(count));
    const unreadable = unreadableBytes(random);
    const socket = connect({ host: HOST, port });
    socket.on('error', () => undefined);
    let received = '';
    socket.on('data', (chunk: Buffer) => (received += chunk.toString('latin1')));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    if (random.below(3) === 0) socket.write(Buffer.concat([requests, unreadable]));
    else {
      socket.write(requests);
      await delay(random);
      socket.write(unreadable);
    }
    const isOver = (): boolean =>
      received.split('HTTP/1.1 200').length > count && server.activeRequests === 0;
    while (!isOver() && !socket.destroyed) await new Promise((resolve) => setTimeout(resolve, 1));
    await delay(random);
    socket.destroy();
    await closed;
    checkAnswers(t, received, count, seed);
  }
  server.close();
});

test('bytes that are no request are rejected at once where no request runs', async (t) => {
  const server = new CallerServer({
    limits: () => LIMITS,
    closing: () => false,
    handle: () => ({ statusCode: 404, reason: 'none', retryAfterMs: null }),
  });
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  const statusOf = async (bytes: string): Promise<string> => {
    const socket = connect({ host: HOST, port });
    socket.on('error', () => undefined);
    socket.write(bytes);
    let received = '';
    for await (const chunk of socket as AsyncIterable<Buffer>) received += chunk.toString();
    return received.slice(9, 12);
  };
  t.is(await statusOf('\0\0 / HTTP/9.9\r\n\r\n'), '400');
  t.is(await statusOf('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'), '400');
  t.is(await statusOf(`GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(200_000)}\r\n\r\n`), '431');
  server.close();
});
