/** Callers of a soak: an open loop of requests to every ready daemon, and the outcome of each. */
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { PATHS, PLATFORM_HEADERS } from '../../platform/stand-in-wire.js';
import { Random } from '../random.js';
import { CRASHING_PATH_SUFFIX, expectedBody } from './soak-backend.js';
import { readSignals } from '../../src/sidecar/backend-signals.js';
import type { SoakJudge } from './soak-judge.js';
import { LIFE_HEADER } from './soak-signals.js';

/** Deadline of a request in ms, and time after which a caller closes the connection. */
const DEADLINE_MS = 2_000;
const SOCKET_TIMEOUT_MS = 2_600;

/** Interval of readiness checks in ms; a daemon is not ready after this many failed checks in a row. */
const READINESS_INTERVAL_MS = 300;
const MAX_MISSES = 2;

/** Share of the callers that leave unless they have their answer by then, and mean time in ms after which they do. */
const LEAVING_SHARE = 0.15;
const MEAN_LEAVE_MS = 60;

/** Offset from the seed to the seed of the draws of leaving callers, which change no other draws. */
const LEAVE_SEED_OFFSET = 37_000_001;

/** Largest key, number of hot keys, and share of the requests that go to them. */
const LAST_KEY = 65_535;
const HOT_KEYS = 300;
const HOT_KEY_SHARE = 0.6;

const STATUS = { ok: 200, firstNotSuccess: 300, unknownRoute: 404 } as const;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Route that callers use. */
export interface CalledRoute {
  readonly host: string;
  readonly prefix: string;
  readonly repeatable: boolean;
  readonly keyed: boolean;
}

/** Daemon that callers use. */
export interface CalledDaemon {
  readonly machine: string;
  readonly callers: SocketAddress;
  readonly readiness: SocketAddress;
}

/** Dependencies of the callers. */
export interface CallerPorts {
  readonly judge: SoakJudge;
  readonly random: Random;
  /** Returns whether planned stops, one of them of this machine, are the only troubles since `sinceMs`. */
  readonly onlyPlannedStops: (machine: string, sinceMs: number) => boolean;
}

/** Numbers of all requests by outcome. */
export interface CallerCounts {
  sent: number;
  answered: number;
  refused: number;
  failed: number;
  /** Requests whose caller left before it had an answer. */
  left: number;
}

/** All callers. */
export class SoakCallers {
  readonly counts: CallerCounts = { sent: 0, answered: 0, refused: 0, failed: 0, left: 0 };
  private readonly misses = new Map<string, number>();
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly leaveRandom: Random;
  private nextId = 0;

  constructor(
    private readonly seed: number,
    private readonly daemons: readonly CalledDaemon[],
    private readonly routes: readonly CalledRoute[],
    private readonly ports: CallerPorts,
  ) {
    for (const { machine } of daemons) this.misses.set(machine, MAX_MISSES);
    this.leaveRandom = new Random(seed + LEAVE_SEED_OFFSET);
  }

  /** Starts to send `perSecond` requests a second in total. */
  start(perSecond: number): void {
    this.timers.push(
      setInterval(() => {
        for (const daemon of this.daemons) void this.checkReadiness(daemon);
      }, READINESS_INTERVAL_MS),
      setInterval(() => {
        this.sendOne();
      }, 1_000 / perSecond),
    );
  }

  /** Stops sending. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Returns whether a daemon counts as ready. */
  isReady(machine: string): boolean {
    return (this.misses.get(machine) ?? MAX_MISSES) < MAX_MISSES;
  }

  /** Sends to ready daemons, and to others over connections that are still open. */
  private sendOne(): void {
    const usable = this.daemons.filter((daemon) => {
      return this.isReady(daemon.machine) || this.hasIdleConnection(daemon);
    });
    if (usable.length > 0)
      void this.send(
        this.ports.random.pick(usable),
        this.ports.random.pick(this.routes),
        null,
        this.drawLeave(),
      );
  }

  /** Sends a request that crashes back ends, through any ready daemon; `choice` determines its route and key. */
  sendCrashingRequest(choice: number): void {
    const route = this.routes[choice % this.routes.length];
    const usable = this.daemons.filter(({ machine }) => this.isReady(machine));
    if (route === undefined || usable.length === 0) return;
    const path = `${route.prefix}${choice}${CRASHING_PATH_SUFFIX}`;
    void this.send(this.ports.random.pick(usable), route, { path, key: choice });
  }

  /** Returns the time in ms after which the next caller leaves; null if it waits for its answer. */
  private drawLeave(): number | null {
    if (this.leaveRandom.fraction() >= LEAVING_SHARE) return null;
    return this.leaveRandom.exponential(MEAN_LEAVE_MS);
  }

  private hasIdleConnection({ callers: { host, port } }: CalledDaemon): boolean {
    const prefix = `${host}:${port}:`;
    return Object.entries(this.agent.freeSockets).some(([name, sockets]) => {
      return name.startsWith(prefix) && (sockets?.length ?? 0) > 0;
    });
  }

  private async checkReadiness({ machine, readiness }: CalledDaemon): Promise<void> {
    const ready = await new Promise<boolean>((resolve) => {
      const { host, port } = readiness;
      const call = httpRequest({ host, port, path: PATHS.readiness, agent: false }, (answer) => {
        answer.resume();
        resolve(answer.statusCode === STATUS.ok);
      });
      call.setTimeout(READINESS_INTERVAL_MS, () => call.destroy());
      call.on('error', () => {
        resolve(false);
      });
      call.end();
    });
    this.misses.set(machine, ready ? 0 : (this.misses.get(machine) ?? 0) + 1);
  }

  /** Sends one request on a route to a daemon; returns its status, or null without a complete answer. */
  async send(
    daemon: CalledDaemon,
    route: CalledRoute,
    fixed: { readonly path: string; readonly key: number } | null = null,
    leaveAfterMs: number | null = null,
  ): Promise<number | null> {
    const { random } = this.ports;
    this.nextId += 1;
    const requestId = `s${this.seed}-${this.nextId}`;
    const path = fixed?.path ?? `${route.prefix}${requestId}`;
    const headers: Record<string, string> = {
      host: route.host,
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.deadlineMs]: String(DEADLINE_MS),
    };
    if (route.keyed) headers[PLATFORM_HEADERS.key] = String(fixed?.key ?? drawKey(random));
    this.counts.sent += 1;
    const sentMs = performance.now();
    this.ports.judge.toldLeaves.requestSent(requestId, daemon.machine, sentMs);
    const { host, port } = daemon.callers;
    const method = route.repeatable ? 'GET' : 'POST';
    return await new Promise((resolve) => {
      let ended = false;
      const end = (status: number | null): void => {
        ended = true;
        clearTimeout(leaveTimer);
        resolve(status);
      };
      const call = httpRequest({ host, port, path, method, headers, agent: this.agent }, (answer) => {
        this.reportSignals(answer, daemon);
        this.receiveAnswer(answer, requestId, path, route, () => !ended, end);
      });
      call.setTimeout(SOCKET_TIMEOUT_MS, () => call.destroy());
      call.on('error', () => {
        if (ended) return;
        this.lost(call.reusedSocket, daemon, requestId, sentMs);
        end(null);
      });
      call.end();
      const leave = (): void => {
        // A request that has no connection yet never reaches a daemon.
        if (call.socket?.connecting === false)
          this.ports.judge.lateWork.callerLeft(requestId, daemon.machine, performance.now());
        this.counts.left += 1;
        end(null);
        call.destroy();
      };
      const leaveTimer = leaveAfterMs === null ? undefined : setTimeout(leave, leaveAfterMs);
    });
  }

  private receiveAnswer(
    answer: IncomingMessage,
    requestId: string,
    path: string,
    route: CalledRoute,
    isAwaited: () => boolean,
    end: (status: number | null) => void,
  ): void {
    const status = answer.statusCode ?? 0;
    const chunks: Buffer[] = [];
    answer.on('data', (chunk: Buffer) => chunks.push(chunk));
    answer.on('error', () => undefined);
    answer.on('close', () => {
      if (!isAwaited()) return;
      const isComplete = answer.complete;
      if (isComplete)
        this.checkAnswer(status, answer, Buffer.concat(chunks).toString(), requestId, path, route);
      else this.counts.failed += 1;
      end(isComplete ? status : null);
    });
  }

  /** Reports what a back end states in an answer, and which machine has passed it on. */
  private reportSignals({ headers, rawHeaders }: IncomingMessage, { machine }: CalledDaemon): void {
    const life = headers[LIFE_HEADER];
    if (typeof life !== 'string') return;
    const { limit, leaving } = readSignals(rawHeaders, PLATFORM_HEADERS);
    const { requestLimits, toldLeaves } = this.ports.judge;
    const nowMs = performance.now();
    if (limit.kind === 'limited') requestLimits.told(life, limit.requestsPerSecond, nowMs);
    if (leaving) toldLeaves.answerPassedOn(life, machine, nowMs);
  }

  private checkAnswer(
    status: number,
    answer: IncomingMessage,
    body: string,
    requestId: string,
    path: string,
    route: CalledRoute,
  ): void {
    const { judge } = this.ports;
    const nowMs = performance.now();
    if (status >= STATUS.ok && status < STATUS.firstNotSuccess) {
      const seal = answer.headers[PLATFORM_HEADERS.seal];
      const isExpected = seal === `seal-${requestId}` && body === expectedBody(requestId, path);
      if (!isExpected) judge.wrongAnswer(requestId, `status ${status}, ${body.length} bytes`, nowMs);
      this.counts.answered += 1;
      return;
    }
    if (NOT_RUN_STATUSES.has(status)) {
      judge.refusedAsNotRun(requestId, route.repeatable, nowMs);
      this.counts.refused += 1;
      return;
    }
    this.counts.failed += 1;
  }

  /** A reused connection may close just before a request arrives; unless a back end has run it, the daemon did not read it. */
  private lost(isReused: boolean, { machine }: CalledDaemon, requestId: string, sentMs: number): void {
    this.counts.failed += 1;
    const elapsedMs = performance.now() - sentMs;
    const isUnread = isReused && !this.ports.judge.hasRun(requestId);
    if (isUnread || elapsedMs >= DEADLINE_MS || !this.ports.onlyPlannedStops(machine, sentMs)) return;
    this.ports.judge.cutByPlannedStop(requestId, machine, performance.now());
  }
}

function drawKey(random: Random): number {
  return random.fraction() < HOT_KEY_SHARE ? random.below(HOT_KEYS) : random.below(LAST_KEY + 1);
}
