/** Answers that end early do not look complete. */
import { connect, type Socket } from 'node:net';
import test from 'ava';
import type { CallerSink } from '../../src/sidecar/caller-request.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';

const TIMING = { waitedMs: 0, backendMs: 0 };

async function startServer(
  answer: (sink: CallerSink, path: string) => void,
): Promise<{ server: CallerServer; caller: Socket }> {
  const server = new CallerServer({
    limits: () => ({
      maxHeaderBytes: 10_000,
      maxBodyBytes: 10_000,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 5_000,
    }),
    closing: () => false,
    handle: ({ path }, sink) => {
      answer(sink, path);
      return { cancel: () => undefined };
    },
  });
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  const caller = connect(port, HOST);
  await new Promise((resolve) => caller.once('connect', resolve));
  caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
  return { server, caller };
}

test('an answer without a length that breaks midway ends with a reset', async (t) => {
  const { server, caller } = await startServer((sink) => {
    const head = { statusCode: 200, headers: [], moreFollows: true, contentLength: null, framed: false };
    sink.answer({ ...head, timing: TIMING, status: null }, Buffer.from('begin'));
    setTimeout(() => {
      sink.abort();
    }, 50);
  });
  const end = await new Promise<string>((resolve) => {
    caller.resume();
    caller.once('end', () => {
      resolve('end');
    });
    caller.once('error', (error: NodeJS.ErrnoException) => {
      resolve(error.code ?? '');
    });
  });
  t.is(end, 'ECONNRESET');
  server.close();
});
