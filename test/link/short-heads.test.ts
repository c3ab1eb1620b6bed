/** Links between two machines: short heads are used only if both sides read them and the link is congested. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import test from 'ava';
import { freePort } from '../loopback.js';
import { LinkBytes } from '../../src/link/link-bytes.js';
import { LinkClient } from '../../src/link/link-client.js';
import { encodeFrameStart, FRAME_KIND, LinkFrameDecoder } from '../../src/link/link-frame.js';
import type { AnswerHead, RequestHead } from '../../src/link/link-messages.js';
import { LinkPacer } from '../../src/link/link-pacer.js';
import { LinkServer } from '../../src/link/link-server.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

/** Address of the connecting side, so that the two sides are on different machines as far as they can tell. */
const CALLER_HOST = '127.0.0.2';
const HOST = '127.0.0.1';
const EMPTY_BODY = Buffer.alloc(0);

const REQUEST: RequestHead = {
  requestId: '993f293405522cb7',
  method: 'POST',
  path: '/port-cancel/77',
  headers: ['Host', 'localhost', 'Content-Type', 'application/json'],
  instance: 'cancellation-1@17',
  key: null,
  route: 'port-cancel',
  priority: 1,
  repeatable: false,
  remainingMs: 6_000,
  patienceMs: 200,
  targetLeftMs: 800,
  spentMs: 0,
};

const ANSWER: AnswerHead = {
  statusCode: 200,
  headers: ['Server-Load', '1.2', 'Content-Type', 'application/json'],
  moreFollows: false,
  contentLength: 0,
  framed: true,
  timing: { waitedMs: 1, backendMs: 40 },
  status: null,
};

function slowLink(): LinkPacer {
  return new LinkPacer(250, new ManualTime().runtime);
}

/** A slow link for which a large frame waits all the time. */
function congestedLink(): LinkPacer {
  const pacer = slowLink();
  pacer.add({ remainingBytes: 1e6, dropped: false, begun: true, connection: {}, write: () => 0 });
  return pacer;
}

async function startServer(
  pacer: LinkPacer | null,
): Promise<{ port: number; server: LinkServer; bytes: LinkBytes }> {
  const port = await freePort();
  const bytes = new LinkBytes();
  const server = new LinkServer(
    () => 0,
    'life',
    ({ requestId }, _body, reply) => {
      reply.answer({ ...ANSWER, headers: [...ANSWER.headers, 'Request-Id', requestId] }, EMPTY_BODY);
      return { cancel: () => undefined, withdraw: () => undefined };
    },
    () => null,
    pacer,
    () => bytes.meter(() => 'zone'),
  );
  (await server.listen({ host: HOST, port })).unwrap();
  return { port, server, bytes };
}

function openClient(port: number, pacer: LinkPacer | null, bytes: LinkBytes): LinkClient {
  const address = { host: HOST, port };
  const route = { address, localAddress: CALLER_HOST, pacer, meter: bytes.meter(() => 'zone') };
  return new LinkClient(route, () => 0, { onStatus: () => undefined, onDisconnect: () => undefined });
}

/** Sends a request and returns the id that its answer carries, or why there is none. */
async function exchange(client: LinkClient, requestId: string): Promise<string> {
  return await new Promise((resolve) => {
    client.request({ ...REQUEST, requestId }, EMPTY_BODY, {
      onAnswer: ({ headers }) => {
        resolve(headers.at(-1) ?? '');
      },
      onRefusal: ({ reason }) => {
        resolve(reason);
      },
      onFailure: ({ reason }) => {
        resolve(reason);
      },
      onLost: (sent) => {
        resolve(`lost ${String(sent)}`);
      },
      onBody: () => undefined,
      onEnd: () => undefined,
    });
  });
}

/** Bytes of the heads of each of some successive requests, and of their answers. */
async function headBytes(
  server: { bytes: LinkBytes },
  client: LinkClient,
  bytes: LinkBytes,
  ids: readonly string[],
) {
  const sizes: { request: number; answer: number }[] = [];
  for (const id of ids) {
    if ((await exchange(client, id)) !== id) throw new Error(`no answer to ${id}`);
    const request = bytes.takeNew()?.zone?.request ?? 0;
    sizes.push({ request, answer: server.bytes.takeNew()?.zone?.answer ?? 0 });
  }
  return sizes;
}

const IDS = ['993f293405522cb7', '0a41c82200d1be63', '5b7d1e90c3f2a684', 'c06e29b1d4875f3a'];

test('two sides that read short heads send them, also on a new connection', async (t) => {
  const server = await startServer(congestedLink());
  const bytes = new LinkBytes();
  for (const connection of [1, 2]) {
    const client = openClient(server.port, congestedLink(), bytes);
    const [plain, ...later] = await headBytes(server, client, bytes, IDS);
    for (const { request, answer } of later.slice(1)) {
      t.true(request < (plain?.request ?? 0) / 3, `requests of connection ${connection}`);
      t.true(answer < 120, `answers of connection ${connection}`);
    }
    client.stop();
  }
  server.server.close();
});

test('without a slow link at one side, or with idle links, both send plain heads', async (t) => {
  for (const [own, other] of [
    [null, congestedLink()],
    [congestedLink(), null],
    [slowLink(), slowLink()],
  ] as const) {
    const server = await startServer(other);
    const bytes = new LinkBytes();
    const client = openClient(server.port, own, bytes);
    const sizes = await headBytes(server, client, bytes, IDS);
    t.is(new Set(sizes.map(({ request, answer }) => `${request} ${answer}`)).size, 1);
    client.stop();
    server.server.close();
  }
});

/** Accepts one connection as an older build does: greets, reads plain heads only, and answers with plain heads. */
async function startOlderServer(port: number): Promise<{ server: Server; kinds: number[] }> {
  const kinds: number[] = [];
  const server = createServer((socket) => {
    socket.write(encodeFrameStart(FRAME_KIND.hello, 0, { life: 'older' }, 0));
    const decoder = new LinkFrameDecoder();
    socket.on('data', (chunk: Buffer) => {
      for (const { kind, stream, head } of decoder.push(chunk).unwrap()) {
        kinds.push(kind);
        const { requestId } = head as RequestHead;
        const answer = { ...ANSWER, headers: ['Request-Id', requestId] };
        socket.write(encodeFrameStart(FRAME_KIND.answer, stream, answer, 0));
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(port, HOST, resolve);
  });
  return { server, kinds };
}

test('an older accepting side gets only frames that it knows', async (t) => {
  const port = await freePort();
  const { server, kinds } = await startOlderServer(port);
  const client = openClient(port, slowLink(), new LinkBytes());
  for (const id of IDS) t.is(await exchange(client, id), id);
  t.deepEqual(new Set(kinds), new Set([FRAME_KIND.request]));
  client.stop();
  server.close();
});

test('an older connecting side gets plain answers', async (t) => {
  const { port, server } = await startServer(slowLink());
  const socket: Socket = connect({ host: HOST, port, localAddress: CALLER_HOST });
  const decoder = new LinkFrameDecoder();
  const answered: string[] = [];
  await new Promise<void>((resolve) => {
    socket.on('data', (chunk: Buffer) => {
      for (const { kind, head } of decoder.push(chunk).unwrap()) {
        if (kind === FRAME_KIND.answer) answered.push((head as AnswerHead).headers.at(-1) ?? '');
      }
      if (answered.length === IDS.length) resolve();
    });
    for (const [index, requestId] of IDS.entries()) {
      socket.write(encodeFrameStart(FRAME_KIND.request, index + 1, { ...REQUEST, requestId }, 0));
    }
  });
  t.deepEqual(answered, IDS);
  socket.destroy();
  server.close();
});
