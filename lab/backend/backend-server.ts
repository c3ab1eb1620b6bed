/**
 * A stand-in for a stateful server that owns its keys: keeps a value for each key, works on few requests at
 * a time, starts cold, drains, sheds, and tells its health late or wrongly. Offers the grant contract.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import {
  REFUSAL_HEADER,
  REQUEST_HEADERS,
  type RefusalCode,
} from '../../src/backend-contract/grant-messages.js';
import { monotonicMs } from '../../src/runtime/clock.js';
import { JournalWriter } from '../journal.js';
import { Random } from '../random.js';
import { registerContract } from './contract-routes.js';
import { downloadBody } from './download-body.js';
import { GrantTable, type Admission } from './grant-table.js';

/** How a stand-in behaves. */
export interface BackendOptions {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  /** Mean time of one request, in ms. */
  readonly workMs: number;
  /** Time in ms after the start in which requests take longer. */
  readonly coldMs: number;
  /** How many times longer the first requests take. */
  readonly coldFactor: number;
  readonly repeatHorizonMs: number;
  /** What the health endpoint tells: the truth, the truth of some time ago, or always that all is well. */
  readonly health: 'honest' | 'lagging' | 'misleading';
  readonly seed: number;
  /** File for the execution journal; null for none. */
  readonly journal: string | null;
}

/** How far a lagging health endpoint is behind, in ms. */
const HEALTH_LAG_MS = 5_000;

/** When a refused caller may come back, in ms. */
const OVERLOAD_RETRY_MS = 20;

const STATUS_UNAVAILABLE = 503;
const STATUS_CONFLICT = 409;
const STATUS_NOT_OWNER = 421;

const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
  'not-owner': STATUS_NOT_OWNER,
  'lease-expired': STATUS_NOT_OWNER,
  releasing: STATUS_NOT_OWNER,
  overloaded: STATUS_UNAVAILABLE,
  draining: STATUS_UNAVAILABLE,
  'deadline-passed': STATUS_UNAVAILABLE,
  'freshness-unproven': STATUS_CONFLICT,
  'in-progress': STATUS_CONFLICT,
};

type Operation = 'items' | 'confirm' | 'download';

interface WorkRequest {
  readonly operation: Operation;
  readonly key: string;
  readonly query: Readonly<Record<string, string>>;
  readonly headers: IncomingHttpHeaders;
  readonly closed: () => boolean;
}

interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A running stand-in. */
export class BackendServer {
  readonly instance = randomUUID();
  readonly grants: GrantTable;
  readonly load = new Map<number, number>();
  draining = false;
  inFlight = 0;
  private readonly values = new Map<string, number>();
  private readonly random: Random;
  private readonly startedMs = monotonicMs();
  private readonly journal: JournalWriter | null;
  private readonly app: FastifyInstance;

  constructor(readonly options: BackendOptions) {
    this.grants = new GrantTable(monotonicMs, options.repeatHorizonMs);
    this.random = new Random(options.seed);
    this.journal = options.journal === null ? null : new JournalWriter(options.journal);
    this.app = fastify({ forceCloseConnections: 'idle' });
    registerContract(this.app, this);
    this.registerWork();
    this.registerHealth();
  }

  /** Starts to listen. */
  async listen(): Promise<void> {
    await this.app.listen({ host: this.options.host, port: this.options.port });
  }

  /** Finishes what is in flight, then stops. */
  async stop(): Promise<void> {
    this.draining = true;
    await this.app.close();
    this.journal?.close();
  }

  private registerWork(): void {
    const { service } = this.options;
    const handle = async (
      operation: Operation,
      request: FastifyRequest,
      reply: FastifyReply,
    ): Promise<FastifyReply> => {
      const { key } = request.params as { key: string };
      const query = request.query as Record<string, string>;
      const closed = (): boolean => request.raw.socket.destroyed;
      return await this.serve({ operation, key, query, headers: request.headers, closed }, reply);
    };
    this.app.get(`/${service}/items/:key`, async (request, reply) => await handle('items', request, reply));
    this.app.get(
      `/${service}/download/:key`,
      async (request, reply) => await handle('download', request, reply),
    );
    this.app.post(
      `/${service}/confirm/:key`,
      async (request, reply) => await handle('confirm', request, reply),
    );
  }

  private registerHealth(): void {
    const history: { readonly atMs: number; readonly inFlight: number }[] = [];
    this.app.get('/-/health', () => {
      const nowMs = monotonicMs();
      history.push({ atMs: nowMs, inFlight: this.inFlight });
      const old = history.filter((seen) => nowMs - seen.atMs >= HEALTH_LAG_MS).at(-1);
      const lagging = { status: 'ok', inFlight: old?.inFlight ?? 0 };
      const honest = { status: this.draining ? 'draining' : 'ok', inFlight: this.inFlight };
      const misleading = { status: 'ok', inFlight: 0 };
      return { honest, lagging, misleading }[this.options.health];
    });
  }

  private async serve(work: WorkRequest, reply: FastifyReply): Promise<FastifyReply> {
    const admission = this.admit(work.headers);
    if (typeof admission === 'string') return refuse(reply, admission);
    try {
      return await this.serveAdmitted(work, admission, reply);
    } finally {
      admission?.end();
    }
  }

  /** Checks the fence of a request; null when it needs none. */
  private admit(headers: IncomingHttpHeaders): Admission | RefusalCode | null {
    const shard = headers[REQUEST_HEADERS.shard];
    if (shard === undefined) return this.draining ? 'draining' : null;
    const number = Number(shard);
    this.load.set(number, (this.load.get(number) ?? 0) + 1);
    return this.grants.admit(number, Number(headers[REQUEST_HEADERS.epoch]));
  }

  private async serveAdmitted(
    work: WorkRequest,
    admission: Admission | null,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    if (this.inFlight >= this.options.slots) return refuse(reply, 'overloaded');
    const claimKey =
      work.operation === 'confirm' ? headerOf(work.headers, REQUEST_HEADERS.idempotencyKey) : null;
    const window = admission?.window ?? null;
    if (claimKey !== null && window !== null) {
      const decision = window.claim(claimKey, Date.now());
      if (decision.kind === 'replay')
        return send(reply.header('aldertide-replayed', 'true'), decision.answer);
      if (decision.kind !== 'run') return refuse(reply, decision.kind);
    }
    this.inFlight += 1;
    try {
      await sleep(this.workTime());
      const valid = !work.closed() && (admission?.stillValid() ?? true);
      if (!valid) {
        if (claimKey !== null) window?.abandon(claimKey);
        return refuse(reply, 'lease-expired');
      }
      const answer = this.execute(work);
      if (claimKey !== null) window?.complete(claimKey, answer);
      return work.operation === 'download' ? sendDownload(reply, work) : send(reply, answer);
    } finally {
      this.inFlight -= 1;
    }
  }

  private workTime(): number {
    const cold = monotonicMs() - this.startedMs < this.options.coldMs;
    return this.random.exponential(this.options.workMs) * (cold ? this.options.coldFactor : 1);
  }

  /** Changes the state and writes the journal, in one turn with the check of the grant. */
  private execute(work: WorkRequest): Answer {
    const { name, service } = this.options;
    const version = (this.values.get(work.key) ?? 0) + Number(work.operation === 'confirm');
    this.values.set(work.key, version);
    const shard = headerOf(work.headers, REQUEST_HEADERS.shard);
    const epoch = headerOf(work.headers, REQUEST_HEADERS.epoch);
    const sendingId = headerOf(work.headers, 'x-sending-id') ?? '';
    this.journal?.write({
      kind: 'execution',
      atMs: monotonicMs(),
      backend: name,
      service,
      shard: shard === null ? null : Number(shard),
      epoch: epoch === null ? null : Number(epoch),
      key: work.key,
      sendingId,
      idempotencyKey: headerOf(work.headers, REQUEST_HEADERS.idempotencyKey),
      repeatable: work.operation !== 'confirm',
    });
    const content = { key: work.key, version, backend: name, sendingId };
    return { status: 200, contentType: 'application/json', body: JSON.stringify(content) };
  }
}

function headerOf(headers: IncomingHttpHeaders, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}

function refuse(reply: FastifyReply, code: RefusalCode): FastifyReply {
  const retryAfterMs = code === 'overloaded' ? OVERLOAD_RETRY_MS : 0;
  return reply
    .status(REFUSAL_STATUS[code])
    .header(REFUSAL_HEADER, code)
    .header('aldertide-retry-after-ms', String(retryAfterMs))
    .send();
}

function send(reply: FastifyReply, answer: Answer): FastifyReply {
  return reply.status(answer.status).header('content-type', answer.contentType).send(answer.body);
}

function sendDownload(reply: FastifyReply, work: WorkRequest): FastifyReply {
  const bytes = Number(work.query['bytes'] ?? 0);
  return reply
    .header('content-type', 'application/octet-stream')
    .header('content-length', bytes)
    .header('x-sending-id', headerOf(work.headers, 'x-sending-id') ?? '')
    .send(downloadBody(bytes));
}
