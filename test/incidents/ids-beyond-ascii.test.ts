/** Ids that differ only in the high bit of a byte are different ids: an answer to one request does not answer the other. */
import { createServer } from 'node:net';
import test from 'ava';
import { BackendPool } from '../../src/sidecar/backend-pool.js';
import { headerValue } from '../../src/sidecar/header-dialect.js';

const HOST = '127.0.0.1';
const ID = 'i-\u00e91';
const OTHER_ID = 'i-\u00691';

/** Sends a request with `requestId` to a back end that sends `answers`; returns status and note of the answer. */
async function run(requestId: string, answers: string): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.end(Buffer.from(answers, 'latin1')));
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as { port: number };
  const pool = new BackendPool(
    { host: HOST, port },
    { requestId: 'id' },
    () => performance.now(),
    () => undefined,
  );
  const outcome = await new Promise<string>((resolve) => {
    let answer = '';
    pool.run(
      {
        method: 'GET',
        path: '/',
        headers: ['id', requestId],
        body: Buffer.alloc(0),
        requestId,
        repeatable: true,
      },
      {
        onAnswer: ({ statusCode, headers }) =>
          (answer = `${statusCode} ${headerValue(headers, 'note') ?? ''}`),
        onBody: () => undefined,
        onEnd: () => {
          resolve(answer);
        },
        onBroken: resolve,
      },
    );
  });
  pool.destroy();
  server.close();
  return outcome;
}

test('a request with an id beyond ASCII gets its answer, with its headers unchanged', async (t) => {
  t.is(
    await run(ID, `HTTP/1.1 200 OK\r\nid: ${ID}\r\nnote: \u00fc\r\ncontent-length: 0\r\n\r\n`),
    '200 \u00fc',
  );
});

test('an answer whose id differs in the high bit of a byte belongs to another request', async (t) => {
  const surplus = `HTTP/1.1 503 Full\r\nid: ${ID}\r\ncontent-length: 0\r\n\r\n`;
  const own = `HTTP/1.1 200 OK\r\nid: ${OTHER_ID}\r\nnote: own\r\ncontent-length: 0\r\n\r\n`;
  t.is(await run(OTHER_ID, surplus + own), '200 own');
});
