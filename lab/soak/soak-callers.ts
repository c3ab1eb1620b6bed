/** Callers of a soak: an open loop of requests at every daemon that counts as ready, and what became of each. */
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { PATHS, PLATFORM_HEADERS } from '../../platform/stand-in-wire.js';
import type { Random } from '../random.js';
import { ENDING_PATH, expectedBody } from './soak-backend.js';
import type { SoakJudge } from './soak-judge.js';

/** Time that a caller waits, in ms, and by how much longer it listens. */
const DEADLINE_MS = 2_000;
const LISTENS_MS = 2_600;

/** Pause between looks at whether a daemon is ready, in ms; it is out after this many misses in a row. */
const READINESS_MS = 300;
const MISSES_LIMIT = 2;

/** Largest key, and part of the requests that go to a few keys. */
const LAST_KEY = 65_535;
const BUSY_KEYS = 300;
const BUSY_SHARE = 0.6;

const STATUS = { ok: 200, firstNotSuccess: 300, unknownRoute: 404 } as const;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A route that callers use. */
export interface CalledRoute {
  readonly host: string;
  readonly prefix: string;
  readonly repeatable: boolean;
  readonly keyed: boolean;
}

/** A daemon that callers use. */
export interface CalledDaemon {
  readonly machine: string;
  readonly callers: SocketAddress;
  readonly readiness: SocketAddress;
}

/** What callers need of the soak. */
export interface CallerPorts {
  readonly judge: SoakJudge;
  readonly random: Random;
  /** Whether a machine is being stopped as planned and nothing else troubles the fleet since `sinceMs`. */
  readonly stopsAsPlanned: (machine: string, sinceMs: number) => boolean;
}

/** Sums over all requests. */
export interface CallerCounts {
  sent: number;
  answered: number;
  refused: number;
  failed: number;
}

/** All callers. */
export class SoakCallers {
  readonly counts: CallerCounts = { sent: 0, answered: 0, refused: 0, failed: 0 };
  private readonly misses = new Map<string, number>();
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });
  private readonly timers: NodeJS.Timeout[] = [];
  private nextId = 0;

  constructor(
    private readonly seed: number,
    private readonly daemons: readonly CalledDaemon[],
    private readonly routes: readonly CalledRoute[],
    private readonly ports: CallerPorts,
  ) {
    for (const { machine } of daemons) this.misses.set(machine, MISSES_LIMIT);
  }

  /** Begins to call, so many requests a second in all. */
  start(perSecond: number): void {
    this.timers.push(
      setInterval(() => {
        for (const daemon of this.daemons) void this.lookAtReadiness(daemon);
      }, READINESS_MS),
      setInterval(() => {
        this.sendOne();
      }, 1_000 / perSecond),
    );
  }

  /** Calls no more. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Whether a daemon counts as ready. */
  isReady(machine: string): boolean {
    return (this.misses.get(machine) ?? MISSES_LIMIT) < MISSES_LIMIT;
  }

  /** New connections are opened to daemons that are ready; those that are open are used until they are closed. */
  private sendOne(): void {
    const usable = this.daemons.filter((daemon) => {
      return this.isReady(daemon.machine) || this.hasIdleConnection(daemon);
    });
    if (usable.length > 0)
      void this.send(this.ports.random.pick(usable), this.ports.random.pick(this.routes));
  }

  /** Sends the request that ends what runs it, at any ready daemon; its route and key follow from the choice. */
  sendEnding(choice: number): void {
    const route = this.routes[choice % this.routes.length];
    const usable = this.daemons.filter(({ machine }) => this.isReady(machine));
    if (route === undefined || usable.length === 0) return;
    const path = `${route.prefix}${choice}${ENDING_PATH}`;
    void this.send(this.ports.random.pick(usable), route, { path, key: choice });
  }

  private hasIdleConnection({ callers: { host, port } }: CalledDaemon): boolean {
    const prefix = `${host}:${port}:`;
    return Object.entries(this.agent.freeSockets).some(([name, sockets]) => {
      return name.startsWith(prefix) && (sockets?.length ?? 0) > 0;
    });
  }

  private async lookAtReadiness({ machine, readiness }: CalledDaemon): Promise<void> {
    const ready = await new Promise<boolean>((resolve) => {
      const { host, port } = readiness;
      const call = httpRequest({ host, port, path: PATHS.readiness, agent: false }, (answer) => {
        answer.resume();
        resolve(answer.statusCode === STATUS.ok);
      });
      call.setTimeout(READINESS_MS, () => call.destroy());
      call.on('error', () => {
        resolve(false);
      });
      call.end();
    });
    this.misses.set(machine, ready ? 0 : (this.misses.get(machine) ?? 0) + 1);
  }

  /** Sends one request on a route to a daemon; returns its status, null without a whole answer. */
  async send(
    daemon: CalledDaemon,
    route: CalledRoute,
    same: { readonly path: string; readonly key: number } | null = null,
  ): Promise<number | null> {
    const { random } = this.ports;
    this.nextId += 1;
    const requestId = `s${this.seed}-${this.nextId}`;
    const path = same?.path ?? `${route.prefix}${requestId}`;
    const headers: Record<string, string> = {
      host: route.host,
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.deadlineMs]: String(DEADLINE_MS),
    };
    if (route.keyed) headers[PLATFORM_HEADERS.key] = String(same?.key ?? drawKey(random));
    this.counts.sent += 1;
    const sentMs = performance.now();
    const { host, port } = daemon.callers;
    const method = route.repeatable ? 'GET' : 'POST';
    return await new Promise((resolve) => {
      const call = httpRequest({ host, port, path, method, headers, agent: this.agent }, (answer) => {
        this.take(answer, requestId, path, route, resolve);
      });
      call.setTimeout(LISTENS_MS, () => call.destroy());
      call.on('error', () => {
        this.lost(call.reusedSocket, daemon, requestId, sentMs);
        resolve(null);
      });
      call.end();
    });
  }

  private take(
    answer: IncomingMessage,
    requestId: string,
    path: string,
    route: CalledRoute,
    resolve: (status: number | null) => void,
  ): void {
    const status = answer.statusCode ?? 0;
    const chunks: Buffer[] = [];
    answer.on('data', (chunk: Buffer) => chunks.push(chunk));
    answer.on('error', () => undefined);
    answer.on('close', () => {
      const whole = answer.complete;
      if (whole) this.judgeAnswer(status, answer, Buffer.concat(chunks).toString(), requestId, path, route);
      else this.counts.failed += 1;
      resolve(whole ? status : null);
    });
  }

  private judgeAnswer(
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
      const right = seal === `seal-${requestId}` && body === expectedBody(requestId, path);
      if (!right) judge.wrongAnswer(requestId, `status ${status}, ${body.length} bytes`, nowMs);
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

  /** A kept connection may be closed just before a request comes; one that no back end has begun was then not read. */
  private lost(reused: boolean, { machine }: CalledDaemon, requestId: string, sentMs: number): void {
    this.counts.failed += 1;
    const waitedMs = performance.now() - sentMs;
    const unread = reused && !this.ports.judge.hasRun(requestId);
    if (unread || waitedMs >= DEADLINE_MS || !this.ports.stopsAsPlanned(machine, sentMs)) return;
    this.ports.judge.cutByPlannedStop(requestId, machine, performance.now());
  }
}

function drawKey(random: Random): number {
  return random.fraction() < BUSY_SHARE ? random.below(BUSY_KEYS) : random.below(LAST_KEY + 1);
}
