/**
 * Test back end: a stateful server that owns its keys. It keeps a value for each key, has a limited number of
 * slots, is slow after a start, drains, sheds load, and can report its health late or wrongly. Implements the
 * grant contract.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { z } from 'zod';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import {
  holderAnswerSchema,
  REFUSAL_HEADER,
  REQUEST_HEADERS,
  type RefusalCode,
} from '../../src/backend-contract/grant-messages.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';
import { clockMs, steadyMs } from '../../src/runtime/clock.js';
import { JournalWriter } from '../journal.js';
import { Random } from '../random.js';
import { registerContract } from './contract-routes.js';
import { downloadBody } from './download-body.js';
import { GrantTable } from './grant-table.js';
import { RequestGate, type StoredAnswer } from './request-gate.js';

/** Options of a test back end. */
export interface BackendOptions {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  /** Mean processing time of a request, in ms. */
  readonly workMs: number;
  /** Time in ms after the start during which requests take longer. */
  readonly coldMs: number;
  /** Factor on the processing time during `coldMs`. */
  readonly coldFactor: number;
  readonly repeatHorizonMs: number;
  /** What the health endpoint reports: the current state, the state of some time ago, or always a healthy state. */
  readonly health: 'honest' | 'lagging' | 'misleading';
  readonly seed: number;
  /** Path of the execution journal; null to write none. */
  readonly journal: string | null;
}

/** Age in ms of the state that a lagging health endpoint reports. */
const HEALTH_LAG_MS = 5_000;

/** Delay in ms that an overload refusal asks its caller to wait before a retry. */
const OVERLOAD_RETRY_AFTER_MS = 20;

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

const statementsSchema = holderAnswerSchema.pick({ requestLimit: true, leaving: true });

/** Request limit and leave that a back end states. */
type BackendStatements = z.infer<typeof statementsSchema>;

type Operation = 'items' | 'confirm' | 'download';

interface WorkRequest {
  readonly operation: Operation;
  readonly key: string;
  readonly query: Readonly<Record<string, string>>;
  readonly headers: IncomingHttpHeaders;
  readonly closed: () => boolean;
}

/** HTTP server of a test back end. */
export class BackendServer {
  readonly instance = randomUUID();
  readonly bornMs = Date.now();
  readonly grants: GrantTable;
  readonly load = new Map<number, number>();
  readonly gate: RequestGate;
  /** What the back end states in all its answers; set by `PUT /-/statements`. */
  statements: BackendStatements = {};
  private readonly values = new Map<string, number>();
  private readonly random: Random;
  private readonly startedMs = steadyMs();
  private readonly journal: JournalWriter | null;
  private readonly app: FastifyInstance;

  constructor(readonly options: BackendOptions) {
    this.grants = new GrantTable({ nowMs: clockMs, steadyMs }, options.repeatHorizonMs);
    this.gate = new RequestGate(this.grants, options.slots);
    this.random = new Random(options.seed);
    this.journal = options.journal === null ? null : new JournalWriter(options.journal);
    this.app = fastify({ forceCloseConnections: 'idle' });
    registerContract(this.app, this);
    this.registerOperations();
    this.registerHealth();
    this.registerStatements();
  }

  /** Starts listening. */
  async listen(): Promise<void> {
    await this.app.listen({ host: this.options.host, port: this.options.port });
  }

  /** Stops the server after all requests in flight have finished. */
  async stop(): Promise<void> {
    this.gate.draining = true;
    await this.app.close();
    this.journal?.close();
  }

  private registerOperations(): void {
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

  private registerStatements(): void {
    this.app.put('/-/statements', (request) => {
      this.statements = statementsSchema.parse(request.body);
      return {};
    });
    this.app.addHook('onSend', async (_request, reply) => {
      const { requestLimit, leaving } = this.statements;
      if (requestLimit !== undefined) reply.header(DEFAULT_HEADER_DIALECT.requestLimit, String(requestLimit));
      if (leaving === true) reply.header(DEFAULT_HEADER_DIALECT.leaving, '1');
      return await Promise.resolve();
    });
  }

  private registerHealth(): void {
    const samples: { readonly atMs: number; readonly inFlight: number }[] = [];
    this.app.get('/-/health', () => {
      const nowMs = steadyMs();
      samples.push({ atMs: nowMs, inFlight: this.gate.inFlight });
      const laggingSample = samples.filter((seen) => nowMs - seen.atMs >= HEALTH_LAG_MS).at(-1);
      const lagging = { status: 'ok', inFlight: laggingSample?.inFlight ?? 0 };
      const honest = { status: this.gate.draining ? 'draining' : 'ok', inFlight: this.gate.inFlight };
      const misleading = { status: 'ok', inFlight: 0 };
      return { honest, lagging, misleading }[this.options.health];
    });
  }

  private async serve(work: WorkRequest, reply: FastifyReply): Promise<FastifyReply> {
    const shard = readHeader(work.headers, REQUEST_HEADERS.shard);
    const epoch = readHeader(work.headers, REQUEST_HEADERS.epoch);
    const fence = shard === null ? null : { shard: Number(shard), epoch: Number(epoch) };
    if (fence !== null) this.load.set(fence.shard, (this.load.get(fence.shard) ?? 0) + 1);
    const claimKey =
      work.operation === 'confirm' ? readHeader(work.headers, REQUEST_HEADERS.idempotencyKey) : null;
    const begun = this.gate.begin({ fence, claimKey, wallMs: Date.now() });
    if (begun.kind === 'refused') return refuse(reply, begun.code);
    if (begun.kind === 'replay') return send(reply.header('aldertide-replayed', 'true'), begun.answer);
    await sleep(this.drawWorkTimeMs());
    const answer = begun.work.finish(work.closed(), () => this.execute(work));
    if (answer === null) return refuse(reply, 'lease-expired');
    return work.operation === 'download' ? sendDownload(reply, work) : send(reply, answer);
  }

  private drawWorkTimeMs(): number {
    const cold = steadyMs() - this.startedMs < this.options.coldMs;
    return this.random.exponential(this.options.workMs) * (cold ? this.options.coldFactor : 1);
  }

  /**
   * Changes the state and writes the journal. Runs in the same turn of the event loop as the check of the grant, so
   * that the grant cannot end in between.
   */
  private execute(work: WorkRequest): StoredAnswer {
    const { name, service } = this.options;
    const version = (this.values.get(work.key) ?? 0) + Number(work.operation === 'confirm');
    this.values.set(work.key, version);
    const shard = readHeader(work.headers, REQUEST_HEADERS.shard);
    const epoch = readHeader(work.headers, REQUEST_HEADERS.epoch);
    const sendingId = readHeader(work.headers, 'x-sending-id') ?? '';
    this.journal?.write({
      kind: 'execution',
      atMs: steadyMs(),
      backend: name,
      service,
      shard: shard === null ? null : Number(shard),
      epoch: epoch === null ? null : Number(epoch),
      key: work.key,
      sendingId,
      idempotencyKey: readHeader(work.headers, REQUEST_HEADERS.idempotencyKey),
      repeatable: work.operation !== 'confirm',
    });
    const content = { key: work.key, version, backend: name, sendingId };
    return { status: 200, contentType: 'application/json', body: JSON.stringify(content) };
  }
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}

function refuse(reply: FastifyReply, code: RefusalCode): FastifyReply {
  const retryAfterMs = code === 'overloaded' ? OVERLOAD_RETRY_AFTER_MS : 0;
  return reply
    .status(REFUSAL_STATUS[code])
    .header(REFUSAL_HEADER, code)
    .header('aldertide-retry-after-ms', String(retryAfterMs))
    .send();
}

function send(reply: FastifyReply, answer: StoredAnswer): FastifyReply {
  return reply.status(answer.status).header('content-type', answer.contentType).send(answer.body);
}

function sendDownload(reply: FastifyReply, work: WorkRequest): FastifyReply {
  const bytes = Number(work.query['bytes'] ?? 0);
  return reply
    .header('content-type', 'application/octet-stream')
    .header('content-length', bytes)
    .header('x-sending-id', readHeader(work.headers, 'x-sending-id') ?? '')
    .send(downloadBody(bytes));
}
