/**
 * A directory and a sidecar on loopback, whose ports all receive damaged input: neither ends, and requests to a sound back
 * end are answered all the while. An exception that nothing catches fails the test.
 */
import { randomUUID } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer, request, type Server } from 'node:http';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { encodeFrameStart, FRAME_KIND } from '../../src/link/link-frame.js';
import { encodeFrame } from '../../src/transport/frame-codec.js';
import { freePort } from '../loopback.js';
import { damageBytes, damageJson } from './damage.js';
import {
  HOST,
  startDirectory,
  startSidecar,
  TOKEN,
  type DirectoryPorts,
  type SidecarPorts,
} from './loopback-daemons.js';

const SERVICE = 's';
const ROUNDS = 600;
const ROUNDS_PER_CHECK = 20;
const HEARTBEAT_MS = 100;
const CALL_TIMEOUT_MS = 1_000;
const ANSWER = 'whole';

const HEARTBEAT = {
  info: { service: SERVICE, version: 'v1', zone: 'z', slots: 6 },
  status: { state: 'ready', call_seq: 1, cold_left_s: 0 },
};
const ROUTE = {
  host: 'h',
  path_prefix: '/p/',
  route_type: 'safe',
  timeout_s: 2,
  max_attempts: 2,
  service: SERVICE,
  version: 1,
};
const CONFIGURATION = {
  upsert: {
    routes: { r: ROUTE },
    services: { [SERVICE]: { health_path: '/health', version: 1 }, keyed: { sharded: true, version: 1 } },
  },
};
const HELLO = { kind: 'hello', version: 1, token: TOKEN, role: 'sidecar', name: 'n', zone: 'z' };
const RANGE = { service: 'keyed', from: 0, to: 9, owner: 'x', fence: 1 };

/** Requests of a daemon to a directory. */
const DAEMON_REQUESTS: readonly unknown[] = [
  { kind: 'watch', fromIndex: 0 },
  {
    kind: 'register',
    instance: {
      id: 'x',
      service: 'keyed',
      zone: 'z',
      daemonAddress: '127.0.0.1:9',
      slots: 3,
      condition: 'ready',
      version: 'v',
      holder: 'p',
    },
    replaces: null,
    replacesHolder: null,
    sentMs: 1,
  },
  { kind: 'renew', id: 'x', session: 1, holder: 'p', sentMs: 1, load: [[1, 5]], usableSlots: 2 },
  { kind: 'condition', id: 'x', session: 1, condition: 'draining' },
  { kind: 'unregister', id: 'x', session: 1, holder: 'p' },
  { kind: 'released', ...RANGE, handover: 'h', holder: 'p' },
  { kind: 'raise-fence', ...RANGE, holder: 'p' },
  {
    kind: 'backend-ended',
    token: 1,
    life: 'l',
    service: 'keyed',
    version: 'v',
    runs: [{ fingerprint: 'f', alone: true }],
  },
  { kind: 'run-completed', fingerprint: 'f', version: 'v', isGood: true },
  { kind: 'run-permit', fingerprint: 'f', life: 'l', version: 'v' },
  { kind: 'permit-released', fingerprint: 'f', life: 'l', begun: true },
];

const FORWARDED = {
  requestId: 'damaged',
  method: 'GET',
  path: '/p/x',
  headers: ['host', 'h'],
  instance: 'one',
  key: null,
  route: 'r',
  priority: 0,
  repeatable: true,
  remainingMs: 500,
  patienceMs: 100,
  targetLeftMs: 500,
  spentMs: 0,
  nested: { priority: 1, remainingMs: 100 },
};

type Ports = DirectoryPorts & SidecarPorts;

function httpCall(method: string, path: string, body: unknown): Buffer {
  const text = JSON.stringify(body) ?? '';
  const length = Buffer.byteLength(text);
  return Buffer.from(`${method} ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n${text}`);
}

/** Returns the port of a target and what to send to it. */
function damagedInput(ports: Ports, random: Random): [number, Buffer] {
  const json = (value: unknown): unknown => (random.below(3) === 0 ? value : damageJson(value, random));
  const bytes = (sound: Buffer): Buffer => (random.below(2) === 0 ? sound : damageBytes(sound, random));
  switch (random.below(5)) {
    case 0:
      return [ports.callers, damageBytes(httpCall('GET', '/p/x?y', 'z'), random)];
    case 1: {
      const head = encodeFrameStart(FRAME_KIND.request, random.below(3), json(FORWARDED), 0);
      return [ports.links, bytes(head)];
    }
    case 2:
      return [ports.backendCalls, bytes(httpCall('PUT', '/instances/other', json(HEARTBEAT)))];
    case 3: {
      const message = json(random.pick(DAEMON_REQUESTS));
      return [ports.replica, Buffer.concat([encodeFrame(HELLO), bytes(encodeFrame(message))])];
    }
    default: {
      const path = random.pick(['/config', '/evacuation/%ff', '/quarantine/x', '/%ff']);
      const method = random.pick(['PUT', 'PATCH', 'POST', 'DELETE', 'GET']);
      return [ports.operator, bytes(httpCall(method, path, damageJson({ upsert: {}, remove: {} }, random)))];
    }
  }
}

async function send(port: number, bytes: Buffer): Promise<void> {
  await new Promise<void>((resolve) => {
    const socket = connect({ host: HOST, port });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve();
    });
    socket.on('data', () => socket.end());
    socket.setTimeout(20, () => socket.destroy());
    socket.write(bytes);
  });
}

async function call(port: number, method: string, path: string, body: unknown): Promise<string> {
  const text = JSON.stringify(body) ?? '';
  return await new Promise((resolve) => {
    const headers = { host: 'h', 'request-id': randomUUID(), 'content-length': Buffer.byteLength(text) };
    const sent = request({ host: HOST, port, method, path, headers, agent: false }, (answer) => {
      let received = '';
      answer.on('data', (chunk: Buffer) => (received += chunk.toString()));
      answer.on('end', () => {
        resolve(`${answer.statusCode} ${received}`);
      });
    });
    sent.on('error', (error) => {
      resolve(error.message);
    });
    sent.setTimeout(CALL_TIMEOUT_MS, () => sent.destroy(new Error('no answer')));
    sent.end(text);
  });
}

/** Starts a back end that answers every request and query. */
async function startBackend(port: number): Promise<Server> {
  const server = createServer((received, response) => {
    response.writeHead(200, {
      'request-id': received.headers['request-id'] ?? '',
      'server-seal': 'seal',
      'instance-id': 'one',
    });
    response.end(ANSWER);
  });
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  return server;
}

/** Calls until the answer is as expected; the daemons need some time for that after their start. */
async function expectAnswer(
  t: ExecutionContext,
  expected: string,
  attempt: () => Promise<string>,
): Promise<void> {
  let last = '';
  for (let count = 0; count < 400 && last !== expected; count += 1) {
    last = await attempt();
    if (last !== expected) await new Promise((resolve) => setTimeout(resolve, 25));
  }
  t.is(last, expected);
}

test('damaged input to all ports ends no daemon and cuts off no request', async (t) => {
  const random = new Random(65);
  const [callers, links, backend, backendCallsPort, replica, operator] = [
    await freePort(),
    await freePort(),
    await freePort(),
    await freePort(),
    await freePort(),
    await freePort(),
  ];
  const ports: Ports = { callers, links, backend, backendCalls: backendCallsPort, replica, operator };
  const folder = mkdtempSync(join(tmpdir(), 'aldertide-fuzz-'));
  const backendServer = await startBackend(backend);
  const stopDirectory = await startDirectory(ports, join(folder, 'data'));
  const stopSidecar = await startSidecar(ports, ports.replica, SERVICE);
  let sequence = 0;
  const heartbeats = setInterval(() => {
    sequence += 1;
    const status = { ...HEARTBEAT.status, call_seq: sequence };
    void call(backendCallsPort, 'PUT', '/instances/one', { ...HEARTBEAT, status });
  }, HEARTBEAT_MS);
  await expectAnswer(t, '200 {}', async () => await call(operator, 'PATCH', '/config', CONFIGURATION));
  const ask = async (): Promise<string> => await call(callers, 'GET', '/p/x', undefined);
  await expectAnswer(t, `200 ${ANSWER}`, ask);
  for (let round = 1; round <= ROUNDS; round += ROUNDS_PER_CHECK) {
    const inputs = Array.from({ length: ROUNDS_PER_CHECK }, () => damagedInput(ports, random));
    await Promise.all(
      inputs.map(async ([port, bytes]) => {
        await send(port, bytes);
      }),
    );
    // A damaged heartbeat or call may have replaced the back end or removed the configuration.
    await expectAnswer(t, '200 {}', async () => await call(operator, 'PATCH', '/config', CONFIGURATION));
    await expectAnswer(t, `200 ${ANSWER}`, ask);
  }
  clearInterval(heartbeats);
  await stopSidecar();
  await stopDirectory();
  backendServer.close();
  backendServer.closeAllConnections();
  rmSync(folder, { recursive: true, force: true });
});
