/** Requests whose bodies are not taken get one answer, whatever follows, and stalled bodies give way to those of other callers. */
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { ClientMemory } from '../../src/runtime/client-memory.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';
const LIMITS = { maxHeaderBytes: 10_000, maxBodyBytes: 60_000, headerTimeoutMs: 5_000, idleTimeoutMs: 5_000 };

async function startServer(t: ExecutionContext, memory?: ClientMemory): Promise<number> {
  const server = new CallerServer(
    {
      limits: () => LIMITS,
      closing: () => false,
      handle: () => ({ statusCode: 404, reason: 'none', retryAfterMs: null }),
    },
    undefined,
    memory,
  );
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  t.teardown(() => {
    server.close();
  });
  return port;
}

function send(port: number, text: string): { readonly socket: Socket; readonly statuses: () => string[] } {
  const socket = connect({ host: HOST, port });
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => (received += chunk.toString('latin1')));
  socket.write(text);
  return {
    socket,
    statuses: () => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1] ?? ''),
  };
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise((resolve) => setTimeout(resolve, 5));
}

test('a body that is too large and then damaged gets one answer, and its connection ends', async (t) => {
  const port = await startServer(t);
  const chunk = `fff\r\n${'b'.repeat(0xfff)}\r\n`;
  const { socket, statuses } = send(
    port,
    `POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(20)}`,
  );
  await until(() => statuses().length === 1);
  let closed = false;
  socket.once('close', () => (closed = true));
  socket.write('zz\r\n');
  await until(() => closed);
  t.deepEqual(statuses(), ['413']);
});

test('a stalled body gives way to another one, and both callers are answered', async (t) => {
  const clock = { nowMs: 0 };
  const port = await startServer(t, new ClientMemory(80_000, () => clock.nowMs));
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n';
  const stalled = send(port, head + 'b'.repeat(49_999));
  await new Promise((resolve) => setTimeout(resolve, 50));
  const early = send(port, head + 'b'.repeat(50_000));
  await until(() => early.statuses().length === 1);
  t.deepEqual(early.statuses(), ['503'], 'the other body has not stalled yet');
  clock.nowMs = 2_000;
  const sound = send(port, head + 'b'.repeat(50_000));
  await until(() => sound.statuses().length === 1 && stalled.statuses().length === 1);
  t.deepEqual(sound.statuses(), ['404']);
  t.deepEqual(stalled.statuses(), ['503']);
  for (const { socket } of [stalled, early, sound]) socket.destroy();
});
