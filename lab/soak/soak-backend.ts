/**
 * A back end of a soak: it holds keys under fences, runs requests within its slots, tells about itself in heartbeats,
 * and tells the judge what it does. At times it loses an answer, cuts one short or sends a second one.
 */
import { createHash } from 'node:crypto';
import { createServer, request as httpRequest, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Server } from 'node:http';
import type { GrantMode } from '../../src/directory/directory-state.js';
import type { SocketAddress } from '../../src/model/socket-address.js';
import {
  leaveBody,
  healthHeaders,
  heartbeatBody,
  PATHS,
  PLATFORM_HEADERS,
  readGrantCall,
  readHeartbeatAnswer,
  releaseHeaders,
  STAND_IN_BOUNDS,
  STAND_IN_COLD_START,
} from '../../platform/stand-in-wire.js';
import { pause } from '../pause.js';
import type { Random } from '../random.js';
import { HeldKeys } from './held-keys.js';
import type { SoakJudge } from './soak-judge.js';

/** Requests that a back end runs at once, and how many more wait for a slot. */
const SLOTS = 6;
const QUEUE = 12;

/** Mean time of a request, in ms. */
const WORK_MS = 30;

/** Pause between heartbeats, in ms, and until the next one while keys are to be let go. */
const HEARTBEAT_MS = 500;
const HURRIED_HEARTBEAT_MS = 80;

/** Pause between looks at whether work on released keys has ended, in ms. */
const RELEASE_POLL_MS = 5;

/** Requests that a cold back end may be sent in a second. */
const MOST_WHILE_COLD =
  STAND_IN_COLD_START.cold_per_s * STAND_IN_BOUNDS.cold_excess + STAND_IN_BOUNDS.cold_slack;

/** Time in ms for an answer to a heartbeat. */
const HEARTBEAT_TIMEOUT_MS = 1_000;

/** Time in ms for which a back end serves on after its leave was acknowledged. */
const SERVES_ON_MS = 2_500;

/** Time in ms after which it ends without an acknowledgement. */
const PATIENCE_MS = 6_000;

const STATUS = { ok: 200, notExecuted: 503, superseded: 409, misdirected: 421, lostLease: 500 } as const;

/** End of the path of requests that end every back end which runs them. */
export const ENDING_PATH = '/ends-what-runs-it';

/** How a back end misbehaves: shares of the requests that it ran. */
export interface Misbehaviour {
  readonly answerLost: number;
  readonly answerCut: number;
  readonly secondAnswer: number;
}

/** A back end that behaves. */
export const WELL_BEHAVED: Misbehaviour = { answerLost: 0, answerCut: 0, secondAnswer: 0 };

/** Calls that change what a back end holds: a share gets no answer, and is carried out within a time in ms. */
export interface HeldUpCalls {
  readonly share: number;
  readonly latestMs: number;
}

/** No call is held up. */
export const NO_CALLS_HELD_UP: HeldUpCalls = { share: 0, latestMs: 0 };

/** What a back end is started with. */
export interface SoakBackendOptions {
  /** Name that it goes by; another life may go by the same. */
  readonly id: string;
  /** Differs between any two lives; the judge goes by it. */
  readonly life: string;
  readonly service: string;
  readonly zone: string;
  readonly keyed: boolean;
  /** Time for which it is cold after its start, in ms. */
  readonly coldMs: number;
  readonly grantMode: GrantMode;
  readonly address: SocketAddress;
  /** Where its daemon takes heartbeats. */
  readonly control: SocketAddress;
  readonly judge: SoakJudge;
  readonly random: Random;
  /** A request that ends every back end has been run. */
  readonly onEndingRequest: () => void;
}

/** The body that answers a request; a caller knows it as well. */
export function expectedBody(requestId: string, path: string): string {
  return createHash('sha256').update(`${requestId} ${path}`).digest('hex').repeat(8);
}

/** One life of a back end. */
export class SoakBackend {
  misbehaviour = WELL_BEHAVED;
  heldUp = NO_CALLS_HELD_UP;
  private readonly server: Server;
  private readonly keys: HeldKeys;
  private running = 0;
  private readonly queue: (() => void)[] = [];
  private sequence = 0;
  private draining = false;
  private saidGoodbye = false;
  private up = true;
  private startedMs = 0;
  private bornMs = 0;
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly options: SoakBackendOptions) {
    const { life, service, judge } = options;
    const nowMs = (): number => performance.now();
    this.keys = new HeldKeys(
      life,
      () => options.grantMode,
      nowMs,
      (ranges) => {
        judge.holds(life, service, ranges, nowMs());
      },
    );
    this.server = createServer((request, response) => {
      void this.receive(request, response);
    });
    this.server.keepAliveTimeout = 10_000;
  }

  /** Id of this life. */
  get id(): string {
    return this.options.id;
  }

  /** Listens and begins to send heartbeats. */
  async start(): Promise<void> {
    const { host, port } = this.options.address;
    this.startedMs = performance.now();
    this.bornMs = Date.now();
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.beatAfter(0);
  }

  /** Ends at once, without a word. */
  async crash(): Promise<void> {
    this.up = false;
    if (this.timer !== null) clearTimeout(this.timer);
    this.options.judge.ended(this.options.life);
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeAllConnections();
    });
  }

  /** Says that it leaves, serves on for a while, and ends. */
  async leave(): Promise<void> {
    if (await this.announceLeave()) await pause(SERVES_ON_MS);
    await this.sayGoodbye();
    await this.crash();
  }

  /** Says in its heartbeats that it leaves, until that is acknowledged; whether it was. */
  async announceLeave(): Promise<boolean> {
    this.draining = true;
    const acknowledged = await this.acknowledgedWithin(PATIENCE_MS);
    if (acknowledged) this.options.judge.drainAcknowledged(this.options.life, performance.now());
    return acknowledged;
  }

  /** Says that it leaves and sends no more heartbeats, until that is acknowledged. */
  async sayGoodbye(): Promise<void> {
    this.saidGoodbye = true;
    const endMs = performance.now() + PATIENCE_MS;
    while (this.up && performance.now() < endMs) {
      if ((await this.call('DELETE', leaveBody(this.bornMs))) !== null) {
        this.options.judge.drainAcknowledged(this.options.life, performance.now());
        return;
      }
      await pause(HURRIED_HEARTBEAT_MS);
    }
  }

  private get coldLeftMs(): number {
    return Math.max(0, this.startedMs + this.options.coldMs - performance.now());
  }

  // ---- heartbeats

  private beatAfter(ms: number): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      void this.beat();
    }, ms);
  }

  private async beat(): Promise<boolean> {
    if (!this.up || this.saidGoodbye) return false;
    const sentMs = performance.now();
    const answer = await this.call('PUT', this.heartbeatText());
    if (!this.up) return false;
    if (answer !== null) this.keys.takeAnswer(readHeartbeatAnswer(answer), sentMs);
    const hurried = this.keys.leaving().length > 0;
    this.beatAfter(hurried ? HURRIED_HEARTBEAT_MS : HEARTBEAT_MS);
    return answer !== null;
  }

  private heartbeatText(): string {
    const { id, service, zone, keyed, address } = this.options;
    this.sequence += 1;
    const { holds, released } = this.keys.report();
    const condition = this.draining ? 'draining' : 'ready';
    const common = {
      id,
      bornMs: this.bornMs,
      service,
      zone,
      slots: SLOTS,
      version: 'v1',
      condition,
      sequence: this.sequence,
      coldLeftMs: this.coldLeftMs,
    } as const;
    return heartbeatBody({ ...common, holds: keyed ? holds : null, released }, address);
  }

  private async call(method: string, body: string): Promise<string | null> {
    const { host, port } = this.options.control;
    return await new Promise((resolve) => {
      const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
      const path = `${PATHS.instances}${this.id}`;
      const call = httpRequest({ host, port, path, method, headers }, (answer) => {
        let text = '';
        answer.on('data', (chunk: Buffer) => (text += chunk.toString()));
        answer.on('end', () => {
          resolve(answer.statusCode === STATUS.ok ? text : null);
        });
        answer.on('error', () => {
          resolve(null);
        });
      });
      call.setTimeout(HEARTBEAT_TIMEOUT_MS, () => call.destroy());
      call.on('error', () => {
        resolve(null);
      });
      call.end(body);
    });
  }

  private async acknowledgedWithin(ms: number): Promise<boolean> {
    const endMs = performance.now() + ms;
    while (this.up && performance.now() < endMs) {
      if (await this.beat()) return true;
      await pause(HURRIED_HEARTBEAT_MS);
    }
    return false;
  }

  // ---- keys that are granted by calls

  private takeGrant(body: string, response: ServerResponse): void {
    const taken = this.keys.grant(readGrantCall(body));
    answerPlain(response, taken ? STATUS.ok : STATUS.superseded);
  }

  private async takeRelease(body: string, response: ServerResponse): Promise<void> {
    const call = readGrantCall(body);
    this.keys.release(call);
    while (this.up && this.keys.worksIn(call)) await pause(RELEASE_POLL_MS);
    response.writeHead(STATUS.ok, { ...releaseHeaders(this.keys.nextHandover()), 'content-length': 0 });
    response.end();
  }

  /** Carries a call out late, whatever has become of its sender; it gets no answer. */
  private holdUp(path: string, body: string): void {
    const call = readGrantCall(body);
    const lateMs = this.options.random.fraction() * this.heldUp.latestMs;
    setTimeout(() => {
      if (!this.up) return;
      if (path === PATHS.grant) this.keys.grant(call);
      else this.keys.release(call);
    }, lateMs);
  }

  // ---- requests

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const body = await readBody(request);
    if (body === null || !this.up) return;
    const path = request.url ?? '/';
    const isOrder = path === PATHS.grant || path === PATHS.release;
    if (isOrder && this.isMisdirected(request)) answerPlain(response, STATUS.misdirected);
    else if (isOrder && this.options.random.fraction() < this.heldUp.share) this.holdUp(path, body);
    else if (path === PATHS.grant) this.takeGrant(body, response);
    else if (path === PATHS.release) await this.takeRelease(body, response);
    else if (path === PATHS.health) answerPlain(response, STATUS.ok, healthHeaders(this.id, this.coldLeftMs));
    else this.takeRequest(request, response, path);
  }

  private takeRequest(request: IncomingMessage, response: ServerResponse, path: string): void {
    const requestId = headerOf(request, PLATFORM_HEADERS.requestId);
    const keyText = headerOf(request, PLATFORM_HEADERS.key);
    const key = this.options.keyed ? Number(keyText) : null;
    if (this.isMisdirected(request)) {
      this.decline(response, requestId, STATUS.misdirected);
      return;
    }
    this.noteArrival(performance.now());
    if (key !== null && !this.keys.holds(key)) {
      this.decline(response, requestId, STATUS.misdirected);
      return;
    }
    const run = (): void => {
      void this.run(request, response, { requestId, path, key });
    };
    if (this.running < SLOTS) run();
    else if (this.queue.length < QUEUE) this.queue.push(run);
    else this.decline(response, requestId, STATUS.notExecuted);
  }

  private isMisdirected(request: IncomingMessage): boolean {
    const wanted = headerOf(request, PLATFORM_HEADERS.expectedInstance);
    return wanted !== '' && wanted !== this.id;
  }

  private noteArrival(nowMs: number): void {
    const { judge, zone, life } = this.options;
    judge.arrived(life, nowMs);
    judge.arrivedInZone(life, zone, nowMs);
    if (this.coldLeftMs > 0) judge.arrivedCold(life, MOST_WHILE_COLD, nowMs);
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
    work: { readonly requestId: string; readonly path: string; readonly key: number | null },
  ): Promise<void> {
    const { judge, random, service } = this.options;
    const { requestId, path, key } = work;
    if (response.destroyed || (key !== null && !this.keys.holds(key))) {
      if (!response.destroyed) this.decline(response, requestId, STATUS.misdirected);
      this.next();
      return;
    }
    this.running += 1;
    if (key !== null) this.keys.begin(key);
    const repeatable = request.method === 'GET';
    judge.runStarted({ requestId, backend: this.options.life, service, key, repeatable }, performance.now());
    if (path.endsWith(ENDING_PATH)) judge.endingRequestRun(path, performance.now());
    await pause(random.exponential(WORK_MS));
    if (path.endsWith(ENDING_PATH) && this.up) {
      judge.endedUnder(path, performance.now());
      this.options.onEndingRequest();
      return;
    }
    this.running -= 1;
    if (key !== null) this.keys.end(key);
    if (this.up) this.answer(response, requestId, path, key);
    this.next();
  }

  private next(): void {
    if (this.running < SLOTS) this.queue.shift()?.();
  }

  private answer(response: ServerResponse, requestId: string, path: string, key: number | null): void {
    const { random } = this.options;
    const { answerLost, answerCut, secondAnswer } = this.misbehaviour;
    const chance = random.fraction();
    if (chance < answerLost) {
      response.destroy();
      return;
    }
    const body = expectedBody(requestId, path);
    const headers = {
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.seal]: `seal-${requestId}`,
      'content-length': body.length,
      ...(this.draining ? { connection: 'close' } : {}),
    };
    const lostLease = key !== null && !this.keys.holds(key);
    response.writeHead(lostLease ? STATUS.lostLease : STATUS.ok, headers);
    if (chance < answerLost + answerCut) {
      response.write(body.slice(0, body.length / 2));
      setTimeout(() => response.destroy(), 5);
      return;
    }
    const { socket } = response;
    response.end(body);
    if (chance >= answerLost + answerCut + secondAnswer) return;
    const again = `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.requestId}: ${requestId}\r\n`;
    const seal = `${PLATFORM_HEADERS.seal}: seal-${requestId}\r\n`;
    setTimeout(() => socket?.write(`${again}${seal}content-length: 4\r\n\r\nmore`), 1);
  }

  private decline(response: ServerResponse, requestId: string, status: number): void {
    response.writeHead(status, {
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.notRun]: '1',
      'content-length': 0,
    });
    response.end();
  }
}

function headerOf(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function answerPlain(response: ServerResponse, status: number, headers: object = {}): void {
  response.writeHead(status, { ...headers, 'content-length': 0 });
  response.end();
}

async function readBody(request: IncomingMessage): Promise<string | null> {
  let text = '';
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) text += chunk.toString();
    return text;
  } catch {
    return null;
  }
}
