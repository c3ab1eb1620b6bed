/** Callers that read or send slowly, over real sockets. */
import { connect, type Socket } from 'node:net';
import test from 'ava';
import { freePort } from '../loopback.js';
import type { HeldBytesHandlers } from '../../src/link/answer-stream.js';
import type { AnswerHead } from '../../src/link/link-messages.js';
import type { LimitsDefinition } from '../../src/directory/directory-state.js';
import type { CallerSink } from '../../src/sidecar/caller-request.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { RequestBodyLimit } from '../../src/sidecar/request-body-limit.js';

const MIB = 1024 * 1024;
const PART_BYTES = 64 * 1024;
/** More than the operating system buffers for a connection. */
const TOTAL_BYTES = 40 * MIB;

const HEAD: AnswerHead = {
  statusCode: 200,
  headers: [],
  moreFollows: true,
  contentLength: TOTAL_BYTES,
  framed: true,
  timing: { waitedMs: 0, backendMs: 0 },
  status: null,
};

const LIMITS = {
  maxHeaderBytes: 10_000,
  maxBodyBytes: 30 * MIB,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 5_000,
} as LimitsDefinition;

class World {
  readonly sinks: CallerSink[] = [];
  readonly bodies: number[] = [];
  readonly cancelled: number[] = [];
  unreadBytes = 0;
  unreadHandlers: HeldBytesHandlers | null = null;
  priority = -1;
  readonly server = new CallerServer({
    limits: () => LIMITS,
    closing: () => false,
    handle: ({ body }, sink) => {
      sink.prioritize?.(2);
      const index = this.sinks.push(sink) - 1;
      this.bodies.push(body.length);
      return { cancel: () => this.cancelled.push(index) };
    },
    openUnread: (priority, handlers) => {
      this.priority = priority;
      this.unreadHandlers = handlers;
      let bytes = 0;
      const add = (added: number): void => {
        bytes += added;
        this.unreadBytes += added;
      };
      return {
        mayHoldMore: true,
        crowded: false,
        add,
        remove: (removed) => {
          add(-removed);
        },
        close: () => {
          add(-bytes);
        },
      };
    },
  });

  async connect(): Promise<Socket> {
    const port = await freePort();
    (await this.server.listen({ host: '127.0.0.1', port })).unwrap();
    return connect(port, '127.0.0.1');
  }
}

async function until(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 2));
}

test('what a caller has not read is counted and not credited until it reads', async (t) => {
  const world = new World();
  const socket = await world.connect();
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await until(() => world.sinks.length === 1);
  const [sink] = world.sinks;
  let readBytes = 0;
  const onRead = (bytes: number): void => {
    readBytes += bytes;
  };
  sink?.answer(HEAD, Buffer.alloc(PART_BYTES), onRead);
  for (let sent = PART_BYTES; sent < TOTAL_BYTES; sent += PART_BYTES)
    sink?.body(Buffer.alloc(PART_BYTES), onRead);
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.true(readBytes < TOTAL_BYTES);
  t.is(world.unreadBytes, TOTAL_BYTES - readBytes);
  t.is(world.priority, 2);
  let received = 0;
  socket.on('data', (chunk) => {
    received += chunk.length;
  });
  socket.resume();
  await until(() => received > TOTAL_BYTES && readBytes === TOTAL_BYTES);
  t.is(world.unreadBytes, 0);
  socket.destroy();
  world.server.close();
});

test('an answer that is cut ends its connection and cancels its request', async (t) => {
  const world = new World();
  const socket = await world.connect();
  const ended = new Promise((resolve) => socket.once('close', resolve));
  socket.on('error', () => undefined);
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await until(() => world.sinks.length === 1);
  world.sinks[0]?.answer(HEAD, Buffer.alloc(TOTAL_BYTES - 1));
  world.unreadHandlers?.cut();
  socket.resume();
  await ended;
  await until(() => world.cancelled.length === 1);
  t.is(world.unreadBytes, 0);
  world.server.close();
});

test('a whole answer that is not read is counted until its connection closes', async (t) => {
  const world = new World();
  const socket = await world.connect();
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await until(() => world.sinks.length === 1);
  world.sinks[0]?.answer({ ...HEAD, moreFollows: false }, Buffer.alloc(TOTAL_BYTES));
  t.is(world.unreadBytes, TOTAL_BYTES);
  socket.destroy();
  await until(() => world.unreadBytes === 0);
  t.pass();
  world.server.close();
});

test('callers that send slowly hold a bounded number of bytes, and small bodies still get through', async (t) => {
  const world = new World();
  const slow = await world.connect();
  slow.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${30 * MIB}\r\n\r\n`);
  slow.write(Buffer.alloc(29 * MIB));
  await until(() => world.server.bodies.heldBytes === 29 * MIB);
  const answers: string[] = [];
  for (const bytes of [2 * MIB, 1_000]) {
    const other = connect(slow.remotePort ?? 0, '127.0.0.1');
    other.on('data', (chunk) => answers.push(chunk.toString().split('\r\n')[0] ?? ''));
    other.on('error', () => undefined);
    other.write(`POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${bytes}\r\n\r\n`);
    other.write(Buffer.alloc(bytes));
  }
  await until(() => world.bodies.includes(1_000) && answers.length === 1);
  t.deepEqual(answers, ['HTTP/1.1 503 Service Unavailable']);
  t.deepEqual(world.bodies, [1_000]);
  t.is(world.server.bodies.refusals, 1);
  slow.destroy();
  await until(() => world.server.bodies.heldBytes <= 1_000);
  world.server.close();
  await until(() => world.server.bodies.heldBytes === 0);
});

test('a single body of the configured maximum always fits', (t) => {
  const limit = new RequestBodyLimit();
  t.true(limit.take(100 * MIB, 100 * MIB, 100 * MIB));
  t.false(limit.take(1, 65 * 1024, 100 * MIB));
  t.true(limit.take(1, 1, 100 * MIB));
  limit.release(100 * MIB);
  t.is(limit.heldBytes, 1);
});
