/**
 * Guards against a status line that is none and is read as one: `2000 OK` and `200OK` reached callers as a sealed 200, `5000` as
 * 500, and a request whose answer began with `1000` waited until its deadline. RFC 9112, 4: a status has three digits, and a space
 * or the end of the line behind them.
 */
import test from 'ava';
import { request } from 'node:http';
import { Pool } from 'undici';
import { BackendClient } from '../../src/agent/backend-client.js';
import { OperatorClient } from '../../src/cli/operator-client.js';
import { backendCalls } from '../../platform/heartbeat-calls.js';
import { Random } from '../../lab/random.js';
import { startRawBackend } from '../raw-backend.js';
import { FAST_LINK_BYTES_PER_MS, pathOf, startWorld } from './linked-daemons.js';

const HOST = '127.0.0.1';
const DEADLINE_MS = 4_000;
const SEED = 85;
const DRAWN = 60;

/** Part of the deadline within which an answer that is none must fail. */
const MAX_WAIT_MS = DEADLINE_MS / 2;

/** Texts in place of status and reason, none of which is a status. */
const INVALID: readonly string[] = [
  ...[
    '000',
    '001',
    '099',
    '00',
    '-200',
    '+200',
    '',
    '2000 OK',
    '200OK',
    '5000',
    '1000',
    '1000 Continue',
    '0200 OK',
  ],
  ...[
    '20 OK',
    '2OO OK',
    ' 200 OK',
    '200,OK',
    '200.0 OK',
    '0x200',
    '２００ OK',
    '200\tOK',
    '20\u00b2 OK',
    '200-OK',
  ],
];

/** Texts that are a status, and the status. */
const VALID: readonly (readonly [string, number])[] = [
  ['200 OK', 200],
  ['200 ', 200],
  ['200', 200],
  ['200  two spaces', 200],
  ['404 Not Found', 404],
  ['500 2000', 500],
  ['599 Odd', 599],
  ['600 Odd', 600],
  ['999 Odd', 999],
];

/** Texts around a status that are drawn: digits and other characters before, in and behind it. */
function drawText(random: Random): string {
  const status = random.pick(['200', '201', '100', '103', '204', '404', '500', '503', '600']);
  const other = random.pick(['0', '7', '00', 'x', '.', '-', ',', ';', '_', '/']);
  return random.pick([
    `${status}${other} OK`,
    `${status}${other}`,
    `${other}${status} OK`,
    `${status}${other}OK`,
  ]);
}

interface Seen {
  readonly status: number;
  readonly ms: number;
}

async function ask(port: number, path: string, requestId: string): Promise<Seen> {
  const startMs = performance.now();
  return await new Promise((resolve) => {
    const finish = (status: number): void => {
      resolve({ status, ms: performance.now() - startMs });
    };
    const headers = { host: 'h', 'request-id': requestId, 'deadline-ms': String(DEADLINE_MS) };
    const sent = request({ host: HOST, port, path, headers, agent: false }, (answer) => {
      answer.resume();
      answer.on('close', () => {
        finish(answer.complete ? (answer.statusCode ?? 0) : 0);
      });
    });
    sent.on('error', () => {
      finish(0);
    });
    sent.end();
  });
}

test('callers get no answer for a status line that is none, and others as they came', async (t) => {
  const services = { stock: { backends: 1, routeType: 'non_idempotent' } } as const;
  const world = await startWorld(t, { services, linkBytesPerMs: FAST_LINK_BYTES_PER_MS, graceMs: 300 });
  const random = new Random(SEED);
  const drawn = Array.from({ length: DRAWN }, () => drawText(random));
  let count = 0;
  const answerTo = async (text: string): Promise<Seen> => {
    count += 1;
    const path = pathOf('stock', { statusLine: `HTTP/1.1 ${text}` });
    return await ask(world.callersPort, path, `status-${count}`);
  };
  for (const text of [...INVALID, ...drawn]) {
    const { status, ms } = await answerTo(text);
    t.is(status, 502, JSON.stringify(text));
    t.true(ms < MAX_WAIT_MS, `${JSON.stringify(text)}: ${Math.round(ms)} ms`);
    t.is((await answerTo('200 OK')).status, 200, `after ${JSON.stringify(text)}`);
  }
  for (const [text, status] of VALID) t.is((await answerTo(text)).status, status, JSON.stringify(text));
});

test('calls to a back end take no status line that is none for an answer', async (t) => {
  for (const text of INVALID) {
    const backend = await startRawBackend((socket, received) => {
      const id = /^request-id: (\S+)/im.exec(received)?.[1] ?? '';
      socket.write(`HTTP/1.1 ${text}\r\nRequest-Id: ${id}\r\nInstance-Id: one\r\nContent-Length: 0\r\n\r\n`);
    });
    const calls = backendCalls({ host: HOST, port: backend.port });
    const range = { from: 0, to: 9, fence: 1, handover: '' };
    t.is(await calls.identify('/health', 'one'), null, JSON.stringify(text));
    t.is(await calls.grant('one', range, 1_000), 'unanswered', JSON.stringify(text));
    backend.close();
  }
});

test("the routers' stack takes no status line that is none for an answer", async (t) => {
  for (const text of INVALID) {
    const backend = await startRawBackend((socket) => {
      socket.write(`HTTP/1.1 ${text}\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}`);
    });
    const pool = new Pool(`http://${HOST}:${backend.port}`);
    await t.throwsAsync(pool.request({ method: 'GET', path: '/' }), undefined, JSON.stringify(text));
    await pool.destroy();
    const agent = new BackendClient({ host: HOST, port: backend.port }, 'agent');
    t.true((await agent.setDraining(true)).err, JSON.stringify(text));
    await agent.close();
    const operator = new OperatorClient([`${HOST}:${backend.port}`], 'token');
    t.deepEqual(await operator.callEach('status'), [], JSON.stringify(text));
    backend.close();
  }
});
