/** Answers that end early do not look complete, and a planned stop does not cut complete ones off. */
import { connect, type Socket } from 'node:net';
import test from 'ava';
import type { CallerSink } from '../../src/sidecar/caller-request.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';

/** Larger than the kernel's buffers of a connection over loopback. */
const LARGE_BYTES = 16 * 1024 * 1024;

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

async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 200));
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

test('a planned stop lets a slow reader take the rest of an answer, and closes idle connections', async (t) => {
  const { server, caller } = await startServer((sink, path) => {
    const body = Buffer.alloc(path === '/small' ? 2 : LARGE_BYTES);
    const head = {
      statusCode: 200,
      headers: [],
      moreFollows: false,
      contentLength: body.length,
      framed: true,
    };
    sink.answer({ ...head, timing: TIMING, status: null }, body);
  });
  caller.on('error', () => undefined);
  const address = { host: caller.remoteAddress ?? HOST, port: caller.remotePort ?? 0 };
  const idle = connect(address);
  const idleClosed = new Promise((resolve) => idle.once('close', resolve));
  idle.write('GET /small HTTP/1.1\r\nhost: h\r\n\r\n');
  idle.resume();
  const callerClosed = new Promise((resolve) => caller.once('close', resolve));
  caller.pause();
  await settle();
  server.stopListening();
  await idleClosed;
  await settle();
  let received = 0;
  const whole = new Promise<void>((resolve) => {
    caller.on('data', (chunk: Buffer) => {
      received += chunk.length;
      if (received >= LARGE_BYTES) resolve();
    });
  });
  caller.resume();
  await Promise.race([whole, callerClosed]);
  t.true(received >= LARGE_BYTES);
  caller.destroy();
  server.close();
});
