/** A callers' sidecar and sidecars beside back ends whose answers are scripted by the requests, over links of a stated bandwidth. */
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { connect, createServer, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import type { SidecarNode } from '../../src/sidecar/sidecar-node.js';
import { SILENT_EVENT_LOG, type EventFields } from '../../src/telemetry/event-log.js';
import { HOST, startDirectory, startSidecar, type SidecarPorts } from '../fuzz/loopback-daemons.js';
import { freePort } from '../loopback.js';
import { startRawBackend } from '../raw-backend.js';
import { KeptConnection } from './kept-connection.js';

/** Link of 8.6 Mbit/s, in bytes per ms. */
export const SLOW_LINK_BYTES_PER_MS = 1_075;

/** A link on which nothing is paced. */
export const FAST_LINK_BYTES_PER_MS = 100_000;

/** Address of the links of the sidecars beside back ends, which differs from that of the callers' sidecar. */
const REMOTE_HOST = '127.0.0.2';

const SLOTS = 100;
const HEARTBEAT_MS = 100;
const PAUSE_MS = 20;

/** Interval between the parts of an answer that is sent over some time. */
const FLOW_MS = 10;

/** What a back end answers. */
export interface AnswerScript {
  /** Status line without its end. */
  readonly statusLine: string;
  readonly bytes: number;
  readonly framing: 'length' | 'chunked' | 'close';
  /** Time until the answer begins. */
  readonly workMs: number;
  /** Time from its beginning to its last byte. */
  readonly flowMs: number;
  /** Number of bytes of the body after which the back end closes the connection; null if it does not. */
  readonly closesAfter: number | null;
}

/** Answer of a few bytes that is given at once. */
export const SMALL_ANSWER: AnswerScript = {
  statusLine: 'HTTP/1.1 200 OK',
  bytes: 20,
  framing: 'length',
  workMs: 0,
  flowMs: 0,
  closesAfter: null,
};

/** Path of a request to a service that is answered as stated. */
export function pathOf(service: string, script: Partial<AnswerScript>): string {
  const text = JSON.stringify({ ...SMALL_ANSWER, ...script });
  return `/${service}/${Buffer.from(text).toString('base64url')}`;
}

function scriptOf(path: string): AnswerScript {
  const text = /^\/[^/]+\/([\w-]+)$/.exec(path)?.[1];
  if (text === undefined) return SMALL_ANSWER;
  return JSON.parse(Buffer.from(text, 'base64url').toString()) as AnswerScript;
}

export async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until a condition holds. */
export async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await holds())) await pause(PAUSE_MS);
}

/** Returns the status of the answer; 0 without one. */
async function call(port: number, method: string, path: string, body: object): Promise<number> {
  const text = JSON.stringify(body);
  const headers = { host: 'h', 'content-length': String(Buffer.byteLength(text)) };
  return await new Promise((resolve) => {
    const sent = request({ host: HOST, port, method, path, headers, agent: false }, (answer) => {
      answer.resume();
      answer.on('close', () => {
        resolve(answer.statusCode ?? 0);
      });
    });
    sent.on('error', () => {
      resolve(0);
    });
    sent.end(text);
  });
}

/** How far a back end has come with a request. */
export type RunState = 'begun' | 'answered' | 'closed';

/** What became of a request at its back end. */
export interface Run {
  state: RunState;
  /** When it arrived there first, on the clock of `performance.now`, in ms. */
  readonly beganAtMs: number;
}

/** Gives one answer over the time that its script states. */
class ScriptedAnswer {
  private sent = 0;
  private readonly startMs = performance.now();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly socket: Socket,
    private readonly script: AnswerScript,
    private readonly onEnd: (state: RunState) => void,
  ) {
    this.timer = setInterval(() => {
      this.sendDue();
    }, FLOW_MS);
    this.sendDue();
  }

  private sendDue(): void {
    const { bytes, flowMs, closesAfter, framing } = this.script;
    if (this.socket.destroyed) {
      this.finish('closed');
      return;
    }
    const elapsedMs = performance.now() - this.startMs;
    const share = flowMs === 0 ? 1 : Math.min(1, elapsedMs / flowMs);
    const due = Math.min(closesAfter ?? bytes, Math.floor(bytes * share));
    if (due > this.sent) this.write(due - this.sent);
    this.sent = due;
    if (closesAfter !== null && due === closesAfter) {
      this.socket.destroySoon();
      this.finish('closed');
    } else if (share === 1) {
      if (framing === 'chunked') this.socket.write('0\r\n\r\n');
      if (framing === 'close') this.socket.end();
      this.finish('answered');
    }
  }

  private write(bytes: number): void {
    const part = Buffer.alloc(bytes, 'b');
    if (this.script.framing !== 'chunked') this.socket.write(part);
    else
      this.socket.write(Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), part, Buffer.from('\r\n')]));
  }

  private finish(state: RunState): void {
    clearInterval(this.timer);
    this.onEnd(state);
  }
}

/** Requests that reached a back end, by their ids. */
export type Runs = Map<string, Run>;

interface Stoppable {
  readonly stop: () => Promise<void>;
}

/** A back end and the sidecar beside it. */
interface Side extends Stoppable {
  readonly backendCalls: number;
  readonly service: string;
  readonly instance: string;
}

/** A service that is routed by its name as the path prefix. */
export interface ServiceOptions {
  readonly backends: number;
  readonly routeType: 'safe' | 'non_idempotent' | 'download';
}

/** Services by their names. */
export type Services = Readonly<Record<string, ServiceOptions>>;

/** Options of the daemons. */
export interface WorldOptions {
  readonly services: Services;
  readonly linkBytesPerMs: number;
  readonly graceMs: number;
  /** Whether the links lead through a relay that can cut them. */
  readonly relayed?: boolean;
}

/** Running daemons. */
export interface World {
  readonly callersPort: number;
  readonly runs: Runs;
  /** Applies a change of the configuration; returns the status. */
  readonly configure: (change: object) => Promise<number>;
  /** Stops the callers' sidecar, or one beside a back end of a service. */
  readonly stopFront: () => Promise<void>;
  readonly stopBeside: (service: string) => Promise<void>;
  /** Reloads the settings of all sidecars. */
  readonly reload: () => void;
  /** Resets the links that lead through a relay. */
  readonly cutLinks: () => void;
  /** Failures that the callers' sidecar has logged. */
  readonly failures: readonly LoggedFailure[];
}

/** A logged failure. */
export interface LoggedFailure {
  readonly name: string;
  readonly fields: EventFields;
}

/** Passes the bytes of links on until it cuts them. */
interface Relay {
  readonly port: number;
  readonly cut: () => void;
  readonly close: () => void;
}

async function startRelay(linkPort: number): Promise<Relay> {
  const sockets = new Set<Socket>();
  const keep = (socket: Socket): void => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  };
  const server = createServer((near) => {
    const far = connect({ host: REMOTE_HOST, port: linkPort, localAddress: HOST });
    keep(near);
    keep(far);
    near.pipe(far).pipe(near);
    near.once('close', () => far.destroy());
    far.once('close', () => near.destroy());
  });
  const port = await freePort();
  await new Promise<void>((resolve) => server.listen(port, REMOTE_HOST, resolve));
  const cut = (): void => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  const close = (): void => {
    server.close();
    cut();
  };
  return { port, cut, close };
}

async function startBackend(instance: string, runs: Runs): Promise<{ port: number; close: () => void }> {
  return await startRawBackend((socket, text) => {
    const id = /^request-id: (\S+)/im.exec(text)?.[1] ?? '';
    const script = scriptOf(text.split(' ')[1] ?? '');
    const framing = {
      length: `Content-Length: ${script.bytes}\r\n`,
      chunked: 'Transfer-Encoding: chunked\r\n',
      close: 'Connection: close\r\n',
    }[script.framing];
    const run: Run = { state: 'begun', beganAtMs: runs.get(id)?.beganAtMs ?? performance.now() };
    runs.set(id, run);
    setTimeout(() => {
      if (socket.destroyed) {
        run.state = 'closed';
        return;
      }
      socket.write(
        `${script.statusLine}\r\nRequest-Id: ${id}\r\nServer-Seal: s\r\nInstance-Id: ${instance}\r\n${framing}\r\n`,
      );
      new ScriptedAnswer(socket, script, (state) => (run.state = state));
    }, script.workMs);
  });
}

function onlyOnce(stop: () => Promise<void>): () => Promise<void> {
  let stopped: Promise<void> | null = null;
  return async () => {
    stopped ??= stop();
    await stopped;
  };
}

async function portsWith(backend: number): Promise<SidecarPorts> {
  return { callers: await freePort(), links: await freePort(), backendCalls: await freePort(), backend };
}

/** Routes to services, with the version of their definition. */
export function routesTo(services: Services, version = 1, timeoutS = 30): Record<string, object> {
  const common = { host: 'h', timeout_s: timeoutS, max_attempts: 2, version };
  return Object.fromEntries(
    Object.entries(services).map(([service, { routeType }]) => [
      service,
      { ...common, route_type: routeType, path_prefix: `/${service}/`, service },
    ]),
  );
}

/** Definitions of services, with their version. */
export function definitionsOf(
  names: readonly string[],
  version = 1,
  connections = 200,
): Record<string, object> {
  const definition = { health_path: '/health', max_connections: connections, version };
  return Object.fromEntries(names.map((name) => [name, definition]));
}

/** Starts the daemons, and returns once every service has answered. */
export async function startWorld(t: ExecutionContext, options: WorldOptions): Promise<World> {
  const { linkBytesPerMs, graceMs, services } = options;
  const runs: Runs = new Map();
  const failures: LoggedFailure[] = [];
  const nodes: SidecarNode[] = [];
  const onStarted = (node: SidecarNode): void => void nodes.push(node);
  const folder = mkdtempSync(join(tmpdir(), 'aldertide-linked-'));
  const [replica, operator] = [await freePort(), await freePort()];
  const stopDirectory = await startDirectory({ replica, operator }, join(folder, 'data'));
  const frontPorts = await portsWith(await freePort());
  const log = {
    ...SILENT_EVENT_LOG,
    failure: (name: string, fields: EventFields) => failures.push({ name, fields }),
  };
  const common = { linkBytesPerMs, graceMs, onStarted };
  const stopFront = onlyOnce(
    await startSidecar(frontPorts, replica, 'front', { ...common, linkHost: HOST, log }),
  );
  const sides: Side[] = [];
  const relays: Relay[] = [];
  for (const [service, { backends }] of Object.entries(services)) {
    for (let number = 0; number < backends; number += 1) {
      const instance = `${service}-${number}`;
      const backend = await startBackend(instance, runs);
      const ports = await portsWith(backend.port);
      const relay = options.relayed === true ? await startRelay(ports.links) : null;
      if (relay !== null) relays.push(relay);
      const stop = await startSidecar(ports, replica, service, {
        ...common,
        name: `sidecar-${instance}`,
        linkHost: REMOTE_HOST,
        advertisedLinks: relay === null ? null : { host: REMOTE_HOST, port: relay.port },
      });
      const stopBoth = onlyOnce(async () => {
        await stop();
        backend.close();
      });
      sides.push({ backendCalls: ports.backendCalls, service, instance, stop: stopBoth });
    }
  }
  const heartbeats = startHeartbeats(sides);
  t.teardown(async () => {
    clearInterval(heartbeats);
    await Promise.all([stopFront(), ...sides.map(async ({ stop }) => await stop())]);
    for (const relay of relays) relay.close();
    await stopDirectory();
    rmSync(folder, { recursive: true, force: true });
  });
  const configure = async (change: object): Promise<number> =>
    await call(operator, 'PATCH', '/config', change);
  const names = Object.keys(services);
  const first = { routes: routesTo(services), services: definitionsOf([...names, 'front']) };
  await until(async () => (await configure({ upsert: first })) === 200);
  for (const name of names) await waitForService(frontPorts.callers, name);
  return {
    callersPort: frontPorts.callers,
    runs,
    failures,
    configure,
    stopFront,
    stopBeside: async (name) => await sides.find((side) => side.service === name)?.stop(),
    reload: () => {
      for (const node of nodes) node.reload([`${HOST}:${replica}`]);
    },
    cutLinks: () => {
      for (const relay of relays) relay.cut();
    },
  };
}

function startHeartbeats(sides: readonly Side[]): NodeJS.Timeout {
  let sequence = 0;
  return setInterval(() => {
    sequence += 1;
    for (const { backendCalls, service, instance } of sides) {
      const info = { service, version: 'v', zone: 'z', slots: SLOTS };
      const status = { state: 'ready', call_seq: sequence, cold_left_s: 0 };
      void call(backendCalls, 'PUT', `/instances/${instance}`, { info, status });
    }
  }, HEARTBEAT_MS);
}

async function waitForService(port: number, service: string): Promise<void> {
  const connection = new KeptConnection(HOST, port);
  let count = 0;
  await until(async () => {
    count += 1;
    const probe = connection.send(`probe-${service}-${count}`, pathOf(service, {}), 500);
    await connection.settled(probe);
    return probe.status === 200;
  });
  connection.destroy();
}
