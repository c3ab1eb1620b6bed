/** Answers over a link whose callers read slowly, between builds with and without flow control. */
import { connect, createServer, type Socket } from 'node:net';
import test from 'ava';
import { freePort } from '../loopback.js';
import type { HeldBytesHandlers } from '../../src/link/answer-stream.js';
import { LinkClient, type OnRead, type RequestHandlers } from '../../src/link/link-client.js';
import { encodeFrameStart, FRAME_KIND, LinkFrameDecoder, type LinkFrame } from '../../src/link/link-frame.js';
import type { AnswerHead, RequestHead } from '../../src/link/link-messages.js';
import { LinkPacer } from '../../src/link/link-pacer.js';
import { LinkServer, type RequestReply } from '../../src/link/link-server.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';
import { encodeCredit, FIRST_WINDOW_BYTES, MAX_WHOLE_ANSWER_BYTES } from '../../src/link/stream-window.js';

const HOST = '127.0.0.1';
const HEAD = { requestId: 'r', priority: 1 } as RequestHead;
const TOTAL_BYTES = 10 * FIRST_WINDOW_BYTES;
const ANSWER: AnswerHead = {
  statusCode: 200,
  headers: [],
  moreFollows: true,
  contentLength: TOTAL_BYTES,
  framed: true,
  timing: { waitedMs: 1, backendMs: 1 },
  status: null,
};

interface Served {
  readonly port: number;
  readonly server: LinkServer;
  /** Replies by request, in the order of arrival. */
  readonly replies: RequestReply[];
  readonly cancelled: number[];
  /** Decisions of the daemon, by request. */
  readonly decisions: HeldBytesHandlers[];
  heldBytes: number;
}

async function serve(pacer: LinkPacer | null = null): Promise<Served> {
  const port = await freePort();
  const replies: RequestReply[] = [];
  const cancelled: number[] = [];
  const decisions: HeldBytesHandlers[] = [];
  const server = new LinkServer(
    () => 0,
    'life',
    (_head, _body, reply) => {
      const index = replies.push(reply) - 1;
      return { cancel: () => cancelled.push(index), withdraw: () => undefined };
    },
    () => null,
    pacer,
    () => null,
    (_priority, handlers) => {
      decisions.push(handlers);
      let bytes = 0;
      const add = (added: number): void => {
        bytes += added;
        served.heldBytes += added;
      };
      return {
        mayHoldMore: false,
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
  );
  (await server.listen({ host: HOST, port })).unwrap();
  const served: Served = { port, server, replies, cancelled, decisions, heldBytes: 0 };
  return served;
}

/** A request and what of its answer has arrived. */
interface Received {
  bytes: number;
  outcome: string;
  readonly onRead: OnRead[];
  cancel: () => void;
}

function send(client: LinkClient, onBytes: (received: Received) => void): Received {
  const received: Received = { bytes: 0, outcome: '', onRead: [], cancel: () => undefined };
  const receive = (body: Buffer, onRead?: OnRead): void => {
    received.bytes += body.length;
    if (onRead !== undefined) received.onRead.push(onRead);
    onBytes(received);
  };
  const end = (outcome: string) => (): void => {
    received.outcome = outcome;
    onBytes(received);
  };
  const handlers: RequestHandlers = {
    onRefusal: end('refused'),
    onFailure: end('failed'),
    onLost: end('lost'),
    onEnd: end('ended'),
    onAnswer: (_head, body, onRead) => {
      receive(body, onRead);
    },
    onBody: receive,
  };
  received.cancel = client.request(HEAD, Buffer.alloc(0), handlers).cancel;
  return received;
}

function open(port: number, localAddress: string | null = null): LinkClient {
  const route = { address: { host: HOST, port }, localAddress, pacer: null };
  return new LinkClient(route, () => 0, { onStatus: () => undefined, onDisconnect: () => undefined });
}

async function until(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 2));
}

/** Reads everything as it arrives. */
const readAll = ({ onRead, bytes, outcome }: Received): void => {
  if (outcome === '' && bytes > 0) onRead.at(-1)?.(FIRST_WINDOW_BYTES / 4);
};

/** A client of which the peer knows that it returns credit: its first request was answered after the hello. */
async function negotiate(served: Served, localAddress: string | null = null): Promise<LinkClient> {
  const client = open(served.port, localAddress);
  const first = send(client, () => undefined);
  await until(() => served.replies.length === 1);
  await new Promise((resolve) => setTimeout(resolve, 20));
  served.replies[0]?.answer({ ...ANSWER, moreFollows: false, contentLength: 1 }, Buffer.alloc(1));
  await until(() => first.bytes === 1);
  return client;
}

test('a caller that does not read holds one window, and does not hold up others on the link', async (t) => {
  const served = await serve();
  const client = await negotiate(served);
  const unread = send(client, () => undefined);
  const read = send(client, readAll);
  await until(() => served.replies.length === 3);
  const [, first, second] = served.replies;
  first?.answer(ANSWER, Buffer.alloc(TOTAL_BYTES - 1));
  t.false(first?.body(Buffer.alloc(1)), 'its source pauses');
  second?.answer(ANSWER, Buffer.alloc(TOTAL_BYTES));
  second?.end();
  first?.end();
  await until(() => read.outcome === 'ended');
  t.is(read.bytes, TOTAL_BYTES);
  t.is(unread.bytes, FIRST_WINDOW_BYTES);
  t.is(served.heldBytes, TOTAL_BYTES - FIRST_WINDOW_BYTES);
  unread.onRead[0]?.(TOTAL_BYTES);
  await until(() => unread.outcome === 'ended');
  t.is(unread.bytes, TOTAL_BYTES);
  t.is(served.heldBytes, 0);
  t.is(served.server.unsentAnswers, 0);
  client.stop();
  served.server.close();
});

test('over a paced link, an answer waits in its spool and only a few parts of it in the paced queue', async (t) => {
  const served = await serve(new LinkPacer(2_000, nodeRuntime));
  const client = await negotiate(served, '127.0.0.2');
  const received = send(client, (stream) => {
    t.true(served.server.unsentBytes <= FIRST_WINDOW_BYTES);
    readAll(stream);
  });
  await until(() => served.replies.length === 2);
  served.replies[1]?.answer(ANSWER, Buffer.alloc(TOTAL_BYTES));
  t.true(served.heldBytes >= TOTAL_BYTES - FIRST_WINDOW_BYTES);
  served.replies[1]?.end();
  await until(() => received.outcome === 'ended');
  t.is(received.bytes, TOTAL_BYTES);
  t.is(served.heldBytes, 0);
  client.stop();
  served.server.close();
});

test('a long complete answer is sent in parts, and one up to the limit in one frame', async (t) => {
  const served = await serve();
  const client = await negotiate(served);
  for (const [bytes, outcome] of [
    [MAX_WHOLE_ANSWER_BYTES, ''],
    [MAX_WHOLE_ANSWER_BYTES + 1, 'ended'],
  ] as const) {
    const received = send(client, readAll);
    const index = served.replies.length;
    await until(() => served.replies.length === index + 1);
    const head = { ...ANSWER, moreFollows: false, contentLength: bytes };
    served.replies[index]?.answer(head, Buffer.alloc(bytes));
    await until(() => received.bytes === bytes && received.outcome === outcome);
    t.is(received.onRead.length === 1, outcome === '');
  }
  client.stop();
  served.server.close();
});

test('a cancelled or cut stream, and one whose link drops, leaves nothing held', async (t) => {
  const served = await serve();
  const client = await negotiate(served);
  const streams = [1, 2, 3].map(() => send(client, () => undefined));
  await until(() => served.replies.length === 4);
  for (const reply of served.replies.slice(1)) reply.answer(ANSWER, Buffer.alloc(TOTAL_BYTES));
  await until(() => streams.every(({ bytes }) => bytes === FIRST_WINDOW_BYTES));
  const [cancelled, cut, lost] = streams;
  cancelled?.cancel();
  cancelled?.onRead[0]?.(FIRST_WINDOW_BYTES);
  served.decisions[1]?.cut();
  await until(() => cut?.outcome === 'failed' && served.server.unsentAnswers === 1);
  client.stop();
  await until(() => lost?.outcome === 'lost' && served.server.unsentAnswers === 0);
  t.is(served.heldBytes, 0);
  t.deepEqual(served.cancelled.sort(), [1, 2, 3]);
  served.server.close();
});

test('a stopping daemon says that answers which are not sent completely are lost', async (t) => {
  const served = await serve();
  const client = await negotiate(served);
  const received = send(client, () => undefined);
  await until(() => served.replies.length === 2);
  served.replies[1]?.answer(ANSWER, Buffer.alloc(TOTAL_BYTES));
  served.replies[1]?.end();
  await until(() => received.bytes === FIRST_WINDOW_BYTES);
  t.is(served.server.unsentAnswers, 1);
  served.server.close();
  await until(() => received.outcome !== '');
  t.is(received.outcome, 'failed');
  client.stop();
});

async function rawClient(port: number): Promise<{ socket: Socket; frames: LinkFrame[] }> {
  const frames: LinkFrame[] = [];
  const decoder = new LinkFrameDecoder();
  const socket = connect(port, HOST);
  socket.on('data', (chunk) => frames.push(...decoder.push(chunk).unwrap()));
  await until(() => frames.length > 0);
  return { socket, frames };
}

function bodyBytes(frames: readonly LinkFrame[]): number {
  return frames.reduce((sum, { body }) => sum + body.length, 0);
}

test('a peer of an older build gets the whole answer without returning credit', async (t) => {
  const served = await serve();
  const { socket, frames } = await rawClient(served.port);
  socket.write(encodeFrameStart(FRAME_KIND.request, 1, HEAD, 0));
  await until(() => served.replies.length === 1);
  served.replies[0]?.answer(ANSWER, Buffer.alloc(TOTAL_BYTES));
  served.replies[0]?.end();
  await until(() => frames.at(-1)?.kind === FRAME_KIND.end);
  t.is(bodyBytes(frames), TOTAL_BYTES);
  socket.destroy();
  served.server.close();
});

test('credit that cannot be read changes nothing and is counted', async (t) => {
  const served = await serve();
  const { socket, frames } = await rawClient(served.port);
  const sendCredit = (stream: number, body: Buffer): void => {
    socket.write(Buffer.concat([encodeFrameStart(FRAME_KIND.credit, stream, undefined, body.length), body]));
  };
  sendCredit(0, Buffer.alloc(4));
  sendCredit(0, encodeCredit(1_000));
  socket.write(encodeFrameStart(FRAME_KIND.request, 1, HEAD, 0));
  await until(() => served.replies.length === 1);
  served.replies[0]?.answer(ANSWER, Buffer.alloc(TOTAL_BYTES));
  for (const body of [Buffer.alloc(4, 0xff), Buffer.alloc(3, 1)]) sendCredit(1, body);
  sendCredit(9, encodeCredit(5));
  sendCredit(1, encodeCredit(5));
  await until(() => bodyBytes(frames) >= 1_005);
  t.is(bodyBytes(frames), 1_005);
  t.is(served.server.unreadableCredits, 3);
  socket.destroy();
  served.server.close();
});

test('an older accepting side is sent no credit', async (t) => {
  const decoder = new LinkFrameDecoder();
  const frames: LinkFrame[] = [];
  const port = await freePort();
  const server = createServer((socket) => {
    const write = (kind: 1 | 6 | 7 | 8, head: unknown, body: Buffer): void => {
      socket.write(Buffer.concat([encodeFrameStart(kind, 1, head, body.length), body]));
    };
    write(FRAME_KIND.hello, { life: 'old' }, Buffer.alloc(0));
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      frames.push(...decoder.push(chunk).unwrap());
      write(FRAME_KIND.answer, ANSWER, Buffer.alloc(FIRST_WINDOW_BYTES));
      write(FRAME_KIND.body, undefined, Buffer.alloc(TOTAL_BYTES - FIRST_WINDOW_BYTES));
      write(FRAME_KIND.end, undefined, Buffer.alloc(0));
    });
  });
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  const client = open(port);
  const received = send(client, readAll);
  await until(() => received.outcome === 'ended');
  t.is(received.bytes, TOTAL_BYTES);
  t.deepEqual(
    frames.map(({ kind }) => kind),
    [FRAME_KIND.request],
  );
  client.stop();
  server.close();
});
