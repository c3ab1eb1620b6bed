/** A body above the limit of its server is refused with 413, whether its size is stated or not, and before it is read whole. */
import { connect } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { JsonServer } from '../../platform/json-server.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';
const LIMIT_BYTES = 100_000;
const TOO_LARGE = 'HTTP/1.1 413';

async function startServer(t: ExecutionContext): Promise<{ port: number; bodies: number[] }> {
  const port = await freePort();
  const bodies: number[] = [];
  const handle = ({ body }: { body: string }): { status: number } => {
    bodies.push(body.length);
    return { status: 200 };
  };
  const raise = (error: unknown): never => {
    throw error;
  };
  const started = await JsonServer.start({ host: HOST, port }, handle, raise, undefined, {
    bodyBytes: LIMIT_BYTES,
    answerBytes: LIMIT_BYTES,
  });
  t.teardown(() => {
    started.unwrap().close();
  });
  return { port, bodies };
}

/** Sends parts in turn and returns what was received until the connection closed. */
async function exchange(port: number, parts: readonly string[]): Promise<string> {
  return await new Promise((resolve) => {
    let received = '';
    const socket = connect(port, HOST, () => {
      for (const part of parts) socket.write(part);
    });
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(received);
    });
  });
}

function head(framing: string): string {
  return `PUT /config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${framing}\r\n\r\n`;
}

test('a stated size above the limit is refused although the body has not arrived', async (t) => {
  const { port, bodies } = await startServer(t);
  const answer = await exchange(port, [head(`Content-Length: ${LIMIT_BYTES + 1}`), 'x']);
  t.true(answer.startsWith(TOO_LARGE), answer);
  t.true(answer.includes(String(LIMIT_BYTES)), answer);
  t.deepEqual(bodies, []);
});

test('a caller that sends its whole body first receives the refusal', async (t) => {
  const { port, bodies } = await startServer(t);
  const body = 'x'.repeat(40 * LIMIT_BYTES);
  const answer = await exchange(port, [head(`Content-Length: ${body.length}`), body]);
  t.true(answer.startsWith(TOO_LARGE), answer);
  t.deepEqual(bodies, []);
});

test('a body without a stated size is refused once it is above the limit', async (t) => {
  const { port, bodies } = await startServer(t);
  const chunk = `${(10_000).toString(16)}\r\n${'x'.repeat(10_000)}\r\n`;
  const answer = await exchange(port, [head('Transfer-Encoding: chunked'), chunk.repeat(11)]);
  t.true(answer.startsWith(TOO_LARGE), answer);
  t.deepEqual(bodies, []);
});

test('a body of exactly the limit is taken', async (t) => {
  const { port, bodies } = await startServer(t);
  const answer = await exchange(port, [head(`Content-Length: ${LIMIT_BYTES}`), 'x'.repeat(LIMIT_BYTES)]);
  t.true(answer.startsWith('HTTP/1.1 200'), answer);
  t.deepEqual(bodies, [LIMIT_BYTES]);
});
