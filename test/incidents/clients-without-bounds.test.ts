/**
 * Crowds of clients that do not behave: large bodies at once, in small chunks, without an end. No daemon ends or outgrows its machine,
 * and an ordinary request is answered while they are connected.
 */
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { freePort } from '../loopback.js';
import { startRawBackend } from '../raw-backend.js';
import {
  announcedBeyondLimit,
  checkCrowd,
  chunkedBody,
  startCrowd,
  startProcess,
  statusOf,
  unfinishedHead,
  unfinishedLength,
  untilAnswered,
  type CrowdBody,
} from './client-crowd.js';

const SERVICE = 'orders';
const HEARTBEAT_MS = 200;
const MIB = 1024 * 1024;

/** Configured limit of a body; the pages' own would need a larger crowd. */
const MAX_BODY_BYTES = MIB;

interface World {
  readonly callers: number;
  readonly sidecarCalls: number;
  readonly operator: number;
  readonly sidecar: ChildProcess;
  readonly directory: ChildProcess;
  readonly ended: () => boolean;
}

let nextId = 0;

async function call(
  port: number,
  method: string,
  path: string,
  body: Buffer,
  chunked = false,
): Promise<number> {
  nextId += 1;
  const headers: Record<string, string> = {
    host: 'h',
    'request-id': `call-${nextId}`,
    'deadline-ms': '20000',
  };
  if (chunked) headers['transfer-encoding'] = 'chunked';
  else headers['content-length'] = String(body.length);
  return await statusOf({ port, method, path, headers }, body);
}

async function callJson(port: number, method: string, path: string, body: object): Promise<number> {
  return await call(port, method, path, Buffer.from(JSON.stringify(body)));
}

async function startWorld(t: ExecutionContext): Promise<World> {
  const backend = await startRawBackend((socket, text) => {
    const id = /^request-id: (\S+)/im.exec(text)?.[1];
    if (id === undefined) return;
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: s\r\nInstance-Id: ${SERVICE}`;
    socket.write(`${head}\r\nContent-Length: 2\r\n\r\nok`);
  });
  const folder = mkdtempSync(join(tmpdir(), 'aldertide-crowd-'));
  const [replica, operator] = [await freePort(), await freePort()];
  const [callers, links, backendCalls] = [await freePort(), await freePort(), await freePort()];
  const directory = await startProcess('./directory-process.js', [
    JSON.stringify({ replica, operator }),
    join(folder, 'data'),
  ]);
  const ports = { callers, links, backendCalls, backend: backend.port };
  const sidecar = await startProcess('./sidecar-process.js', [
    JSON.stringify(ports),
    String(replica),
    SERVICE,
  ]);
  let hasEnded = false;
  for (const child of [directory, sidecar]) child.once('exit', () => (hasEnded = true));
  let sequence = 0;
  const heartbeats = setInterval(() => {
    sequence += 1;
    const info = { service: SERVICE, version: 'v', zone: 'z', slots: 50 };
    const status = { state: 'ready', call_seq: sequence, cold_left_s: 0 };
    void callJson(backendCalls, 'PUT', `/instances/${SERVICE}`, { info, status });
  }, HEARTBEAT_MS);
  t.teardown(() => {
    clearInterval(heartbeats);
    for (const child of [sidecar, directory]) child.kill('SIGKILL');
    backend.close();
    rmSync(folder, { recursive: true, force: true });
  });
  const world = { callers, sidecarCalls: backendCalls, operator, sidecar, directory, ended: () => hasEnded };
  const service = { health_path: '/health', max_connections: 100, version: 1 };
  const route = { host: 'h', path_prefix: '/orders/', route_type: 'safe', service: SERVICE, timeout_s: 20 };
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: MAX_BODY_BYTES,
    header_timeout_s: 3,
    idle_timeout_s: 15,
    version: 1,
  };
  const routes = { orders: { ...route, max_attempts: 2, version: 1 } };
  const change = { upsert: { routes, services: { [SERVICE]: service }, limits } };
  await untilAnswered(async () => await callJson(operator, 'PATCH', '/config', change), world.ended);
  await untilAnswered(async () => await ask(world), world.ended);
  return world;
}

async function ask({ callers }: World): Promise<number> {
  return await call(callers, 'GET', '/orders/one', Buffer.alloc(0));
}

/** A port that clients reach, and the daemon that serves it. */
interface Port {
  readonly name: string;
  readonly head: string;
  readonly portOf: (world: World) => number;
  readonly daemonOf: (world: World) => ChildProcess;
}

const CALLERS: Port = {
  name: 'callers of a sidecar',
  head: 'POST /orders/crowd HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 20000\r\n',
  portOf: ({ callers }) => callers,
  daemonOf: ({ sidecar }) => sidecar,
};
const SIDECAR_CALLS: Port = {
  name: 'calls of the back end to a sidecar',
  head: 'PUT /instances/crowd HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n',
  portOf: ({ sidecarCalls }) => sidecarCalls,
  daemonOf: ({ sidecar }) => sidecar,
};
const OPERATORS: Port = {
  name: 'operators of a directory',
  head: 'PUT /config HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nIf-Match: 0\r\n',
  portOf: ({ operator }) => operator,
  daemonOf: ({ directory }) => directory,
};

const CALLER_CROWDS: readonly CrowdBody[] = [
  unfinishedLength(240, MAX_BODY_BYTES, MAX_BODY_BYTES),
  unfinishedLength(240, MAX_BODY_BYTES, 16 * 1024),
  chunkedBody(240, MAX_BODY_BYTES - 64 * 1024, 64 * 1024, false),
  chunkedBody(240, MAX_BODY_BYTES - 64 * 1024, 64 * 1024, true),
  chunkedBody(60, 128 * 1024, 1, false),
  chunkedBody(60, 128 * 1024, 1, true),
  announcedBeyondLimit(60, 4 * MIB),
  chunkedBody(60, 4 * MIB, 64 * 1024, false),
  unfinishedHead(240, 15_000, 100),
];
const OPERATOR_CROWDS: readonly CrowdBody[] = [
  unfinishedLength(240, MIB, MIB),
  chunkedBody(60, 128 * 1024, 1, false),
  chunkedBody(40, 8 * MIB, 64 * 1024, false),
  unfinishedHead(240, 15_000, 100),
];

const CASES: readonly (readonly [Port, CrowdBody])[] = [
  ...CALLER_CROWDS.map((crowd) => [CALLERS, crowd] as const),
  ...OPERATOR_CROWDS.map((crowd) => [SIDECAR_CALLS, crowd] as const),
  ...OPERATOR_CROWDS.map((crowd) => [OPERATORS, crowd] as const),
];

for (const [port, crowd] of CASES) {
  test.serial(`${port.name}: ${crowd.name}`, async (t) => {
    const world = await startWorld(t);
    await checkCrowd(t, port.head, crowd, {
      port: port.portOf(world),
      daemon: port.daemonOf(world),
      ended: world.ended,
      ask: async () => await ask(world),
    });
  });
}

test.serial(
  'a single body of the largest size is served in calm, whole and in chunks of one byte',
  async (t) => {
    const world = await startWorld(t);
    const body = Buffer.alloc(MAX_BODY_BYTES, 'b');
    t.is(await call(world.callers, 'POST', '/orders/large', body), 200);
    const [socket] = startCrowd(world.callers, CALLERS.head, chunkedBody(1, MAX_BODY_BYTES / 8, 1, true));
    const status = await new Promise<string>((resolve) => {
      socket?.once('data', (chunk: Buffer) => {
        resolve(chunk.toString('latin1', 9, 12));
      });
    });
    t.is(status, '200');
    socket?.destroy();
  },
);
