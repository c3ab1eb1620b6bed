/**
 * Process that plays back ends: they send heartbeats, hold keys, run requests within their slots, and stop the work on a
 * request whose connection is closed. It reports when requests arrived and ended, less its own stalls.
 */
import {
  Agent,
  createServer,
  request as httpRequest,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {
  healthHeaders,
  heartbeatBody,
  PATHS,
  PLATFORM_HEADERS,
  readGrantCall,
  readHeartbeatAnswer,
  releaseHeaders,
} from '../../../platform/stand-in-wire.js';
import { steadyMs } from '../../../src/runtime/clock.js';
import { Random } from '../../random.js';
import { HeldKeys } from '../held-keys.js';
import type { ObservedArrival, ObservedRun } from '../late-work-rule.js';
import {
  REPORT_INTERVAL_MS,
  sendReport,
  type HostedBackend,
  type HostOrder,
  type ServeOrder,
} from './host-messages.js';
import { StallLog } from './stall-log.js';

/** Requests that wait for a slot at a back end. */
const QUEUE_CAPACITY = 72;

/** Mean duration of a request, in ms. */
const WORK_MS = 250;

/** Interval of heartbeats, and timeout of one, in ms. */
const HEARTBEAT_MS = 870;
const HEARTBEAT_TIMEOUT_MS = 1_500;

/** Interval in ms between checks for the end of work on released keys. */
const RELEASE_POLL_MS = 10;

/** Body of an answer; about the size of a small page. */
const ANSWER_BODY = 'x'.repeat(1_500);

const STATUS = { ok: 200, notRun: 503, superseded: 409, misdirected: 421 } as const;

/** What the back ends of a host have observed since the last report. */
interface Observations {
  arrivals: ObservedArrival[];
  runs: ObservedRun[];
}

/** Work that waits for a slot or is in progress. */
interface Work {
  readonly requestId: string;
  readonly key: number | null;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** One incarnation of a back end. */
class HostedIncarnation {
  workFactor = 1;
  private readonly id: string;
  private readonly slots: number;
  private readonly keys: HeldKeys;
  private readonly server: Server;
  private readonly bornMs = Date.now();
  private running = 0;
  private queue: Work[] = [];
  private sequence = 0;
  private isUp = true;
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly backend: HostedBackend,
    { grantMode, slots }: Pick<ServeOrder, 'grantMode' | 'slots'>,
    life: number,
    private readonly random: Random,
    private readonly agent: Agent,
    private readonly stalls: StallLog,
    private readonly observed: Observations,
  ) {
    this.slots = slots;
    this.id = `${backend.machine}-life-${life}`;
    this.keys = new HeldKeys(
      this.id,
      () => grantMode,
      steadyMs,
      () => undefined,
    );
    this.server = createServer((request, response) => {
      void this.receive(request, response);
    });
    this.server.keepAliveTimeout = 10_000;
  }

  start(): void {
    const { host, port } = this.backend.address;
    this.server.listen(port, host);
    this.scheduleHeartbeat(this.random.fraction() * HEARTBEAT_MS);
  }

  end(): void {
    this.isUp = false;
    if (this.timer !== null) clearTimeout(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  // ---- heartbeats

  private scheduleHeartbeat(ms: number): void {
    this.timer = setTimeout(() => {
      this.sendHeartbeat();
    }, ms);
  }

  private sendHeartbeat(): void {
    if (!this.isUp) return;
    const sentMs = steadyMs();
    const body = this.heartbeat();
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    const path = `${PATHS.instances}${this.id}`;
    const options = { ...this.backend.control, path, method: 'PUT', headers, agent: this.agent };
    const call = httpRequest(options, (answer) => {
      let text = '';
      answer.on('data', (chunk: Buffer) => (text += chunk.toString()));
      answer.on('error', () => undefined);
      answer.on('end', () => {
        if (this.isUp && answer.statusCode === STATUS.ok)
          this.keys.applyAnswer(readHeartbeatAnswer(text), sentMs);
      });
    });
    call.setTimeout(HEARTBEAT_TIMEOUT_MS, () => call.destroy());
    call.on('error', () => undefined);
    call.end(body);
    this.scheduleHeartbeat(HEARTBEAT_MS);
  }

  private heartbeat(): string {
    const { service, zone, keyed, address } = this.backend;
    this.sequence += 1;
    const { holds, released } = this.keys.report();
    const state = { version: 'v1', condition: 'ready', sequence: this.sequence, coldLeftMs: 0 } as const;
    const identity = { id: this.id, bornMs: this.bornMs, service, zone, slots: this.slots };
    return heartbeatBody({ ...identity, ...state, holds: keyed ? holds : null, released }, address);
  }

  // ---- requests

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const path = request.url ?? '/';
    if (path === PATHS.health) answerEmpty(response, STATUS.ok, healthHeaders(this.id, 0));
    else if (path === PATHS.grant || path === PATHS.release)
      await this.receiveKeyCall(request, response, path);
    else this.receiveWork(request, response);
  }

  private async receiveKeyCall(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> {
    let text = '';
    for await (const chunk of request as AsyncIterable<Buffer>) text += chunk.toString();
    if (!this.isUp) return;
    if (this.isMisdirected(request)) {
      answerEmpty(response, STATUS.misdirected);
      return;
    }
    const call = readGrantCall(text);
    if (path === PATHS.grant) {
      answerEmpty(response, this.keys.grant(call) ? STATUS.ok : STATUS.superseded);
      return;
    }
    this.keys.release(call);
    while (this.isUp && this.keys.hasWorkIn(call))
      await new Promise((resolve) => setTimeout(resolve, RELEASE_POLL_MS));
    answerEmpty(response, STATUS.ok, releaseHeaders(this.keys.nextHandover()));
  }

  private receiveWork(request: IncomingMessage, response: ServerResponse): void {
    const requestId = headerOf(request, PLATFORM_HEADERS.requestId);
    request.resume();
    const atMs = this.stalls.earliestMs(steadyMs());
    this.observed.arrivals.push({ requestId, backend: this.backend.machine, atMs });
    const key = this.backend.keyed ? Number(headerOf(request, PLATFORM_HEADERS.key)) : null;
    const work = { requestId, key, request, response };
    if (this.isMisdirected(request) || (key !== null && !this.keys.holds(key)))
      this.reject(work, STATUS.misdirected);
    else if (this.running < this.slots) this.run(work);
    else if (this.queue.length < QUEUE_CAPACITY) this.queue.push(work);
    else this.reject(work, STATUS.notRun);
  }

  private isMisdirected(request: IncomingMessage): boolean {
    const expectedId = headerOf(request, PLATFORM_HEADERS.expectedInstance);
    return expectedId !== '' && expectedId !== this.id;
  }

  private run({ requestId, key, response }: Work): void {
    if (response.destroyed) return;
    this.running += 1;
    if (key !== null) this.keys.begin(key);
    const startedMs = steadyMs();
    const plannedMs = this.random.exponential(WORK_MS * this.workFactor);
    const end = (answers: boolean): void => {
      clearTimeout(timer);
      response.removeAllListeners('close');
      this.running -= 1;
      if (key !== null) this.keys.end(key);
      const endedMs = answers ? steadyMs() : this.stalls.earliestMs(steadyMs());
      const plannedEndMs = startedMs + plannedMs;
      this.observed.runs.push({ requestId, backend: this.backend.machine, startedMs, endedMs, plannedEndMs });
      if (answers && this.isUp) answerWork(response, requestId);
      this.runQueued();
    };
    const timer = setTimeout(() => {
      end(true);
    }, plannedMs);
    response.once('close', () => {
      end(false);
    });
  }

  private runQueued(): void {
    while (this.isUp && this.running < this.slots) {
      const next = this.queue.shift();
      if (next === undefined) return;
      if (next.key !== null && !this.keys.holds(next.key)) this.reject(next, STATUS.misdirected);
      else this.run(next);
    }
  }

  private reject({ requestId, response }: Work, status: number): void {
    answerEmpty(response, status, {
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.notRun]: '1',
    });
  }
}

/** All back ends of one host. */
class BackendHost {
  private readonly agent = new Agent({ keepAlive: true });
  private readonly stalls = new StallLog(steadyMs);
  private observed: Observations = { arrivals: [], runs: [] };
  private readonly random: Random;
  private incarnations = new Map<string, HostedIncarnation>();
  private lives = 0;
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly order: ServeOrder) {
    this.random = new Random(order.seed);
  }

  start(): void {
    this.stalls.start();
    this.startIncarnations();
    this.timer = setInterval(() => {
      this.report();
    }, REPORT_INTERVAL_MS);
  }

  losePower(downMs: number): void {
    for (const incarnation of this.incarnations.values()) incarnation.end();
    this.incarnations.clear();
    setTimeout(() => {
      this.startIncarnations();
    }, downMs);
  }

  slow(machines: readonly string[], factor: number): void {
    for (const [machine, incarnation] of this.incarnations) {
      if (machines.includes(machine)) incarnation.workFactor = factor;
    }
  }

  end(): void {
    if (this.timer !== null) clearInterval(this.timer);
    for (const incarnation of this.incarnations.values()) incarnation.end();
    this.agent.destroy();
    this.stalls.stop();
    this.report();
  }

  private startIncarnations(): void {
    for (const backend of this.order.backends) {
      this.lives += 1;
      const { order, random, agent, stalls, observed } = this;
      const incarnation = new HostedIncarnation(backend, order, this.lives, random, agent, stalls, observed);
      this.incarnations.set(backend.machine, incarnation);
      incarnation.start();
    }
  }

  private report(): void {
    const { arrivals, runs } = this.observed;
    this.observed.arrivals = [];
    this.observed.runs = [];
    sendReport({ outcomes: [], arrivals, runs, longestStallMs: this.stalls.longestMs });
  }
}

function headerOf(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function answerEmpty(response: ServerResponse, status: number, headers: object = {}): void {
  response.writeHead(status, { ...headers, 'content-length': 0 });
  response.end();
}

function answerWork(response: ServerResponse, requestId: string): void {
  response.writeHead(STATUS.ok, {
    [PLATFORM_HEADERS.requestId]: requestId,
    [PLATFORM_HEADERS.seal]: `seal-${requestId}`,
    'content-length': ANSWER_BODY.length,
  });
  response.end(ANSWER_BODY);
}

let host: BackendHost | null = null;
process.on('message', (order: HostOrder) => {
  if (order.kind === 'serve') {
    host = new BackendHost(order);
    host.start();
  }
  if (order.kind === 'lose-power') host?.losePower(order.downMs);
  if (order.kind === 'slow') host?.slow(order.machines, order.factor);
  if (order.kind !== 'end') return;
  host?.end();
  process.disconnect();
});
