/** An operator that replaces the whole configuration again and again, and reads acknowledged versions back. */
import { request as httpRequest } from 'node:http';
import { pause } from '../../lab/pause.js';
import { Random } from '../../lab/random.js';
import { PATHS } from '../../platform/stand-in-wire.js';
import type { SocketAddress } from '../../src/model/socket-address.js';

/** Pause in ms before a change without an answer, or with 503, is sent to the next directory. */
const RETRY_MS = 200;

/** Time in ms after which a call without an answer is given up. */
const ANSWER_TIMEOUT_MS = 2_500;

/** Time in ms for which one change is sent again before the operator gives it up. */
const CHANGE_MS = 20_000;

const MAX_REDIRECTS = 3;

const STATUS = { ok: 200, elsewhere: 307, conflict: 412, unavailable: 503 } as const;

interface Reply {
  readonly status: number;
  readonly text: string;
  readonly location: string | null;
}

/** How an operator's configurations differ. */
export interface ConfigurationShape {
  readonly routes: number;
  /** Length of the text that each route carries beside its fields. */
  readonly notesLength: number;
}

/** What an operator saw. */
export interface OperatorCounts {
  acknowledged: number;
  refused: number;
  unanswered: number;
  unavailable: number;
  /** Longest time in ms until a change was answered with 200 or 412. */
  longestMs: number;
}

/** A change that was not answered in `CHANGE_MS`, a version that was not read back, or a member that stays behind. */
export class PlayError extends Error {}

/** The operator. */
export class ConfigurationOperator {
  readonly counts: OperatorCounts = {
    acknowledged: 0,
    refused: 0,
    unanswered: 0,
    unavailable: 0,
    longestMs: 0,
  };
  /** Newest acknowledged version. */
  version = 0;
  private readonly random: Random;
  private next: number;

  constructor(
    private readonly addresses: readonly SocketAddress[],
    private readonly shape: ConfigurationShape,
    seed: number,
  ) {
    this.random = new Random(seed);
    this.next = this.random.below(addresses.length);
  }

  /** Replaces the configuration by one of the next version; returns once it is acknowledged. */
  async replace(): Promise<void> {
    const version = this.version + 1;
    const { status } = await this.sendUntilDecided('PUT', this.version, this.body(version));
    if (status !== STATUS.ok) throw new PlayError(`version ${version} was answered with ${status}`);
    this.version = version;
    this.counts.acknowledged += 1;
  }

  /** Sends a configuration on a base that was replaced; returns once it is refused. */
  async replaceStale(): Promise<void> {
    const base = this.random.below(this.version);
    const { status } = await this.sendUntilDecided('PUT', base, this.body(this.version + 1));
    if (status !== STATUS.conflict) throw new PlayError(`base ${base} was answered with ${status}`);
    this.counts.refused += 1;
  }

  /** Reads the configuration; it must be the one acknowledged last. */
  async checkVersion(): Promise<void> {
    const { text } = await this.sendUntilDecided('GET', null, '');
    const { version, routes } = JSON.parse(text) as {
      version: number;
      routes: Record<string, { notes: string }>;
    };
    if (version !== this.version) throw new PlayError(`read ${version} after ${this.version}`);
    const stale = Object.values(routes).filter(({ notes }) => !notes.startsWith(`${version} `));
    if (stale.length > 0 || Object.keys(routes).length !== this.shape.routes) {
      throw new PlayError(`version ${version} was read with routes of other versions`);
    }
  }

  private body(version: number): string {
    const { routes, notesLength } = this.shape;
    const rows = Array.from({ length: routes }, (_, at) => [
      `route-${at}`,
      {
        host: `host-${at % 7}.example`,
        path_prefix: `/area-${at}/`,
        route_type: 'safe',
        timeout_s: 2,
        target_latency_s: 0.5,
        priority: 1,
        service: 'orders',
        max_attempts: 2,
        notes: `${version} ${this.text(notesLength)}`,
      },
    ]);
    const services = { orders: { health_path: '/health', max_connections: 100 } };
    return JSON.stringify({ version, routes: Object.fromEntries(rows) as unknown, services });
  }

  private text(length: number): string {
    let text = '';
    while (text.length < length) text += this.random.fraction().toString(36).slice(2);
    return text.slice(0, length);
  }

  private async sendUntilDecided(method: string, base: number | null, body: string): Promise<Reply> {
    const startedMs = performance.now();
    while (performance.now() - startedMs < CHANGE_MS) {
      const reply = await this.send(method, base, body);
      if (reply !== null && reply.status !== STATUS.unavailable && reply.status !== STATUS.elsewhere) {
        this.counts.longestMs = Math.max(this.counts.longestMs, performance.now() - startedMs);
        return reply;
      }
      if (reply === null) this.counts.unanswered += 1;
      else this.counts.unavailable += 1;
      this.next += 1;
      await pause(RETRY_MS);
    }
    throw new PlayError(`${method} on ${base ?? '-'} was not answered in ${CHANGE_MS} ms`);
  }

  /** Sends a call to the next directory, and to where it is redirected. */
  private async send(method: string, base: number | null, body: string): Promise<Reply | null> {
    let address = this.addresses[this.next % this.addresses.length];
    let reply: Reply | null = null;
    for (let hop = 0; hop <= MAX_REDIRECTS && address !== undefined; hop += 1) {
      reply = await sendCall(address, method, base, body);
      if (reply?.status !== STATUS.elsewhere || reply.location === null) return reply;
      const { hostname, port } = new URL(reply.location);
      address = { host: hostname, port: Number(port) };
    }
    return reply;
  }
}

async function sendCall(
  { host, port }: SocketAddress,
  method: string,
  base: number | null,
  body: string,
): Promise<Reply | null> {
  return await new Promise((resolve) => {
    const headers: Record<string, string> = { 'content-type': 'application/json' };
    headers['content-length'] = String(Buffer.byteLength(body));
    if (base !== null) headers['if-match'] = `"${base}"`;
    const call = httpRequest(
      { host, port, path: PATHS.configuration, method, headers, agent: false },
      (answer) => {
        let text = '';
        answer.setEncoding('utf8');
        answer.on('data', (chunk: string) => (text += chunk));
        answer.on('error', () => {
          resolve(null);
        });
        answer.on('end', () => {
          resolve({ status: answer.statusCode ?? 0, text, location: answer.headers.location ?? null });
        });
      },
    );
    call.setTimeout(ANSWER_TIMEOUT_MS, () => call.destroy());
    call.on('error', () => {
      resolve(null);
    });
    call.end(body);
  });
}
