/**
 * Damaged answers of a back end, on the connections that its sound answers use too: no answer reaches another request, and
 * requests to a sound back end are answered all the while.
 */
import { request } from 'node:http';
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { RequestHead } from '../../src/link/link-messages.js';
import type { RequestReply } from '../../src/link/link-server.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';
import { AnswerBuffers } from '../../src/sidecar/answer-buffers.js';
import { httpBackendClient, type BackendClient } from '../../src/sidecar/backend-client.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { localAnswer, LOCAL_STATUS } from '../../src/sidecar/local-answer.js';
import type { CallerSink } from '../../src/sidecar/caller-request.js';
import { DEFAULT_HEADER_DIALECT, headerValue } from '../../src/sidecar/header-dialect.js';
import { freePort } from '../loopback.js';
import { startRawBackend, type RawBackend } from '../raw-backend.js';
import { damageBytes } from './damage.js';

const HOST = '127.0.0.1';
const CASES = 500;

/** Time in ms for which requests wait for an answer; a damaged one may never come. */
const LEFT_MS = 10_000;
const DAMAGED_LEFT_MS = 40;
const LIMITS = { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 5_000, idleTimeoutMs: 5_000 };
const { requestId: ID, seal: SEAL, notRun: NOT_RUN } = DEFAULT_HEADER_DIALECT;

/** Answers to a request, whose body names it. */
function answersTo(id: string): readonly string[] {
  const head = (status: string, headers: string): string =>
    `HTTP/1.1 ${status}\r\n${ID}: ${id}\r\n${headers}\r\n\r\n`;
  const size = id.length.toString(16);
  return [
    `${head('200 OK', `${SEAL}: s\r\nContent-Length: ${id.length}`)}${id}`,
    `${head('200 OK', `${SEAL}: s\r\nTransfer-Encoding: chunked`)}${size}\r\n${id}\r\n0\r\n\r\n`,
    `${head('200 OK', `${SEAL}: s\r\nConnection: close`)}${id}`,
    `HTTP/1.1 103 Early\r\n\r\n${head('500 Failed', 'Content-Length: 0')}`,
    head('503 Full', `${NOT_RUN}: 1\r\nRetry-After: 0.2\r\nContent-Length: 0`),
    head('421 Other', 'Content-Length: 0'),
    head('304 Same', `ETag: "a"\r\nContent-Length: ${id.length}`),
    head('204 None', 'Server-Load: 1,2,3,4'),
  ];
}

/** Starts a back end; `isDamaged` decides for each request whether its answer is damaged. */
async function startBackend(random: Random, isDamaged: (path: string) => boolean): Promise<RawBackend> {
  return await startRawBackend((socket, text) => {
    const id = new RegExp(`^${ID}: (\\S+)`, 'im').exec(text)?.[1];
    const path = /^\S+ (\S+)/.exec(text)?.[1] ?? '';
    if (id === undefined) return;
    const [sound = ''] = answersTo(id);
    if (!isDamaged(path)) {
      socket.write(sound);
      return;
    }
    const damaged = damageBytes(Buffer.from(random.pick(answersTo(id))), random);
    socket.write(damaged);
    if (random.below(3) === 0) socket.write(random.pick(answersTo(id)));
    if (random.below(3) === 0) socket.end();
  });
}

/** Passes the outcome of a run on, as the link between two daemons does. */
function replyTo(sink: CallerSink): RequestReply {
  return {
    refuse: ({ reason, retryAfterMs }) => {
      sink.fail({ kind: 'not-run', reason, retryAfterMs });
    },
    fail: ({ reason }) => {
      sink.fail({ kind: 'unknown', reason, timedOut: reason === 'deadline' });
    },
    answer: (head, body) => {
      sink.answer(head, body);
    },
    body: (chunk) => {
      sink.body(chunk);
      return true;
    },
    end: () => {
      sink.end();
    },
    onDrain: (callback) => {
      callback();
    },
  };
}

function headOf(path: string, requestId: string, leftMs: number): RequestHead {
  const headers = ['host', 'h', ID, requestId];
  const times = { remainingMs: leftMs, patienceMs: 0, targetLeftMs: leftMs, spentMs: 0 };
  const target = { instance: 'i', key: null, route: 'r', priority: 0, repeatable: true };
  return { requestId, method: 'GET', path, headers, ...target, ...times };
}

async function call(port: number, path: string, id: string): Promise<string> {
  return await new Promise((resolve) => {
    const sent = request({ host: HOST, port, path, headers: { [ID]: id }, agent: false }, (answer) => {
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
    sent.end();
  });
}

test('damaged answers reach no other request', async (t) => {
  const random = new Random(66);
  const odd = await startBackend(random, (path) => path === '/damaged');
  const sound = await startBackend(random, () => false);
  const client = (port: number): BackendClient =>
    httpBackendClient({ host: HOST, port }, DEFAULT_HEADER_DIALECT, nodeRuntime, () => undefined);
  const clients = { odd: client(odd.port), sound: client(sound.port) };
  const server = new CallerServer({
    limits: () => LIMITS,
    closing: () => false,
    handle: ({ path, headers }, sink) => {
      const id = headerValue(headers, ID);
      if (id === null) return localAnswer(LOCAL_STATUS.badRequest, 'no id');
      const backend = path === '/sound' ? clients.sound : clients.odd;
      const leftMs = path === '/damaged' ? DAMAGED_LEFT_MS : LEFT_MS;
      const run = backend.prepare(headOf(path, id, leftMs), Buffer.alloc(0), leftMs, {
        status: () => null,
        timing: () => ({ waitedMs: 0, backendMs: 0 }),
        reply: replyTo(sink),
        buffers: new AnswerBuffers(),
        onSignals: () => undefined,
        confirmEnd: (done) =>
          nodeRuntime.after(0, () => {
            done('confirmed');
          }),
        onDone: () => undefined,
      });
      run.start();
      return run;
    },
  });
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  const counts = { ownAfterDamage: 0, failedAfterDamage: 0 };
  for (let count = 1; count <= CASES; count += 1) {
    const [soundAnswer, damagedAnswer] = await Promise.all([
      call(port, '/sound', `sound-${count}`),
      call(port, '/damaged', `damaged-${count}`),
    ]);
    t.is(soundAnswer, `200 sound-${count}`);
    t.false(damagedAnswer.includes('sound-'), `case ${count}: ${damagedAnswer}`);
    const after = await call(port, '/after', `after-${count}`);
    const isOwn = after === `200 after-${count}`;
    t.true(isOwn || /^50[234] /.test(after), `case ${count}: ${after}`);
    counts[isOwn ? 'ownAfterDamage' : 'failedAfterDamage'] += 1;
  }
  t.log(counts);
  t.true(counts.ownAfterDamage > CASES / 2);
  server.close();
  for (const each of [clients.odd, clients.sound]) each.destroy();
  odd.close();
  sound.close();
});
