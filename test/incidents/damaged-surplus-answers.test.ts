/**
 * A surplus answer whose head is damaged does not answer the request that is due on its connection: otherwise a caller is
 * told that a request was not run while the back end runs it.
 */
import type { Socket } from 'node:net';
import test from 'ava';
import { Random } from '../../lab/random.js';
import { backendCalls } from '../../platform/heartbeat-calls.js';
import type { BackendRequest } from '../../src/sidecar/backend-connection.js';
import { BackendPool } from '../../src/sidecar/backend-pool.js';
import { startScriptedBackend } from './scripted-backend.js';

const HOST = '127.0.0.1';
const CASES = 300;

/** Ids that no damage to a few bytes of the other one yields. */
const FIRST_ID = 'c0a8-first-7f31';
const SECOND_ID = '95d2-other-0b6e';

const REJECTIONS = ['503 Service Unavailable', '429 Too Many Requests', '421 Misdirected Request'] as const;
const ANSWERS = [...REJECTIONS, '400 Bad Request', '500 Failed', '200 OK'] as const;

interface Outcome {
  readonly kind: 'answered' | 'broken';
  readonly status: number;
  readonly body: string;
}

function answerHead(status: string, requestId: string, extra = ''): string {
  return `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\n${extra}`;
}

/** Damages the line of the id, or any byte of the head. */
function damage(answer: string, random: Random): Buffer {
  const kind = random.below(4);
  if (kind === 0) return Buffer.from(answer.replace(/Request-Id: [^\r]*\r\n/, ''));
  const bytes = Buffer.from(answer);
  const idAt = answer.indexOf('Request-Id');
  const at = kind === 1 ? random.below(bytes.length) : idAt + random.below('Request-Id: '.length);
  if (kind === 3) return Buffer.concat([bytes.subarray(0, at), bytes.subarray(at + 1)]);
  bytes[at] = random.below(256);
  return bytes;
}

function requestOf(requestId: string): BackendRequest {
  const headers = ['Request-Id', requestId];
  return { method: 'POST', path: '/', headers, body: Buffer.alloc(0), requestId, repeatable: false };
}

async function run(pool: BackendPool, requestId: string): Promise<Outcome> {
  return await new Promise((resolve) => {
    let status = 0;
    let body = '';
    pool.run(requestOf(requestId), {
      onAnswer: ({ statusCode }) => (status = statusCode),
      onBody: (chunk) => (body += chunk.toString()),
      onEnd: () => {
        resolve({ kind: 'answered', status, body });
      },
      onBroken: () => {
        resolve({ kind: 'broken', status: 0, body: '' });
      },
    });
  });
}

test('a damaged surplus answer does not answer another request, nor the same one sent again', async (t) => {
  for (let seed = 1; seed <= CASES; seed += 1) {
    const random = new Random(seed);
    const status = random.pick(ANSWERS);
    const notExecuted = status.startsWith('200') || status.startsWith('500') ? '' : 'Not-Executed: 1\r\n';
    const answer = `${answerHead(status, FIRST_ID, notExecuted)}Content-Length: 0\r\n\r\n`;
    const secondId = random.below(3) === 0 ? FIRST_ID : SECOND_ID;
    const trueAnswer = Buffer.from(`${answerHead('200 OK', secondId)}Content-Length: 4\r\n\r\ntrue`);
    let firstSocket: Socket | null = null;
    const { server, port } = await startScriptedBackend(({ socket }) => {
      if (firstSocket === null) {
        firstSocket = socket;
        socket.write(answer);
        return;
      }
      const surplus = damage(answer, random);
      const comesAlone = random.below(2) === 0;
      if (socket !== firstSocket) firstSocket.write(surplus);
      else if (comesAlone) socket.write(surplus);
      const due = socket === firstSocket && !comesAlone ? Buffer.concat([surplus, trueAnswer]) : trueAnswer;
      // Damage to the length may leave the answer incomplete, so the connection ends.
      setImmediate(() => {
        if (!socket.destroyed) socket.end(due);
      });
    });
    const pool = new BackendPool(
      { host: HOST, port },
      { requestId: 'request-id' },
      () => performance.now(),
      () => undefined,
    );
    const first = await run(pool, FIRST_ID);
    t.is(first.status, Number(status.slice(0, 3)));
    const second = await run(pool, secondId);
    if (second.kind === 'answered')
      t.deepEqual(second, { kind: 'answered', status: 200, body: 'true' }, `seed ${seed}`);
    pool.destroy();
    server.close();
  }
});

test('a rejection without an id on a used connection answers no key call', async (t) => {
  const range = { from: 0, to: 9, fence: 7, handover: '' };
  for (const status of REJECTIONS) {
    const used = new Set<Socket>();
    const { server, port } = await startScriptedBackend(({ socket, requestId }) => {
      const surplus = `HTTP/1.1 ${status}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
      const headers = 'Handover: h\r\nInstance-Id: i\r\nContent-Length: 0\r\n';
      const own = `${answerHead('200 OK', requestId ?? '', headers)}\r\n`;
      socket.write(used.has(socket) ? surplus + own : own);
      used.add(socket);
    });
    const calls = backendCalls({ host: HOST, port });
    for (let round = 0; round < 3; round += 1) {
      t.is(await calls.grant('i', range, 5_000), 'granted', status);
      t.is(await calls.release('i', range), 'h', status);
      t.true((await calls.identify('/health', 'one'))?.isHealthy, status);
    }
    for (const socket of used) socket.destroy();
    server.close();
  }
});
