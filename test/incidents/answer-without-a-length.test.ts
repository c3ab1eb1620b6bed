/**
 * An answer without a length that is not whole does not look whole, through two daemons: its back end is killed in the middle
 * of it, resets it, or sends another answer behind it; and one that is whole is delivered, delimited by a length or chunks.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { createServer, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { HOST, startDirectory, startSidecar, type SidecarPorts } from '../fuzz/loopback-daemons.js';
import { freePort } from '../loopback.js';

const SEEDS = [701, 702];
const CASES = 40;
const HEARTBEAT_MS = 100;
const PAUSE_MS = 20;
const CALL_TIMEOUT_MS = 15_000;
const SERVICE = 'odd';
const ROUTE_TYPES = ['safe', 'non_idempotent', 'download'] as const;
/** Sizes of buffered and of streamed answers. */
const SHORT_BYTES = 6_000;
const LONG_BYTES = 2_500_000;

type Ending = 'whole' | 'reset' | 'end-of-process' | 'another-answer' | 'cut-length';
const ENDINGS: readonly Ending[] = ['whole', 'reset', 'end-of-process', 'another-answer', 'cut-length'];

interface Case {
  readonly ending: Ending;
  readonly routeType: (typeof ROUTE_TYPES)[number];
  readonly bytes: number;
}

interface Seen {
  readonly status: number;
  readonly looksWhole: boolean;
  readonly body: string;
  readonly isDelimited: boolean;
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until a condition holds; the time limit is that of the test. */
async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await holds())) await pause(PAUSE_MS);
}

async function call(
  port: number,
  method: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
  text = '',
): Promise<Seen> {
  return await new Promise((resolve) => {
    const none = { status: 0, looksWhole: false, body: '', isDelimited: false };
    const allHeaders = { host: 'h', 'content-length': String(Buffer.byteLength(text)), ...headers };
    const sent = request({ host: HOST, port, method, path, headers: allHeaders, agent: false }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', () => undefined);
      answer.on('close', () => {
        resolve({
          status: answer.statusCode ?? 0,
          looksWhole: answer.complete,
          body: Buffer.concat(chunks).toString('latin1'),
          isDelimited:
            answer.headers['content-length'] !== undefined ||
            answer.headers['transfer-encoding'] === 'chunked',
        });
      });
    });
    sent.on('error', () => {
      resolve(none);
    });
    sent.setTimeout(CALL_TIMEOUT_MS, () => sent.destroy());
    sent.end(text);
  });
}

/** A back end in the process of the test, which answers as the case in hand says. */
class OddBackend {
  id = 'odd-0';
  current: Case = { ending: 'whole', routeType: 'safe', bytes: 0 };
  private readonly sockets = new Set<Socket>();
  private server = createServer();

  constructor(
    readonly port: number,
    private readonly random: Random,
  ) {}

  async listen(): Promise<void> {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
      socket.on('data', (chunk: Buffer) => {
        this.receive(socket, chunk.toString('latin1'));
      });
    });
    await new Promise<void>((resolve) => this.server.listen(this.port, HOST, resolve));
  }

  /** Ends as the operating system ends a killed process: nothing listens, and its connections end in the ordinary way. */
  end(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private receive(socket: Socket, text: string): void {
    const [, path = ''] = /^\S+ (\S+)/.exec(text) ?? [];
    const [, requestId = ''] = /^request-id: (\S+)/im.exec(text) ?? [];
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nInstance-Id: ${this.id}\r\n`;
    const [, expected = this.id] = /^expected-instance: (\S+)/im.exec(text) ?? [];
    if (expected !== this.id) {
      socket.write(`HTTP/1.1 421 Other\r\nRequest-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    if (path === '/health' || path.endsWith('/sound')) socket.write(`${head}Content-Length: 2\r\n\r\nok`);
    else if (path.includes('/case')) void this.answer(socket, head);
  }

  private async answer(socket: Socket, head: string): Promise<void> {
    const { random } = this;
    const { ending, bytes } = this.current;
    const body = 'b'.repeat(bytes);
    const part = body.slice(0, random.below(bytes));
    const unframed = `${head}${random.pick(['', 'Connection: close\r\n'])}\r\n`;
    const whole = `${unframed}${body}`;
    const framed = `${head}Content-Length: ${bytes}\r\n\r\n`;
    switch (ending) {
      case 'whole':
        socket.write(whole);
        await pause(random.below(10));
        socket.end();
        return;
      case 'reset':
        socket.write(`${unframed}${part}`);
        await pause(5 + random.below(10));
        socket.resetAndDestroy();
        return;
      case 'end-of-process':
        socket.write(`${unframed}${random.pick([part, body])}`);
        await pause(5 + random.below(10));
        this.end();
        return;
      case 'another-answer': {
        socket.write(whole);
        if (random.below(2) === 0) await pause(random.below(60));
        const second = random.pick([whole, `${framed}${body}`]);
        // The first bytes of a status line can't be told from a body.
        socket.end(second.slice(0, 5 + random.below(random.pick([head.length, second.length]))));
        return;
      }
      case 'cut-length':
        socket.write(`${framed}${body.slice(0, bytes - 1 - random.below(Math.min(bytes - 1, head.length)))}`);
        if (random.below(2) === 0) await pause(random.below(60));
        socket.write(`${framed}${body}`);
    }
  }
}

function configuration(): object {
  const common = { host: 'h', timeout_s: 4, max_attempts: 2, version: 1, service: SERVICE };
  const routes = ROUTE_TYPES.map((type) => [type, { ...common, path_prefix: `/${type}/`, route_type: type }]);
  const service = { health_path: '/health', max_connections: 100, version: 1 };
  return {
    upsert: {
      routes: Object.fromEntries(routes) as object,
      services: { [SERVICE]: service, front: service },
    },
  };
}

/** A directory, the callers' sidecar and that of the back end. */
class World {
  private callers = 0;
  private beside: SidecarPorts | null = null;
  private sequence = 0;
  private requests = 0;
  private id = '';
  private readonly stops: (() => Promise<void> | void)[] = [];

  async start(backendPort: number): Promise<void> {
    const [replica, operator] = [await freePort(), await freePort()];
    const folder = mkdtempSync(join(tmpdir(), 'aldertide-unframed-'));
    const stopDirectory = await startDirectory({ replica, operator }, join(folder, 'data'));
    for (const service of ['front', SERVICE]) {
      const [callers, links, backendCalls] = [await freePort(), await freePort(), await freePort()];
      const backend = service === SERVICE ? backendPort : await freePort();
      const ports = { callers, links, backendCalls, backend };
      if (service === SERVICE) this.beside = ports;
      else this.callers = callers;
      this.stops.push(await startSidecar(ports, replica, service));
    }
    const timer = setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
    this.stops.unshift(() => {
      clearInterval(timer);
    });
    this.stops.push(stopDirectory, () => {
      rmSync(folder, { recursive: true, force: true });
    });
    const change = JSON.stringify(configuration());
    await until(async () => (await call(operator, 'PATCH', '/config', {}, change)).status === 200);
  }

  /** Waits until a back end's incarnation is served; an empty id sends no heartbeats. */
  async serve(id: string): Promise<void> {
    this.id = id;
    this.sequence = 0;
    if (id !== '') await until(async () => (await this.ask('safe', '/sound')).status === 200);
  }

  async ask(routeType: string, path: string): Promise<Seen> {
    this.requests += 1;
    const headers = { 'request-id': `unframed-${this.requests}`, 'deadline-ms': '4000' };
    return await call(
      this.callers,
      routeType === 'non_idempotent' ? 'POST' : 'GET',
      `/${routeType}${path}`,
      headers,
    );
  }

  async stop(): Promise<void> {
    for (const stop of this.stops) await stop();
  }

  private async heartbeat(): Promise<void> {
    if (this.id === '') return;
    this.sequence += 1;
    const info = { service: SERVICE, version: 'v', zone: 'z', slots: 20 };
    const status = { state: 'ready', call_seq: this.sequence, cold_left_s: 0 };
    const body = JSON.stringify({ info, status });
    await call(this.beside?.backendCalls ?? 0, 'PUT', `/instances/${this.id}`, {}, body);
  }
}

function check(t: ExecutionContext, { ending, routeType, bytes }: Case, seen: Seen, name: string): void {
  const isWhole = seen.body === 'b'.repeat(bytes);
  if (seen.looksWhole && seen.status === 200) {
    t.true(isWhole, `${name}: looks whole with ${seen.body.length} of ${bytes} bytes`);
    t.true(seen.isDelimited, name);
  }
  if (ending === 'whole') t.true(seen.looksWhole && isWhole, `${name}: ${routeType} ${seen.status}`);
}

for (const seed of SEEDS) {
  test.serial(`answers without a length, or cut off with another one behind, seed ${seed}`, async (t) => {
    const random = new Random(seed);
    const backend = new OddBackend(await freePort(), random);
    const world = new World();
    await backend.listen();
    await world.start(backend.port);
    await world.serve(backend.id);
    for (let count = 1; count <= CASES; count += 1) {
      const drawn: Case = {
        ending: random.pick(ENDINGS),
        routeType: random.pick(ROUTE_TYPES),
        bytes: random.below(4) === 0 ? LONG_BYTES - random.below(1_000_000) : 50 + random.below(SHORT_BYTES),
      };
      backend.current = drawn;
      check(
        t,
        drawn,
        await world.ask(drawn.routeType, `/case-${count}`),
        `seed ${seed}, case ${count}: ${JSON.stringify(drawn)}`,
      );
      if (drawn.ending !== 'end-of-process') continue;
      backend.end();
      backend.id = `odd-${count}`;
      await backend.listen();
      await world.serve(backend.id);
    }
    await world.stop();
    backend.end();
  });
}

test.serial('a back end that is killed in the middle of an answer without a length', async (t) => {
  const port = await freePort();
  const world = new World();
  const script = new URL('./unframed-backend.js', import.meta.url);
  let child: ChildProcess | null = null;
  const startChild = async (id: string): Promise<ChildProcess> => {
    const started = fork(script, [String(port), id]);
    await new Promise((resolve) => started.once('message', resolve));
    return started;
  };
  child = await startChild('doomed-0');
  await world.start(port);
  await world.serve('doomed-0');
  let count = 0;
  for (const routeType of ROUTE_TYPES) {
    for (const bytes of [SHORT_BYTES, LONG_BYTES]) {
      const asked = world.ask(routeType, `/held-${bytes}`);
      const doomed: ChildProcess = child;
      const half = new Promise((resolve) => doomed.once('message', resolve));
      await half;
      const ended = new Promise((resolve) => doomed.once('exit', resolve));
      doomed.kill('SIGKILL');
      await ended;
      const seen = await asked;
      t.false(seen.looksWhole && seen.status === 200, `${routeType}, ${bytes}: ${seen.body.length}`);
      count += 1;
      await world.serve('');
      child = await startChild(`doomed-${count}`);
      await world.serve(`doomed-${count}`);
    }
  }
  child.kill('SIGKILL');
  await world.stop();
});
