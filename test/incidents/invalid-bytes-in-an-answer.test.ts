/** An answer whose head cannot be sent on ends neither the daemon nor other requests. */
import { request } from 'node:http';
import { createServer } from 'node:net';
import test from 'ava';
import { BackendPool } from '../../src/sidecar/backend-pool.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';

/** Heads that are no answers. */
const INVALID_HEADS: readonly [string, string][] = [
  ['a control character in a value', 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\nX-Note: a\x01b\r\n'],
  ['a null byte in a value', 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\nX-Note: a\0b\r\n'],
  ['a status below 100', 'HTTP/1.1 099 Odd\r\nRequest-Id: r\r\n'],
];

for (const [name, head] of INVALID_HEADS) {
  test(`${name}: the answer of the back end is no answer`, async (t) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write(Buffer.from(`${head}Content-Length: 2\r\n\r\nok`, 'latin1')));
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as { port: number };
    const names = { requestId: 'request-id' };
    const pool = new BackendPool(
      { host: HOST, port },
      names,
      () => performance.now(),
      () => undefined,
    );
    const outcome = await new Promise<string>((resolve) => {
      pool.run(
        { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), requestId: 'r', repeatable: true },
        {
          onAnswer: () => undefined,
          onBody: () => undefined,
          onEnd: () => {
            resolve('answered');
          },
          onBroken: resolve,
        },
      );
    });
    t.is(outcome, 'garbled');
    pool.destroy();
    server.close();
  });
}

test('a head that another daemon has not checked is answered as an unknown outcome', async (t) => {
  const server = new CallerServer({
    limits: () => ({
      maxHeaderBytes: 10_000,
      maxBodyBytes: 10_000,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 5_000,
    }),
    closing: () => false,
    handle: (_request, sink) => {
      const timing = { waitedMs: 0, backendMs: 0 };
      const head = { statusCode: 200, headers: ['x-note', 'a\x01b'], moreFollows: false, contentLength: 0 };
      sink.answer({ ...head, framed: true, timing, status: null }, Buffer.alloc(0));
      return { cancel: () => undefined };
    },
  });
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  const status = await new Promise<number | undefined>((resolve, reject) => {
    const call = request({ host: HOST, port, agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode);
    });
    call.on('error', reject);
    call.end();
  });
  t.is(status, 502);
  server.close();
});
