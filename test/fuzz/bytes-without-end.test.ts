/**
 * A back end sends bytes without end as answers, downloads, health checks and answers to grants, through two daemons: each
 * connection is closed, each caller has an outcome, memory is bounded, and sound requests are answered all the while.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { createServer, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { freePort } from '../loopback.js';
import { ENDLESS_KINDS, sendWithoutEnd, type EndlessKind } from './endless-bytes.js';
import { HOST, startDirectory, startSidecar, type SidecarPorts } from './loopback-daemons.js';

const SEEDS = [67, 68];
const REQUESTS_AT_ONCE = 3;
const HEARTBEAT_MS = 100;
const DEADLINE_MS = 700;
const CALL_TIMEOUT_MS = 10_000;
const SAMPLE_MS = 20;

/** Memory of the smallest machine of a sidecar; all daemons of this process together stay below it. */
const MAX_GROWTH_BYTES = 250 * 1024 * 1024;

const SOUND = 'sound';
const ODD = 'odd';
const KEYED = 'keyed';
const ROUTE_TYPES = ['safe', 'non_idempotent', 'download'];
const SOUND_ANSWER = '200 ok';

/**
 * Bytes that one connection takes at most of what is no answer: what a daemon reads of it, and what the buffers of two
 * sockets hold.
 */
const MAX_TAKEN_BYTES = 24 * 1024 * 1024;

/** A back end whose answers to some paths have no end. */
interface OddBackend {
  readonly port: number;
  /** Connections on which endless bytes were sent and which are still open. */
  readonly pouring: Set<Socket>;
  /** Number of connections on which endless bytes were sent. */
  poured: number;
  /** Most bytes that a connection has taken of what is no answer. */
  mostTakenBytes: number;
  /** Whether answers to health checks and grants have no end. */
  callsAreEndless: boolean;
  readonly close: () => void;
}

async function startOddBackend(id: string, random: Random): Promise<OddBackend> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.once('close', () => {
      sockets.delete(socket);
      backend.pouring.delete(socket);
    });
    socket.on('data', (received: Buffer) => {
      answer(socket, received.toString('latin1'));
    });
  });
  const answer = (socket: Socket, text: string): void => {
    const [, path = ''] = /^\S+ (\S+)/.exec(text) ?? [];
    const [, requestId = ''] = /^request-id: (\S+)/im.exec(text) ?? [];
    const isCall = path === '/health' || path === '/grant' || path === '/release';
    const kind = isCall && backend.callsAreEndless ? random.pick(ENDLESS_KINDS) : kindOf(path);
    if (kind === null) {
      const headers = `Request-Id: ${requestId}\r\nServer-Seal: s\r\nInstance-Id: ${id}\r\nContent-Length: 2`;
      socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n\r\nok`);
      return;
    }
    backend.poured += 1;
    backend.pouring.add(socket);
    const takenBefore = socket.bytesWritten - socket.writableLength;
    socket.once('close', () => {
      if (kind.isAnswer === true && !isCall) return;
      const taken = socket.bytesWritten - socket.writableLength - takenBefore;
      backend.mostTakenBytes = Math.max(backend.mostTakenBytes, taken);
    });
    sendWithoutEnd(socket, kind, requestId, random);
  };
  const port = await freePort();
  const backend: OddBackend = {
    port,
    pouring: new Set(),
    poured: 0,
    mostTakenBytes: 0,
    callsAreEndless: false,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  return backend;
}

function kindOf(path: string): EndlessKind | null {
  const [, index] = /\/endless-(\d+)/.exec(path) ?? [];
  return index === undefined ? null : (ENDLESS_KINDS[Number(index)] ?? null);
}

interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** Returns status and body; `reset` if the answer ends early, and `closed` if there is none. */
async function call(port: number, { method, path, headers = {}, body }: Call): Promise<string> {
  const text = body === undefined ? '' : JSON.stringify(body);
  return await new Promise((resolve) => {
    const allHeaders = { host: 'h', 'content-length': String(Buffer.byteLength(text)), ...headers };
    const options = { host: HOST, port, method, path, headers: allHeaders, agent: false };
    const sent = request(options, (answer) => {
      let start = '';
      answer.on('data', (chunk: Buffer) => {
        if (start.length < 100) start += chunk.toString('latin1');
      });
      answer.on('error', () => undefined);
      answer.on('close', () => {
        resolve(answer.complete ? `${answer.statusCode} ${start.slice(0, 100)}` : 'reset');
      });
    });
    sent.on('error', () => {
      resolve('closed');
    });
    sent.setTimeout(CALL_TIMEOUT_MS, () => sent.destroy());
    sent.end(text);
  });
}

/** Waits until a condition holds; the time limit is that of the test. */
async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await holds())) await new Promise((resolve) => setTimeout(resolve, SAMPLE_MS));
}

function configuration(): object {
  const common = { host: 'h', timeout_s: 2, max_attempts: 2, version: 1 };
  const odd = ROUTE_TYPES.map((type) => [
    type,
    { ...common, path_prefix: `/${type}/`, route_type: type, service: ODD },
  ]);
  const others = [SOUND, KEYED].map((service) => [
    service,
    { ...common, path_prefix: `/${service}/`, route_type: 'safe', service },
  ]);
  const service = { health_path: '/health', max_connections: 100, version: 1 };
  return {
    upsert: {
      routes: Object.fromEntries([...odd, ...others]) as object,
      services: {
        [SOUND]: service,
        [ODD]: service,
        [KEYED]: { ...service, sharded: true, warm_s: 0, grants: 'invoke' },
      },
    },
  };
}

/** A directory, and a sidecar with its back end for each service. */
class World {
  readonly backends = new Map<string, OddBackend>();
  readonly sidecars = new Map<string, SidecarPorts>();
  private readonly stops: (() => Promise<void> | void)[] = [];
  private nextId = 0;
  private sequence = 0;

  constructor(private readonly random: Random) {}

  async start(): Promise<void> {
    const [replica, operator] = [await freePort(), await freePort()];
    const folder = mkdtempSync(join(tmpdir(), 'aldertide-endless-'));
    const stopDirectory = await startDirectory({ replica, operator }, join(folder, 'data'));
    for (const service of [SOUND, ODD, KEYED]) {
      const backend = await startOddBackend(service, this.random);
      const [callers, links, backendCalls] = [await freePort(), await freePort(), await freePort()];
      const ports = { callers, links, backendCalls, backend: backend.port };
      this.backends.set(service, backend);
      this.sidecars.set(service, ports);
      this.stops.push(await startSidecar(ports, replica, service), backend.close);
    }
    this.stops.push(stopDirectory, () => {
      rmSync(folder, { recursive: true, force: true });
    });
    const timer = setInterval(() => {
      for (const service of this.sidecars.keys()) void this.heartbeat(service, service);
    }, HEARTBEAT_MS);
    this.stops.unshift(() => {
      clearInterval(timer);
    });
    const change = { method: 'PATCH', path: '/config', body: configuration() };
    await until(async () => (await call(operator, change)) === '200 {}');
    for (const path of ['/sound/a', '/safe/a', '/keyed/a'])
      await until(async () => (await this.ask(SOUND, path)) === SOUND_ANSWER);
  }

  /** Sends a request to the sidecar of a service. */
  async ask(at: string, path: string): Promise<string> {
    this.nextId += 1;
    const headers = {
      'request-id': `r-${this.nextId}`,
      'deadline-ms': String(path.includes('endless') ? DEADLINE_MS : CALL_TIMEOUT_MS),
      'shard-key': '7',
    };
    const port = this.sidecars.get(at)?.callers ?? 0;
    return await call(port, { method: path.startsWith('/non_') ? 'POST' : 'GET', path, headers });
  }

  async heartbeat(service: string, id: string): Promise<string> {
    this.sequence += 1;
    const info = { service, version: 'v', zone: 'z', slots: 20 };
    const status = { state: 'ready', call_seq: this.sequence, cold_left_s: 0 };
    const port = this.sidecars.get(service)?.backendCalls ?? 0;
    return await call(port, { method: 'PUT', path: `/instances/${id}`, body: { info, status } });
  }

  backend(service: string): OddBackend {
    const backend = this.backends.get(service);
    if (backend === undefined) throw new Error(`no back end of ${service}`);
    return backend;
  }

  async stop(): Promise<void> {
    for (const stop of this.stops) await stop();
  }
}

/** Largest growth of the memory of this process since the start. */
class MemoryPeak {
  growthBytes = 0;
  private readonly start = MemoryPeak.used();
  private readonly timer = setInterval(() => {
    this.growthBytes = Math.max(this.growthBytes, MemoryPeak.used() - this.start);
  }, SAMPLE_MS);

  stop(): void {
    clearInterval(this.timer);
  }

  private static used(): number {
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  }
}

/** Sends sound requests through all daemons until it is stopped. */
async function askSound(t: ExecutionContext, world: World, isOver: () => boolean): Promise<number> {
  let answered = 0;
  while (!isOver()) {
    for (const [at, path] of [
      [SOUND, '/sound/a'],
      [ODD, '/sound/b'],
      [SOUND, '/safe/c'],
    ] as const) {
      t.is(await world.ask(at, path), SOUND_ANSWER, `${path} at ${at}`);
      answered += 1;
    }
  }
  return answered;
}

function checkAnswer(t: ExecutionContext, kind: EndlessKind, path: string, answer: string): void {
  if (kind.followsAnswer === true) t.is(answer, SOUND_ANSWER, `${path}: ${kind.name}`);
  else if (kind.isAnswer === true) t.regex(answer, /^50[234] |^reset$|^closed$/, `${path}: ${kind.name}`);
  else t.regex(answer, /^50[24] /, `${path}: ${kind.name}`);
}

for (const seed of SEEDS) {
  test.serial(`bytes without end in answers, calls and downloads, seed ${seed}`, async (t) => {
    const random = new Random(seed);
    const world = new World(random);
    await world.start();
    const memory = new MemoryPeak();
    let over = false;
    const sound = askSound(t, world, () => over);
    const cases = ROUTE_TYPES.flatMap((type) =>
      ENDLESS_KINDS.map((kind, index) => ({ kind, path: `/${type}/endless-${index}` })),
    ).toSorted(() => random.below(3) - 1);
    while (cases.length > 0) {
      await Promise.all(
        cases.splice(0, REQUESTS_AT_ONCE).map(async ({ kind, path }) => {
          checkAnswer(t, kind, path, await world.ask(SOUND, path));
        }),
      );
    }
    const odd = world.backend(ODD);
    await until(() => odd.pouring.size === 0);
    t.true(odd.poured >= ROUTE_TYPES.length * ENDLESS_KINDS.length);

    // Another incarnation at the address is asked who it is, and a new one of the keyed service is granted its keys anew.
    const keyed = world.backend(KEYED);
    odd.callsAreEndless = true;
    keyed.callsAreEndless = true;
    for (let count = 0; count < ENDLESS_KINDS.length; count += 1) {
      const beats = [ODD, KEYED].map(
        async (service) => await world.heartbeat(service, `${service}-${count}`),
      );
      for (const answer of await Promise.all(beats)) t.regex(answer, /^[245]\d\d |^closed$/);
    }
    odd.callsAreEndless = false;
    keyed.callsAreEndless = false;
    await until(() => odd.pouring.size + keyed.pouring.size === 0);
    await until(async () => (await world.ask(SOUND, '/keyed/a')) === SOUND_ANSWER);
    over = true;
    const mostTakenBytes = Math.max(odd.mostTakenBytes, keyed.mostTakenBytes);
    t.true(mostTakenBytes < MAX_TAKEN_BYTES, `${mostTakenBytes} bytes of one connection`);
    t.log({
      mostTakenMb: mostTakenBytes >> 20,
      poured: odd.poured,
      calls: keyed.poured,
      sound: await sound,
      growthMb: memory.growthBytes >> 20,
    });
    t.true(keyed.poured > 0);
    t.true(memory.growthBytes < MAX_GROWTH_BYTES, `${memory.growthBytes} bytes`);
    memory.stop();
    await world.stop();
  });
}
