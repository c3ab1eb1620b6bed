/**
 * Routers, agents and the operator's client take no answer without a length for whole: `undici` completes one at any end of
 * its connection, a reset too, and reads a second answer as a part of the first.
 */
import { createServer as createHttpServer, request } from 'node:http';
import type { Socket } from 'node:net';
import test from 'ava';
import { Pool } from 'undici';
import { BackendClient } from '../../src/agent/backend-client.js';
import { OperatorClient } from '../../src/cli/operator-client.js';
import { CallerConnections } from '../../src/router/caller-connections.js';
import { forwardAttempt, type AttemptResult } from '../../src/router/forward-attempt.js';
import { startRawBackend, type RawBackend } from '../raw-backend.js';

const HOST = '127.0.0.1';
const OBJECT = '{"ok":true,"more":1}';
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
const BUDGET_MS = 2_000;

interface Case {
  readonly name: string;
  readonly send: (socket: Socket) => void;
}

const CASES: readonly Case[] = [
  { name: 'half of a body and the end', send: (socket) => socket.end(`${HEAD}\r\n${OBJECT.slice(0, 9)}`) },
  {
    name: 'half of a body and a reset',
    send: (socket) => {
      socket.write(`${HEAD}\r\n${OBJECT.slice(0, 9)}`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
  },
  { name: 'a whole body and the end', send: (socket) => socket.end(`${HEAD}\r\n${OBJECT}`) },
  {
    name: 'a whole body and a second answer',
    send: (socket) =>
      socket.end(`${HEAD}\r\n${OBJECT}${HEAD}Content-Length: ${OBJECT.length}\r\n\r\n${OBJECT}`),
  },
];

/** Starts a back end that answers each request line; the body of a call may come in a read of its own. */
async function startBackend(send: (socket: Socket) => void): Promise<RawBackend> {
  return await startRawBackend((socket, text) => {
    if (/^(?:GET|PUT) /.test(text)) send(socket);
  });
}

/** Makes an attempt for a caller; returns its result, and whether the caller got the start of an answer. */
async function attempt(port: number): Promise<{ result: AttemptResult; answered: boolean }> {
  const pool = new Pool(`http://${HOST}:${port}`);
  let result: AttemptResult = { kind: 'caller-gone' };
  const callers = new CallerConnections(() => undefined);
  const router = createHttpServer((incoming, response) => {
    const answer = callers.answerTo(incoming, response);
    if (answer === null) return;
    const sent = {
      method: 'GET',
      path: '/',
      headers: [],
      body: null,
      budgetMs: BUDGET_MS,
      stallMs: BUDGET_MS,
    };
    void forwardAttempt(pool, { ...sent, onSignals: () => undefined }, answer).then((ended) => {
      result = ended;
      if (!response.headersSent) response.writeHead(502).end();
    });
  });
  await new Promise<void>((resolve) => router.listen(0, HOST, resolve));
  const address = router.address() as { port: number };
  const answered = await new Promise<boolean>((resolve) => {
    const sent = request({ host: HOST, port: address.port, agent: false }, (answer) => {
      answer.resume();
      answer.on('close', () => {
        resolve(answer.statusCode === 200 && answer.complete);
      });
    });
    sent.on('error', () => {
      resolve(false);
    });
    sent.end();
  });
  router.close();
  await pool.destroy();
  return { result, answered };
}

for (const { name, send } of CASES) {
  test(`a router: ${name}`, async (t) => {
    const backend = await startBackend(send);
    const { result, answered } = await attempt(backend.port);
    t.deepEqual(result, { kind: 'failed', failure: { kind: 'no-answer' } });
    t.false(answered);
    backend.close();
  });

  test(`an agent: ${name}`, async (t) => {
    const backend = await startBackend(send);
    const client = new BackendClient({ host: HOST, port: backend.port }, 'agent');
    const answer = await client.setDraining(true);
    t.like(answer.err ? answer.val : null, { kind: 'no-answer' });
    await client.close();
    backend.close();
  });

  test(`the operator's client: ${name}`, async (t) => {
    const backend = await startBackend(send);
    t.deepEqual(await new OperatorClient([`${HOST}:${backend.port}`], 'token').callEach('status'), []);
    backend.close();
  });
}

for (const framing of [
  `Content-Length: ${OBJECT.length}\r\n\r\n${OBJECT}`,
  'Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n',
]) {
  test(`a delimited answer is delivered: ${framing.split('\r\n')[0]}`, async (t) => {
    const backend = await startBackend((socket) => socket.write(`${HEAD}${framing}`));
    const { result, answered } = await attempt(backend.port);
    t.deepEqual(result, { kind: 'answered', statusCode: 200 });
    t.true(answered);
    backend.close();
  });
}
