/** Which connection a request to a back end is sent on. */
import { createServer } from 'node:net';
import test from 'ava';
import type { BackendRequest } from '../../src/sidecar/backend-connection.js';
import { BackendPool } from '../../src/sidecar/backend-pool.js';

const REQUEST: BackendRequest = {
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  requestId: 'r',
  repeatable: true,
};
const ANSWER = 'HTTP/1.1 200 OK\r\nid: r\r\ncontent-length: 2\r\n\r\nok';

test('what must not run twice takes no connection that the back end may have forgotten', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(ANSWER));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  let nowMs = 0;
  const names = { requestId: 'id', notRun: 'not-run' };
  const pool = new BackendPool(
    { host: '127.0.0.1', port },
    names,
    () => nowMs,
    () => undefined,
  );
  const run = async (repeatable: boolean): Promise<void> => {
    await new Promise<void>((resolve, reject) => {
      pool.run(
        { ...REQUEST, repeatable },
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
  t.is(pool.opened, 1, 'a connection that rested for a moment is used');
  nowMs = 400;
  await run(true);
  t.is(pool.opened, 1, 'what may run again uses any');
  nowMs = 700;
  await run(false);
  t.is(pool.opened, 2);
  pool.destroy();
  server.close();
});
