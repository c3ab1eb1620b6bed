/** A sidecar with a back end and a directory, each daemon a process of its own, and the ports that a crowd of clients reaches. */
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import { freePort } from '../loopback.js';
import { startRawBackend } from '../raw-backend.js';
import { startProcess, statusOf, untilAnswered } from './client-crowd.js';

const SERVICE = 'orders';
const HEARTBEAT_MS = 200;
const MIB = 1024 * 1024;

/** Configured limit of a body; a larger one would need a larger crowd. */
export const MAX_BODY_BYTES = MIB;

/** The daemons and their ports. */
export interface CrowdWorld {
  readonly callers: number;
  readonly sidecarCalls: number;
  readonly operator: number;
  readonly sidecar: ChildProcess;
  readonly directory: ChildProcess;
  readonly ended: () => boolean;
}

let nextId = 0;

/** Makes one call with a body; returns its status. */
export async function call(
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

/** Starts the daemons; they are ended with the test. */
export async function startCrowdWorld(t: ExecutionContext): Promise<CrowdWorld> {
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
  await untilAnswered(async () => await askOrdinary(world), world.ended);
  return world;
}

/** Makes an ordinary request of a caller; returns its status. */
export async function askOrdinary({ callers }: CrowdWorld): Promise<number> {
  return await call(callers, 'GET', '/orders/one', Buffer.alloc(0));
}

/** A port that clients reach, and the daemon that serves it. */
export interface Port {
  readonly name: string;
  readonly head: string;
  readonly portOf: (world: CrowdWorld) => number;
  readonly daemonOf: (world: CrowdWorld) => ChildProcess;
}

/** The port for callers of a sidecar. */
export const CALLERS: Port = {
  name: 'callers of a sidecar',
  head: 'POST /orders/crowd HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 20000\r\n',
  portOf: ({ callers }) => callers,
  daemonOf: ({ sidecar }) => sidecar,
};
/** The port for calls of the back end. */
export const SIDECAR_CALLS: Port = {
  name: 'calls of the back end to a sidecar',
  head: 'PUT /instances/crowd HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n',
  portOf: ({ sidecarCalls }) => sidecarCalls,
  daemonOf: ({ sidecar }) => sidecar,
};
/** The port for operators of a directory. */
export const OPERATORS: Port = {
  name: 'operators of a directory',
  head: 'PUT /config HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nIf-Match: 0\r\n',
  portOf: ({ operator }) => operator,
  daemonOf: ({ directory }) => directory,
};
