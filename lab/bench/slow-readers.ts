/**
 * Measures the memory of two daemons while many callers of one read long answers slowly, over real sockets. Starts a
 * back end, the daemon beside it and the callers' daemon as processes of their own; a stand-in for the directory in each
 * daemon answers its messages. Usage: `node dist/lab/bench/slow-readers.js [readers] [bytes] [bytes per s] [seconds]`.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { DirectoryNotice, DirectoryRequest } from '../../src/directory/directory-messages.js';
import type { DirectorySnapshot } from '../../src/directory/directory-state.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { DEFAULT_HEADER_DIALECT as NAMES } from '../../src/sidecar/header-dialect.js';
import { SidecarNode } from '../../src/sidecar/sidecar-node.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { DownloadChecker, downloadBody } from '../backend/download-body.js';
import { findFreePorts } from '../fleet/ports.js';

const HOST = '127.0.0.1';
const SERVICE = 'files';
const MIB = 1024 * 1024;
const SMALL_BYTES = 400;
/** Time in ms after which the back end aborts an answer of which nothing was read. */
const ABORT_MS = 5_000;
const REPORT_INTERVAL_MS = 100;
const READ_INTERVAL_MS = 250;
const SMALL_INTERVAL_MS = 20;
/** Options of deployed daemons. */
const NODE_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=1', '--optimize-for-size'];
/** Time in ms during which the long answers are taken to start. */
const START_MS = 2_000;
const IDLE_MS = 3_000;
const FINISH_MS = 60_000;

interface Ports {
  readonly callers: number;
  readonly links: number;
  readonly backend: number;
}

interface Report {
  readonly rssBytes: number;
  /** Bytes of answers counted as held, for other daemons and for callers. */
  readonly heldBytes: number;
  readonly unreadBytes: number;
  readonly bufferBytes: number;
  readonly cuts: number;
}

// ---- back end

function runBackend(port: number): void {
  const server = createServer((request, response) => {
    answer(request, response);
  });
  server.listen(port, HOST);
}

function answer(request: IncomingMessage, response: ServerResponse): void {
  const [, bytesText, framing] = (request.url ?? '').split('/');
  const bytes = Number(bytesText);
  response.setHeader(NAMES.requestId, request.headers[NAMES.requestId] ?? '');
  response.setHeader(NAMES.seal, 'seal');
  if (framing === 'length') response.setHeader('content-length', bytes);
  const body = downloadBody(bytes);
  let lastReadMs = performance.now();
  response.on('drain', () => (lastReadMs = performance.now()));
  const watch = setInterval(() => {
    if (!response.writableNeedDrain) lastReadMs = performance.now();
    else if (performance.now() - lastReadMs > ABORT_MS) response.destroy();
  }, 250);
  response.on('close', () => {
    clearInterval(watch);
    body.destroy();
  });
  body.pipe(response);
}

// ---- daemons

/** A runtime whose directory knows one back end and grants every lease. */
function runtimeWithDirectory(table: DirectorySnapshot): Runtime {
  return {
    ...nodeRuntime,
    dial: (_address, _identity, handlers) => {
      const notify = (notice: DirectoryNotice): void => {
        setImmediate(() => {
          handlers.onMessage(notice);
        });
      };
      const receive = (request: DirectoryRequest): void => {
        if (request.kind === 'watch') notify({ kind: 'table', index: 1, table });
        const lease = { session: 1, termMs: 9_000, index: 0 };
        if (request.kind === 'register')
          notify({ kind: 'registered', id: request.instance.id, sentMs: request.sentMs, ...lease });
        if (request.kind === 'renew')
          notify({ kind: 'renewed', id: request.id, sentMs: request.sentMs, ...lease });
      };
      const timer = setInterval(() => {
        notify({ kind: 'alive', index: 1, members: [] });
      }, 200);
      setImmediate(() => {
        handlers.onOpen({
          send: (message) => {
            receive(message as DirectoryRequest);
          },
          sendEncoded: () => undefined,
          close: () => undefined,
        });
      });
      return {
        send: (message) => {
          receive(message as DirectoryRequest);
          return true;
        },
        sendEncoded: () => false,
        traffic: () => ({ bytesSent: 0, bytesReceived: 0 }),
        stop: () => {
          clearInterval(timer);
        },
      };
    },
  };
}

function tableOf(linksPort: number): DirectorySnapshot {
  const service = { maxConnections: 500, keyed: false, grantMode: null, coldStart: null, healthPath: null };
  const route = {
    host: HOST,
    pathPrefix: '/',
    kind: 'safe',
    timeoutMs: 120_000,
    targetLatencyMs: 60_000,
    priority: 1,
    maxAttempts: 1,
    destinations: [{ service: SERVICE, weight: 1 }],
  } as const;
  const instance = { id: 'one', service: SERVICE, zone: 'z', daemonAddress: `${HOST}:${linksPort}` };
  return {
    items: [
      { kind: 'service', name: SERVICE, version: 1, source: null, definition: service },
      { kind: 'route', name: 'files', version: 1, source: null, definition: route },
    ],
    revision: 0,
    configured: true,
    accepted: [],
    instances: [{ ...instance, slots: 400, condition: 'ready', version: '', session: 1 }],
    ranges: [],
    evacuatedZones: [],
  };
}

async function runDaemon(ports: Ports, isBesideBackend: boolean, targetLinks: number): Promise<void> {
  const links = { host: HOST, port: ports.links };
  const started = await SidecarNode.start({
    settings: {
      name: `daemon-${ports.links}`,
      zone: 'z',
      callers: { host: HOST, port: ports.callers },
      links,
      advertisedLinks: links,
      dialFrom: null,
      backend: { host: HOST, port: ports.backend },
      service: SERVICE,
      seeds: [`${HOST}:1`],
      grantMode: 'heartbeat',
      holdMs: 6_000,
      drainMs: 2_000,
      graceMs: 6_000,
      retryBudget: { ratio: 0.2, extra: 60, windowMs: 10_000 },
      coldStartBound: { factor: 1.5, slack: 8 },
      evacuationMs: 5_000,
      dialect: NAMES,
      linkBytesPerMs: Infinity,
    },
    token: 'token',
    runtime: runtimeWithDirectory(tableOf(targetLinks)),
    log: process.env.SLOW_READERS_LOG === undefined ? SILENT_EVENT_LOG : stderrLog(),
    calls: {
      identify: async () => await Promise.resolve(null),
      grant: async () => await Promise.resolve('granted'),
      release: async () => await Promise.resolve(''),
    },
    random: Math.random,
    latencies: NO_LATENCIES,
    backendListens: async () => await Promise.resolve(true),
  });
  const node = started.unwrap();
  if (isBesideBackend) beat(node);
  setInterval(() => {
    const cuts = node.heldAnswers.cuts + node.unreadAnswers.cuts;
    const heldBytes = node.heldAnswers.totalBytes;
    const unreadBytes = node.unreadAnswers.totalBytes;
    const { rss, arrayBuffers } = process.memoryUsage();
    const report: Report = { rssBytes: rss, heldBytes, unreadBytes, bufferBytes: arrayBuffers, cuts };
    process.send?.(report);
  }, REPORT_INTERVAL_MS);
}

function stderrLog() {
  const write = (name: string, fields: object): void => {
    process.stderr.write(`${JSON.stringify({ name, ...fields })}\n`);
  };
  return { event: write, failure: write, routine: () => undefined };
}

function beat(node: SidecarNode): void {
  let sequence = 0;
  const send = (): void => {
    sequence += 1;
    const identity = { id: 'one', bornMs: null, service: SERVICE, zone: 'z', version: '' };
    const state = { slots: 400, condition: 'ready', coldLeftMs: 0, holds: [], released: [] } as const;
    void node.heartbeat({ ...identity, ...state, sequence });
  };
  send();
  setInterval(send, 800);
}

// ---- callers

/** Reads one answer slowly, and later as fast as it comes. */
class SlowReader {
  complete = false;
  ended = false;
  receivedBytes = 0;
  private readonly checker = new DownloadChecker();
  private readonly socket: Socket;
  private headRead = false;
  /** Bytes that may be read now. */
  private allowedBytes = 0;

  constructor(
    port: number,
    private readonly bytes: number,
  ) {
    this.socket = connect({ host: HOST, port });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.ended = true));
    this.socket.on('readable', () => {
      this.readAllowed();
    });
    const id = `${NAMES.requestId}: ${randomUUID()}`;
    this.socket.write(`GET /${bytes}/length HTTP/1.1\r\nHost: ${HOST}\r\n${id}\r\nConnection: close\r\n\r\n`);
  }

  /** Allows to read `bytes`, now or as they arrive, instead of what was allowed before. */
  allow(bytes: number): void {
    this.allowedBytes = bytes;
    this.readAllowed();
  }

  private readAllowed(): void {
    while (this.allowedBytes > 0) {
      const available = Math.min(this.allowedBytes, this.socket.readableLength);
      const chunk = (available > 0 ? this.socket.read(available) : this.socket.read(0)) as Buffer | null;
      if (chunk === null) return;
      this.allowedBytes -= chunk.length;
      this.push(chunk);
    }
  }

  private push(chunk: Buffer): void {
    const headEnd = this.headRead ? 0 : chunk.indexOf('\r\n\r\n') + 4;
    if (!this.headRead && headEnd < 4) throw new Error('the head is split');
    this.headRead = true;
    this.receivedBytes += chunk.length - headEnd;
    this.checker.push(chunk.subarray(headEnd));
    this.complete = this.checker.isComplete(this.bytes);
  }
}

/** Requests a small answer and returns how long it took in ms; null if it failed. */
async function timeSmall(port: number): Promise<number | null> {
  const startMs = performance.now();
  try {
    const response = await fetch(`http://${HOST}:${port}/${SMALL_BYTES}/length`, {
      headers: { [NAMES.requestId]: randomUUID() },
    });
    const body = await response.arrayBuffer();
    return response.status === 200 && body.byteLength === SMALL_BYTES ? performance.now() - startMs : null;
  } catch {
    return null;
  }
}

class DaemonProcess {
  baseBytes = 0;
  peakBytes = 0;
  last: Report = { rssBytes: 0, heldBytes: 0, unreadBytes: 0, bufferBytes: 0, cuts: 0 };
  private peakHeldBytes = 0;
  private peakUnreadBytes = 0;
  private peakBufferBytes = 0;

  constructor(readonly child: ChildProcess) {
    child.on('message', (report: Report) => {
      this.last = report;
      this.peakBytes = Math.max(this.peakBytes, report.rssBytes);
      this.peakHeldBytes = Math.max(this.peakHeldBytes, report.heldBytes);
      this.peakUnreadBytes = Math.max(this.peakUnreadBytes, report.unreadBytes);
      this.peakBufferBytes = Math.max(this.peakBufferBytes, report.bufferBytes);
    });
  }

  describe(): string {
    const mib = (bytes: number): string => (bytes / MIB).toFixed(1);
    const held = `held ${mib(this.peakHeldBytes)}, unread ${mib(this.peakUnreadBytes)}`;
    const growth = `idle ${mib(this.baseBytes)}, growth ${mib(this.peakBytes - this.baseBytes)}`;
    return `${growth}, ${held}, buffers ${mib(this.peakBufferBytes)} MiB; cuts ${this.last.cuts}`;
  }
}

function describeTimes(times: readonly (number | null)[]): string {
  const served = times.filter((ms) => ms !== null).sort((one, other) => one - other);
  const at = (share: number): string => (served[Math.floor(served.length * share)] ?? NaN).toFixed(1);
  return `${served.length} of ${times.length}, ms: median ${at(0.5)}, 0.99 ${at(0.99)}`;
}

async function measure(readerCount: number, bytes: number, rate: number, seconds: number): Promise<void> {
  const found = await findFreePorts(5);
  const [callersOne, linksOne, callersTwo, linksTwo, backendPort] = found.map(({ port }) => port) as [
    number,
    number,
    number,
    number,
    number,
  ];
  const program = fileURLToPath(import.meta.url);
  const start = (...given: readonly (string | number)[]): ChildProcess =>
    fork(program, given.map(String), { execArgv: NODE_OPTIONS });
  const backend = start('backend', backendPort);
  const beside = new DaemonProcess(start('daemon', callersTwo, linksTwo, backendPort, 1, linksTwo));
  const callers = new DaemonProcess(start('daemon', callersOne, linksOne, 1, 0, linksTwo));
  for (let poll = 0; poll < 100 && (await timeSmall(callersOne)) === null; poll += 1) await sleep(100);
  for (let warm = 0; warm < 200; warm += 1) await timeSmall(callersOne);
  await sleep(IDLE_MS);
  for (const daemon of [callers, beside]) {
    daemon.baseBytes = daemon.last.rssBytes;
    daemon.peakBytes = daemon.baseBytes;
  }
  const times: (number | null)[] = [];
  const firstTimes: (number | null)[] = [];
  const startMs = performance.now();
  const small = setInterval(() => {
    const list = performance.now() - startMs < START_MS ? firstTimes : times;
    void timeSmall(callersOne).then((ms) => list.push(ms));
  }, SMALL_INTERVAL_MS);
  const readers = Array.from({ length: readerCount }, () => new SlowReader(callersOne, bytes));
  const reading = setInterval(() => {
    for (const reader of readers) reader.allow((rate * READ_INTERVAL_MS) / 1_000);
  }, READ_INTERVAL_MS);
  await sleep(seconds * 1_000);
  const slowBytes = readers.reduce((sum, { receivedBytes }) => sum + receivedBytes, 0);
  console.log(`callers' daemon while reading slowly: ${callers.describe()}`);
  console.log(`daemon beside the back end: ${beside.describe()}`);
  clearInterval(reading);
  for (const reader of readers) reader.allow(Infinity);
  const finishMs = performance.now() + FINISH_MS;
  while (readers.some(({ complete, ended }) => !complete && !ended) && performance.now() < finishMs)
    await sleep(50);
  clearInterval(small);
  await sleep(200);
  const whole = readers.filter(({ complete }) => complete).length;
  console.log(`read slowly ${(slowBytes / MIB).toFixed(1)} MiB; whole answers ${whole} of ${readerCount}`);
  console.log(`small answers begun while the long ones start: ${describeTimes(firstTimes)}`);
  console.log(`small answers begun later: ${describeTimes(times)}`);
  console.log(`at the end: callers' ${callers.describe()}; beside the back end ${beside.describe()}`);
  for (const child of [backend, beside.child, callers.child]) child.kill();
}

const [role = '200', ...given] = process.argv.slice(2);
const numbers = given.map(Number);
if (role === 'backend') runBackend(numbers[0] ?? 0);
else if (role === 'daemon') {
  const [callers = 0, links = 0, backend = 0, isBeside = 0, target = 0] = numbers;
  await runDaemon({ callers, links, backend }, isBeside === 1, target);
} else {
  const [bytes = 4 * MIB, rate = 64 * 1024, seconds = 15] = numbers;
  await measure(Number(role), bytes, rate, seconds);
}
