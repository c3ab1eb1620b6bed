/**
 * A back end of a soak: holds keys under fences, runs requests within its slots, reports its state in heartbeats, and
 * reports its actions to the judge. On request it loses an answer, cuts one short or sends a second one, gives answers without
 * a length, also with a second one behind, and cuts heads off in front of another answer.
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
import { SoakSignals } from './soak-signals.js';
import { streamContent } from './answer-stream.js';
import { readStatedWork, StreamContent, type StatedWork } from './stated-work.js';
import type { StallLog } from './large/stall-log.js';

/** Requests that wait for a slot. */
const QUEUE_CAPACITY = 12;

/** Mean duration of a request, in ms. */
const WORK_MS = 30;

/** Interval of heartbeats in ms, and interval while keys are being released. */
const HEARTBEAT_MS = 500;
const RELEASING_HEARTBEAT_MS = 80;

/** Interval in ms between checks for the end of work on released keys. */
const RELEASE_POLL_MS = 5;

/** Maximum number of requests per second to a cold back end. */
const MAX_COLD_REQUESTS_PER_S =
  STAND_IN_COLD_START.cold_per_s * STAND_IN_BOUNDS.cold_excess + STAND_IN_BOUNDS.cold_slack;

/** Timeout of a heartbeat, in ms. */
const HEARTBEAT_TIMEOUT_MS = 1_000;

/** Time in ms for which a back end keeps serving after its leave was acknowledged. */
const SERVING_AFTER_LEAVE_MS = 2_500;

/** Time in ms after which a leave is no longer retried and the back end ends without an acknowledgement. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 6_000;

const STATUS = { ok: 200, notRun: 503, superseded: 409, misdirected: 421, lostLease: 500 } as const;

/** Suffix of the path of requests that crash every back end that runs them. */
export const CRASHING_PATH_SUFFIX = '/ends-what-runs-it';

/** Faults in the answers of a back end, as shares of the requests that it ran. */
export interface AnswerFaults {
  readonly answerLost: number;
  readonly answerCut: number;
  readonly secondAnswer: number;
  /** Answers without a length; those with a second answer behind; and heads that are cut off in front of another answer. */
  readonly unframed: number;
  readonly unframedWithSecond: number;
  readonly headCut: number;
}

/** No faults. */
export const NO_ANSWER_FAULTS: AnswerFaults = {
  answerLost: 0,
  answerCut: 0,
  secondAnswer: 0,
  unframed: 0,
  unframedWithSecond: 0,
  headCut: 0,
};

/** Maximum time in ms between the two halves of an answer without a length, and before a second answer behind it. */
const MAX_HALF_PAUSE_MS = 30;

/** Delayed grant and release calls: a share of them gets no answer and takes effect within a time in ms. */
export interface DelayedCalls {
  readonly share: number;
  readonly maxDelayMs: number;
}

/** No delayed calls. */
export const NO_DELAYED_CALLS: DelayedCalls = { share: 0, maxDelayMs: 0 };

/** Options of a back end. */
export interface SoakBackendOptions {
  /** Id that the back end registers under; several incarnations may share it. */
  readonly id: string;
  /** Name that is unique to the incarnation; the judge identifies back ends by it. */
  readonly life: string;
  /** Machine that the back end runs on. */
  readonly machine: string;
  readonly service: string;
  /** Requests that the back end runs concurrently. */
  readonly slots: number;
  readonly zone: string;
  readonly keyed: boolean;
  /** Time in ms for which the back end is cold after its start. */
  readonly coldMs: number;
  readonly grantMode: GrantMode;
  readonly address: SocketAddress;
  /** Address at which the daemon receives heartbeats. */
  readonly control: SocketAddress;
  readonly judge: SoakJudge;
  readonly random: Random;
  /** Stalls of this process, which plays callers and back ends. */
  readonly stalls: StallLog;
  /** Called when a request that crashes back ends has run. */
  readonly onCrashingRequest: () => void;
}

/** Returns the body of the answer to a request, which callers compute as well. */
export function expectedBody(requestId: string, path: string): string {
  return createHash('sha256').update(`${requestId} ${path}`).digest('hex').repeat(8);
}

/** One incarnation of a back end. */
export class SoakBackend {
  answerFaults = NO_ANSWER_FAULTS;
  delayedCalls = NO_DELAYED_CALLS;
  /** Whether probes that name this back end get no answer. */
  isTooBusyForProbes = false;
  readonly signals: SoakSignals;
  private readonly server: Server;
  private readonly keys: HeldKeys;
  private running = 0;
  private readonly queue: (() => void)[] = [];
  private sequence = 0;
  /** Bodies of heartbeats that are held back; null while they are sent. */
  private heldHeartbeats: string[] | null = null;
  private draining = false;
  private saidGoodbye = false;
  private isUp = true;
  private startedMs = 0;
  private bornMs = 0;
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly options: SoakBackendOptions) {
    const { life, service, judge } = options;
    this.signals = new SoakSignals(life, judge.requestLimits);
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

  /** Id that the back end registers under. */
  get id(): string {
    return this.options.id;
  }

  /** Holds the heartbeats back, as a cut does; their sender goes on as if they had no answer. */
  holdHeartbeats(): void {
    this.heldHeartbeats = [];
  }

  /** Sends the heartbeats that were held back, also if this back end has ended. */
  async deliverHeldHeartbeats(): Promise<void> {
    const bodies = this.heldHeartbeats ?? [];
    this.heldHeartbeats = null;
    await Promise.all(bodies.map(async (body) => await this.callDaemon('PUT', body)));
  }

  /** Starts to listen and to send heartbeats. */
  async start(): Promise<void> {
    const { host, port } = this.options.address;
    this.startedMs = performance.now();
    this.bornMs = Date.now();
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.scheduleHeartbeat(0);
  }

  /** Ends immediately, without notice. */
  async crash(): Promise<void> {
    this.isUp = false;
    if (this.timer !== null) clearTimeout(this.timer);
    this.options.judge.ended(this.options.life);
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeAllConnections();
    });
  }

  /** Announces the leave, keeps serving for a while, says goodbye and ends. */
  async leave(): Promise<void> {
    if (await this.announceLeave()) await pause(SERVING_AFTER_LEAVE_MS);
    await this.sayGoodbye();
    await this.crash();
  }

  /** Announces the leave in heartbeats until it is acknowledged; returns whether it was. */
  async announceLeave(): Promise<boolean> {
    this.draining = true;
    const acknowledged = await this.awaitAcknowledgement(ACKNOWLEDGEMENT_TIMEOUT_MS);
    if (acknowledged) this.options.judge.drainAcknowledged(this.options.life, performance.now());
    return acknowledged;
  }

  /** Stops the heartbeats and sends the goodbye until it is acknowledged. */
  async sayGoodbye(): Promise<void> {
    this.saidGoodbye = true;
    const endMs = performance.now() + ACKNOWLEDGEMENT_TIMEOUT_MS;
    while (this.isUp && performance.now() < endMs) {
      if ((await this.callDaemon('DELETE', leaveBody(this.bornMs))) !== null) {
        this.options.judge.drainAcknowledged(this.options.life, performance.now());
        return;
      }
      await pause(RELEASING_HEARTBEAT_MS);
    }
  }

  private get coldLeftMs(): number {
    return Math.max(0, this.startedMs + this.options.coldMs - performance.now());
  }

  // ---- heartbeats

  private scheduleHeartbeat(ms: number): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      void this.sendHeartbeat();
    }, ms);
  }

  private async sendHeartbeat(): Promise<boolean> {
    if (!this.isUp || this.saidGoodbye) return false;
    const sentMs = performance.now();
    const answer = await this.callWithHeartbeat(this.nextHeartbeatBody());
    if (!this.isUp) return false;
    if (answer !== null) this.keys.applyAnswer(readHeartbeatAnswer(answer), sentMs);
    const releasing = this.keys.leaving().length > 0;
    this.scheduleHeartbeat(releasing ? RELEASING_HEARTBEAT_MS : HEARTBEAT_MS);
    return answer !== null;
  }

  private nextHeartbeatBody(): string {
    const { id, service, zone, keyed, address, slots } = this.options;
    this.sequence += 1;
    const { holds, released } = this.keys.report();
    const condition = this.draining ? 'draining' : 'ready';
    const common = {
      id,
      bornMs: this.bornMs,
      service,
      zone,
      slots,
      version: 'v1',
      condition,
      sequence: this.sequence,
      coldLeftMs: this.coldLeftMs,
    } as const;
    return heartbeatBody({ ...common, holds: keyed ? holds : null, released }, address);
  }

  private async callWithHeartbeat(body: string): Promise<string | null> {
    if (this.heldHeartbeats === null) return await this.callDaemon('PUT', body);
    this.heldHeartbeats.push(body);
    return null;
  }

  private async callDaemon(method: string, body: string): Promise<string | null> {
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

  private async awaitAcknowledgement(ms: number): Promise<boolean> {
    const endMs = performance.now() + ms;
    while (this.isUp && performance.now() < endMs) {
      if (await this.sendHeartbeat()) return true;
      await pause(RELEASING_HEARTBEAT_MS);
    }
    return false;
  }

  // ---- key grants by calls

  private handleGrant(body: string, response: ServerResponse): void {
    const accepted = this.keys.grant(readGrantCall(body));
    answerPlain(response, accepted ? STATUS.ok : STATUS.superseded);
  }

  private async handleRelease(body: string, response: ServerResponse): Promise<void> {
    const call = readGrantCall(body);
    this.keys.release(call);
    while (this.isUp && this.keys.hasWorkIn(call)) await pause(RELEASE_POLL_MS);
    response.writeHead(STATUS.ok, { ...releaseHeaders(this.keys.nextHandover()), 'content-length': 0 });
    response.end();
  }

  /** Applies a call late, even if its sender has ended meanwhile, and does not answer it. */
  private delayCall(path: string, body: string): void {
    const call = readGrantCall(body);
    const delayMs = this.options.random.fraction() * this.delayedCalls.maxDelayMs;
    setTimeout(() => {
      if (!this.isUp) return;
      if (path === PATHS.grant) this.keys.grant(call);
      else this.keys.release(call);
    }, delayMs);
  }

  // ---- requests

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const body = await readBody(request);
    if (body === null || !this.isUp) return;
    const path = request.url ?? '/';
    const isKeyCall = path === PATHS.grant || path === PATHS.release;
    if (isKeyCall && this.isMisdirected(request)) answerPlain(response, STATUS.misdirected);
    else if (isKeyCall && this.options.random.fraction() < this.delayedCalls.share)
      this.delayCall(path, body);
    else if (path === PATHS.grant) this.handleGrant(body, response);
    else if (path === PATHS.release) await this.handleRelease(body, response);
    else if (path === PATHS.health) this.handleProbe(request, response);
    else this.handleRequest(request, response, path);
  }

  /** A probe waits for a slot like a request, so a busy back end does not answer it in time. */
  private handleProbe(request: IncomingMessage, response: ServerResponse): void {
    if (this.isMisdirected(request)) answerPlain(response, STATUS.misdirected);
    else if (!this.isTooBusyForProbes)
      answerPlain(response, STATUS.ok, healthHeaders(this.id, this.coldLeftMs));
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse, path: string): void {
    const requestId = headerOf(request, PLATFORM_HEADERS.requestId);
    const keyText = headerOf(request, PLATFORM_HEADERS.key);
    const key = this.options.keyed ? Number(keyText) : null;
    if (this.isMisdirected(request)) {
      this.reject(response, requestId, STATUS.misdirected);
      return;
    }
    this.reportArrival(requestId, performance.now());
    if (key !== null && !this.keys.holds(key)) {
      this.reject(response, requestId, STATUS.misdirected);
      return;
    }
    const run = (): void => {
      void this.run(request, response, { requestId, path, key });
    };
    if (this.running < this.options.slots) run();
    else if (this.queue.length < QUEUE_CAPACITY) this.queue.push(run);
    else this.reject(response, requestId, STATUS.notRun);
  }

  private isMisdirected(request: IncomingMessage): boolean {
    const expectedId = headerOf(request, PLATFORM_HEADERS.expectedInstance);
    return expectedId !== '' && expectedId !== this.id;
  }

  private reportArrival(requestId: string, nowMs: number): void {
    const { judge, zone, life, stalls } = this.options;
    judge.arrived(life, requestId, nowMs);
    const atMs = stalls.earliestMs(nowMs);
    judge.unanswered?.arrived(requestId, this.options.machine, atMs);
    judge.lateWork.arrived({ requestId, backend: life, atMs });
    judge.arrivedInZone(life, zone, nowMs);
    if (this.coldLeftMs > 0) judge.arrivedCold(life, MAX_COLD_REQUESTS_PER_S, nowMs);
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
    work: { readonly requestId: string; readonly path: string; readonly key: number | null },
  ): Promise<void> {
    const { judge, random, service } = this.options;
    const { requestId, path, key } = work;
    if (response.destroyed || (key !== null && !this.keys.holds(key))) {
      if (!response.destroyed) this.reject(response, requestId, STATUS.misdirected);
      this.startNextQueued();
      return;
    }
    this.running += 1;
    if (key !== null) this.keys.begin(key);
    const repeatable = request.method === 'GET';
    judge.runStarted({ requestId, backend: this.options.life, service, key, repeatable }, performance.now());
    if (path.endsWith(CRASHING_PATH_SUFFIX)) judge.crashingRequestStarted(path, performance.now());
    const stated = readStatedWork(path);
    const startedMs = performance.now();
    await pause(stated?.workMs ?? random.exponential(WORK_MS));
    if (path.endsWith(CRASHING_PATH_SUFFIX) && this.isUp) {
      judge.crashedUnder(path, performance.now());
      this.options.onCrashingRequest();
      return;
    }
    const stream = stated?.stream ?? null;
    if (this.isUp && stream !== null) await this.streamAnswer(response, requestId, path, stream);
    this.running -= 1;
    if (key !== null) this.keys.end(key);
    const { machine } = this.options;
    const brokeOff = !this.isUp || stream?.cutAtBytes !== undefined;
    const span = { fromMs: startedMs, toMs: performance.now(), brokeOff };
    judge.unanswered?.worked({ requestId, machine, ...span });
    if (this.isUp && !response.headersSent) this.answer(response, requestId, path, key);
    this.startNextQueued();
  }

  /** Streams an answer; the work lasts as long as stated also when the daemon closes the connection before. */
  private async streamAnswer(
    response: ServerResponse,
    requestId: string,
    path: string,
    stream: NonNullable<StatedWork['stream']>,
  ): Promise<void> {
    const { bytes, durationMs } = stream;
    const endMs = performance.now() + durationMs;
    const headers = {
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.seal]: `seal-${requestId}`,
      ...this.signals.headers(),
      // Streams of an even length are chunked.
      ...(bytes % 2 === 0 ? {} : { 'content-length': bytes }),
      ...(this.draining ? { connection: 'close' } : {}),
    };
    response.writeHead(STATUS.ok, headers);
    await streamContent(response, new StreamContent(expectedBody(requestId, path), bytes), stream);
    if (stream.cutAtBytes !== undefined) return;
    if (response.destroyed && !response.writableFinished) await pause(Math.max(0, endMs - performance.now()));
  }

  private startNextQueued(): void {
    if (this.running < this.options.slots) this.queue.shift()?.();
  }

  private answer(response: ServerResponse, requestId: string, path: string, key: number | null): void {
    const { random } = this.options;
    const { answerLost, answerCut, secondAnswer } = this.answerFaults;
    const chance = random.fraction();
    if (chance < answerLost) {
      response.destroy();
      return;
    }
    const body = expectedBody(requestId, path);
    const lostLease = key !== null && !this.keys.holds(key);
    const { unframed, unframedWithSecond, headCut } = this.answerFaults;
    const framed = answerLost + answerCut + secondAnswer;
    if (!lostLease && chance >= framed && chance < framed + unframed + unframedWithSecond + headCut) {
      void this.answerOnSocket(response, requestId, body, chance - framed);
      return;
    }
    const headers = {
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.seal]: `seal-${requestId}`,
      ...this.signals.headers(),
      'content-length': body.length,
      ...(this.draining ? { connection: 'close' } : {}),
    };
    response.writeHead(lostLease ? STATUS.lostLease : STATUS.ok, headers);
    if (chance < answerLost + answerCut) {
      response.write(body.slice(0, body.length / 2));
      setTimeout(() => response.destroy(), 5);
      return;
    }
    const { socket } = response;
    response.end(body);
    if (chance >= answerLost + answerCut + secondAnswer) return;
    const secondHead = `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.requestId}: ${requestId}\r\n`;
    const seal = `${PLATFORM_HEADERS.seal}: seal-${requestId}\r\n`;
    setTimeout(() => socket?.write(`${secondHead}${seal}content-length: 4\r\n\r\nmore`), 1);
  }

  /** Writes an answer whose end only that of its connection marks, or a head that is cut off in front of another answer. */
  private async answerOnSocket(
    { socket }: ServerResponse,
    requestId: string,
    body: string,
    choice: number,
  ): Promise<void> {
    if (socket === null) return;
    const { random } = this.options;
    const { unframed, unframedWithSecond } = this.answerFaults;
    const ownHeaders = `${PLATFORM_HEADERS.requestId}: ${requestId}\r\n${PLATFORM_HEADERS.seal}: seal-${requestId}\r\n`;
    const signals = Object.entries(this.signals.headers()).map(([name, value]) => `${name}: ${value}\r\n`);
    const head = `HTTP/1.1 200 OK\r\n${ownHeaders}${signals.join('')}`;
    if (choice >= unframed + unframedWithSecond) {
      socket.write(head.slice(0, 1 + random.below(head.length - 1)));
      socket.end(
        `HTTP/1.1 500 Failed\r\n${PLATFORM_HEADERS.requestId}: ${requestId}\r\ncontent-length: 0\r\n\r\n`,
      );
      return;
    }
    socket.write(`${head}connection: close\r\n\r\n${body.slice(0, body.length / 2)}`);
    await pause(random.below(MAX_HALF_PAUSE_MS));
    if (!this.isUp) return;
    socket.write(body.slice(body.length / 2));
    if (choice >= unframed) {
      await pause(random.below(MAX_HALF_PAUSE_MS));
      socket.write(`${head}\r\n${body}`);
    }
    socket.end();
  }

  private reject(response: ServerResponse, requestId: string, status: number): void {
    response.writeHead(status, {
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.notRun]: '1',
      ...this.signals.headers(),
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
