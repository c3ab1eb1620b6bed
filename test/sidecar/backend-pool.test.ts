/** Selection of the connection on which a request is sent. */
import { createServer } from 'node:net';
import test from 'ava';
import type { BackendRequest } from '../../src/sidecar/backend-connection.js';
import { BackendPool } from '../../src/sidecar/backend-pool.js';

const REQUEST: BackendRequest = {
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  requestId: '',
  repeatable: true,
};

function answerTo(request: Buffer): string {
  const id = /^id: (\S+)/im.exec(request.toString())?.[1] ?? '';
  return `HTTP/1.1 200 OK\r\nid: ${id}\r\ncontent-length: 2\r\n\r\nok`;
}

test('a request that must not run twice reuses no connection that the back end may have dropped', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => socket.write(answerTo(chunk)));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  let nowMs = 0;
  const names = { requestId: 'id' };
  const pool = new BackendPool(
    { host: '127.0.0.1', port },
    names,
    () => nowMs,
    () => undefined,
  );
  let sent = 0;
  const run = async (repeatable: boolean): Promise<void> => {
    sent += 1;
    const requestId = `r${sent}`;
    await new Promise<void>((resolve, reject) => {
      pool.run(
        { ...REQUEST, requestId, headers: ['id', requestId], repeatable },
        {
          onAnswer: () => undefined,
          onBody: () => undefined,
          onEnd: resolve,
          onBroken: (_reason, detail) => {
            reject(new Error(detail));
          },
        },
      );
    });
  };
  await run(true);
  nowMs = 150;
  await run(false);
  t.is(pool.opened, 1, 'a connection that was idle for a short time is reused');
  nowMs = 400;
  await run(true);
  t.is(pool.opened, 1, 'a repeatable request reuses any connection');
  nowMs = 700;
  await run(false);
  t.is(pool.opened, 2);
  pool.destroy();
  server.close();
});
