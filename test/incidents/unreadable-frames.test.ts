/**
 * A frame that another daemon has damaged, or that is not due, ends one request at most: it ended the daemon that read it,
 * with all its other requests.
 */
import { request } from 'node:http';
import { connect, createServer, type Socket } from 'node:net';
import test from 'ava';
import { Random } from '../../lab/random.js';
import { LinkClient } from '../../src/link/link-client.js';
import { encodeFrameStart, FRAME_KIND, LinkFrameDecoder, type FrameKind } from '../../src/link/link-frame.js';
import type { RequestHead, StatusHead } from '../../src/link/link-messages.js';
import { LinkServer } from '../../src/link/link-server.js';
import type { CallerSink } from '../../src/sidecar/caller-request.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { damageJson } from '../fuzz/damage.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MS = 20_000;
const CASES = 400;
const LIMITS = { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 5_000, idleTimeoutMs: 5_000 };
const EMPTY = Buffer.alloc(0);

const REQUEST: RequestHead = {
  requestId: 'r',
  method: 'GET',
  path: '/damaged',
  headers: ['host', 'a'],
  instance: 'i',
  key: 7,
  route: 'route',
  priority: 1,
  repeatable: true,
  remainingMs: 1_000,
  patienceMs: 100,
  targetLeftMs: 500,
  spentMs: 0,
};
const STATUS: StatusHead = {
  instance: 'i',
  running: 2,
  waiting: 1,
  slots: 3,
  serviceMs: 40,
  accepting: true,
  sendWaitMs: 0,
  pacing: null,
  pace: 1,
  meanPace: 1,
};
const ANSWER = {
  statusCode: 200,
  headers: ['x-note', 'a'],
  moreFollows: false,
  contentLength: 2,
  framed: true,
  timing: { waitedMs: 0, backendMs: 1 },
  status: STATUS,
};
const REFUSAL = { reason: 'busy', arrived: false, retryAfterMs: 10, status: STATUS };
const FAILURE = { reason: 'broken', detail: '', status: STATUS };

const HEADS: readonly [FrameKind, unknown][] = [
  [FRAME_KIND.answer, ANSWER],
  [FRAME_KIND.answer, { ...ANSWER, moreFollows: true }],
  [FRAME_KIND.refusal, REFUSAL],
  [FRAME_KIND.failure, FAILURE],
  [FRAME_KIND.status, STATUS],
  [FRAME_KIND.hello, { life: 'l', compactHeads: true }],
  [FRAME_KIND.body, undefined],
  [FRAME_KIND.end, undefined],
  [FRAME_KIND.withdraw, undefined],
];

function frame(kind: FrameKind, stream: number, head: unknown, body = EMPTY): Buffer {
  return Buffer.concat([encodeFrameStart(kind, stream, head, body.length), body]);
}

/** Sends one to three frames for a stream, of which at least one is damaged or not due, and then a failure. */
function sendDamaged(socket: Socket, stream: number, random: Random): void {
  for (let count = 1 + random.below(3); count > 0; count -= 1) {
    const [kind, head] = random.pick(HEADS);
    const sent = random.below(4) === 0 || head === undefined ? head : damageJson(head, random);
    socket.write(frame(kind, stream, sent, random.below(2) === 0 ? EMPTY : Buffer.from('ok')));
  }
  socket.write(frame(FRAME_KIND.failure, stream, FAILURE));
}

/** Starts a server for callers that forwards their requests over a link to `port`. */
async function startForwarder(
  port: number,
): Promise<{ callers: CallerServer; link: LinkClient; callersPort: number }> {
  const address = { host: HOST, port };
  const handlers = { onStatus: () => undefined, onDisconnect: () => undefined };
  const link = new LinkClient(
    { address, localAddress: null, pacer: null },
    () => performance.now(),
    handlers,
  );
  const forward = (path: string, sink: CallerSink): (() => void) => {
    let started = false;
    const end = (): void => {
      if (started) sink.abort();
      else sink.fail({ kind: 'unknown', reason: 'no answer', timedOut: false });
    };
    const sent = link.request({ ...REQUEST, path }, EMPTY, {
      onRefusal: ({ retryAfterMs, reason }) => {
        sink.fail({ kind: 'not-run', reason, retryAfterMs });
      },
      onFailure: end,
      onAnswer: (head, body) => {
        started = true;
        sink.answer(head, body);
      },
      onBody: (chunk) => {
        sink.body(chunk);
      },
      onEnd: () => {
        sink.end();
      },
      onLost: end,
    });
    return () => {
      sent.cancel();
    };
  };
  const callers = new CallerServer({
    limits: () => LIMITS,
    closing: () => false,
    handle: ({ path }, sink) => ({ cancel: forward(path, sink) }),
  });
  const callersPort = await freePort();
  (await callers.listen({ host: HOST, port: callersPort })).unwrap();
  return { callers, link, callersPort };
}

async function call(port: number, path: string): Promise<string> {
  return await new Promise((resolve) => {
    const sent = request({ host: HOST, port, path, agent: false }, (answer) => {
      let body = '';
      answer.on('data', (chunk: Buffer) => (body += chunk.toString()));
      answer.on('error', () => undefined);
      answer.on('close', () => {
        resolve(`${answer.statusCode} ${body}`);
      });
    });
    sent.on('error', () => {
      resolve('closed');
    });
    sent.setTimeout(CALL_TIMEOUT_MS, () => sent.destroy());
    sent.end();
  });
}

test("damaged frames of one answer leave the daemon's other requests alone", async (t) => {
  const random = new Random(60);
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    const decoder = new LinkFrameDecoder();
    socket.on('error', () => undefined);
    socket.write(frame(FRAME_KIND.hello, 0, { life: 'l' }));
    socket.on('data', (chunk: Buffer) => {
      for (const { kind, stream, head } of decoder.push(chunk).unwrap()) {
        if (kind !== FRAME_KIND.request) continue;
        const { path } = head as RequestHead;
        if (path === '/damaged') sendDamaged(socket, stream, random);
        else setTimeout(() => socket.write(frame(FRAME_KIND.answer, stream, ANSWER, Buffer.from('ok'))), 2);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as { port: number };
  const { callers, link, callersPort } = await startForwarder(port);
  for (let count = 1; count <= CASES; count += 1) {
    const [sound] = await Promise.all([call(callersPort, '/sound'), call(callersPort, '/damaged')]);
    t.is(sound, '200 ok', `case ${count}`);
  }
  callers.close();
  link.stop();
  server.close();
});

test("damaged requests of one daemon leave the others' requests alone", async (t) => {
  const random = new Random(61);
  const server = new LinkServer(
    () => performance.now(),
    'life',
    (head, _body, reply) => {
      // Reads the head as a gateway does.
      const size = [...head.headers, head.method, head.path, head.route].map((text) => text.trim().length);
      t.true(size.every(Number.isInteger) && Number.isFinite(head.remainingMs + head.priority));
      if (head.requestId === 'sound') reply.answer(ANSWER, Buffer.from('ok'));
      return { cancel: () => undefined, withdraw: () => undefined };
    },
    () => STATUS,
  );
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  const address = { host: HOST, port };
  const link = new LinkClient({ address, localAddress: null, pacer: null }, () => performance.now(), {
    onStatus: () => undefined,
    onDisconnect: () => undefined,
  });
  for (let count = 1; count <= CASES; count += 1) {
    const socket = connect(address);
    socket.on('error', () => undefined);
    for (let sent = 0; sent < 3; sent += 1) {
      const stream = random.below(3);
      socket.write(frame(FRAME_KIND.request, stream, damageJson(REQUEST, random)));
      if (random.below(2) === 0) socket.write(frame(FRAME_KIND.cancel, stream, undefined));
    }
    const outcome = await new Promise<string>((resolve) => {
      const end = (): void => {
        resolve('no answer');
      };
      link.request({ ...REQUEST, requestId: 'sound' }, EMPTY, {
        onRefusal: end,
        onFailure: end,
        onAnswer: ({ statusCode }, body) => {
          resolve(`${statusCode} ${body.toString()}`);
        },
        onBody: end,
        onEnd: end,
        onLost: end,
      });
    });
    t.is(outcome, '200 ok', `case ${count}`);
    socket.destroy();
  }
  link.stop();
  server.close();
});
