/**
 * The operator of a soak: adds and changes routes through any replica, retries changes without a clear answer, and reads
 * the acknowledged changes back.
 */
import { request as httpRequest } from 'node:http';
import type { SocketAddress } from '../../src/model/socket-address.js';
import {
  configurationBody,
  PATHS,
  readRouteVersions,
  type StandInRoute,
} from '../../platform/stand-in-wire.js';
import { pause } from '../pause.js';
import type { Random } from '../random.js';
import type { AwaitedChanges } from './awaited-changes.js';
import type { SoakJudge } from './soak-judge.js';

/** Timeout of a call in ms, its addition for each character of the body, and pause before a retry at another replica. */
const ANSWER_TIMEOUT_MS = 1_000;
const ANSWER_TIMEOUT_MS_PER_CHARACTER = 0.005;
const RETRY_MS = 120;

/** Maximum number of redirections followed. */
const MAX_REDIRECTS = 2;

const STATUS = { ok: 200, firstClientError: 400, firstServerError: 500 } as const;

interface Reply {
  readonly status: number;
  readonly body: string;
  readonly location: string;
}

/** An acknowledged route, and the time of its acknowledgement. */
export interface AcknowledgedRoute {
  readonly route: StandInRoute;
  readonly atMs: number;
}

/** The operator. */
export class SoakOperator {
  /** Newest acknowledged version of every route. */
  readonly routes = new Map<string, AcknowledgedRoute>();
  /** Share of the acknowledgements that are treated as lost. */
  lostShare = 0;
  changes = 0;
  private version = 1;
  private stopped = false;

  constructor(
    private readonly replicas: readonly SocketAddress[],
    private readonly judge: SoakJudge,
    private readonly random: Random,
    private readonly awaitedChanges: AwaitedChanges,
  ) {}

  /** Sends a body until it is acknowledged; returns false if the operator was stopped before. */
  async change(body: string, routes: readonly StandInRoute[]): Promise<boolean> {
    const endWait = this.awaitedChanges.begin(`a change of ${routes[0]?.name ?? 'nothing'}`, routes.length);
    const acknowledged = await this.sendUntilAcknowledged(body, endWait);
    endWait();
    if (acknowledged) this.acknowledge(routes);
    return acknowledged;
  }

  /** A lost acknowledgement ends the wait as well, although the change is sent again. */
  private async sendUntilAcknowledged(body: string, onAcknowledged: () => void): Promise<boolean> {
    while (!this.stopped) {
      const reply = await this.call('PATCH', body);
      const lost = this.random.fraction() < this.lostShare;
      if (reply?.status === STATUS.ok) onAcknowledged();
      if (reply?.status === STATUS.ok && !lost) return true;
      const refused = reply !== null && reply.status >= STATUS.firstClientError;
      if (refused && reply.status < STATUS.firstServerError) {
        throw new Error(`a valid change was refused with ${reply.status}: ${reply.body}`);
      }
      await pause(RETRY_MS);
    }
    return false;
  }

  /** Begins or ends the evacuation of a zone; retries until it is acknowledged. */
  async evacuate(zone: string, evacuated: boolean): Promise<void> {
    if (!evacuated) this.judge.evacuationEnds(zone);
    const path = `${PATHS.evacuation}${encodeURIComponent(zone)}`;
    const endWait = this.awaitedChanges.begin(`the evacuation of ${zone}`, 0);
    while (!this.stopped) {
      const reply = await this.call(evacuated ? 'POST' : 'DELETE', '', path);
      if (reply?.status === STATUS.ok) break;
      await pause(RETRY_MS);
    }
    endWait();
    if (evacuated && !this.stopped) this.judge.evacuationAcknowledged(zone, performance.now());
  }

  /** Adds or changes one route at a time, at random intervals. */
  async changeRepeatedly(template: StandInRoute, pauseMs: number): Promise<void> {
    while (!this.stopped) {
      await pause(this.random.exponential(pauseMs));
      this.version += 1 + this.random.below(3);
      const name = `added-${this.random.below(6)}`;
      const route = { ...template, name, prefix: `/${name}/`, version: this.version };
      const acknowledged = await this.change(configurationBody([route], [], this.version), [route]);
      if (acknowledged) this.changes += 1;
    }
  }

  /** Adds or changes `count` routes like the template in one call. */
  async changeMany(template: StandInRoute, count: number): Promise<void> {
    this.version += 1;
    const routes = Array.from({ length: count }, (_, at): StandInRoute => {
      const name = `long-${at}`;
      return { ...template, name, prefix: `/${name}/`, version: this.version };
    });
    if (await this.change(configurationBody(routes, [], this.version), routes)) this.changes += 1;
  }

  /** Reads from random replicas, at random intervals. */
  async readRepeatedly(pauseMs: number): Promise<void> {
    while (!this.stopped) {
      await pause(this.random.exponential(pauseMs));
      await this.read(false);
    }
  }

  /** Reads once; returns false without a successful answer. */
  async read(atEnd: boolean): Promise<boolean> {
    const sentMs = performance.now();
    const reply = await this.call('GET', '');
    if (reply?.status !== STATUS.ok) return false;
    this.judge.changesRead(readRouteVersions(reply.body), sentMs, performance.now(), atEnd);
    return true;
  }

  /** Stops sending and reading. */
  stop(): void {
    this.stopped = true;
  }

  private acknowledge(routes: readonly StandInRoute[]): void {
    const atMs = performance.now();
    for (const route of routes) {
      this.routes.set(route.name, { route, atMs });
      this.judge.changeAcknowledged(route.name, route.version, atMs);
    }
  }

  private async call(
    method: string,
    body: string,
    path: string = PATHS.configuration,
  ): Promise<Reply | null> {
    let address = this.random.pick(this.replicas);
    for (let hop = 0; hop <= MAX_REDIRECTS; hop += 1) {
      const reply = await sendCall(address, method, body, path);
      if (reply === null || reply.location === '') return reply;
      const url = new URL(reply.location);
      address = { host: url.hostname, port: Number(url.port) };
    }
    return null;
  }
}

async function sendCall(
  { host, port }: SocketAddress,
  method: string,
  body: string,
  path: string,
): Promise<Reply | null> {
  return await new Promise((resolve) => {
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    const options = { host, port, path, method, headers, agent: false };
    const call = httpRequest(options, (answer) => {
      let text = '';
      answer.on('data', (chunk: Buffer) => (text += chunk.toString()));
      answer.on('error', () => {
        resolve(null);
      });
      answer.on('end', () => {
        resolve({ status: answer.statusCode ?? 0, body: text, location: answer.headers.location ?? '' });
      });
    });
    call.setTimeout(ANSWER_TIMEOUT_MS + body.length * ANSWER_TIMEOUT_MS_PER_CHARACTER, () => call.destroy());
    call.on('error', () => {
      resolve(null);
    });
    call.end(body);
  });
}
