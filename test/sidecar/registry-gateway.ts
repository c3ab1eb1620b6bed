/** Gateway of a registry back end with manual time: long syncs are its own work, short reads are calls. */
import type { NestedHead, RefusalHead, RequestHead } from '../../src/link/link-messages.js';
import type { RequestReply } from '../../src/link/link-server.js';
import type { BackendClient } from '../../src/sidecar/backend-client.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import type { RunPorts } from '../../src/sidecar/backend-run.js';
import type { EventFields } from '../../src/telemetry/event-log.js';
import { gatewayPorts } from './gateway-ports.js';
import { ManualTime } from './manual-runtime.js';

export const SLOTS = 8;
export const SYNC_MS = 743;
export const READ_MS = 54;

export const SYNC: RequestHead = {
  requestId: 'sync',
  method: 'GET',
  path: '/',
  headers: [],
  instance: 'life-1',
  key: null,
  route: 'sync',
  priority: 2,
  repeatable: true,
  remainingMs: 15_086,
  patienceMs: 0,
  targetLeftMs: 2_514,
  spentMs: 0,
};
export const READ: RequestHead = {
  ...SYNC,
  requestId: 'p.read',
  route: 'read',
  remainingMs: 628,
  targetLeftMs: 262,
};

/** Outcome of a request at the gateway. */
export interface RequestEnd {
  answered(): void;
  refused(refusal: RefusalHead): void;
}

/** A back end that serves each route for a fixed time, multiplied by its own factor. */
class TimedBackend implements BackendClient {
  readonly opened = 0;
  readonly started: string[] = [];

  constructor(
    private readonly time: ManualTime,
    public factor: number,
  ) {}

  prepare(head: RequestHead, _body: Buffer, _leftMs: number, ports: RunPorts) {
    return {
      start: () => {
        this.started.push(head.requestId);
        this.time.runtime.after((head.route === 'sync' ? SYNC_MS : READ_MS) * this.factor, () => {
          ports.reply.answer({} as Parameters<RequestReply['answer']>[0], Buffer.alloc(0));
          ports.onDone({ kind: 'answered', statusCode: 200, bytes: 1, pace: null });
        });
      },
      cancel: () => undefined,
    };
  }

  destroy(): void {
    this.started.length = 0;
  }
}

/** One back end of the registry and its gateway. */
export class RegistryGateway {
  readonly backend: TimedBackend;
  readonly logged: EventFields[] = [];
  readonly refused: { requestId: string; retryAfterMs: number }[] = [];
  readonly gateway: BackendGateway;

  constructor(
    readonly time = new ManualTime(),
    factor = 1,
  ) {
    this.backend = new TimedBackend(time, factor);
    this.gateway = new BackendGateway({
      ...gatewayPorts(time, this.backend),
      log: {
        event: (_name, fields) => this.logged.push(fields),
        failure: (_name, fields) => this.logged.push(fields),
        routine: () => undefined,
      },
    });
    this.gateway.setSlots(SLOTS);
  }

  /** Lets the gateway learn how long both routes take. */
  learn(): this {
    for (const head of [SYNC, READ]) {
      this.take(head);
      this.time.pass(2 * SYNC_MS);
    }
    this.backend.started.length = 0;
    return this;
  }

  take(head: RequestHead, nested?: unknown, end?: RequestEnd): void {
    const reply = {
      refuse: (refusal: RefusalHead) => {
        this.refused.push({ requestId: head.requestId, retryAfterMs: refusal.retryAfterMs });
        end?.refused(refusal);
      },
      answer: () => end?.answered(),
      fail: () => undefined,
    } as unknown as RequestReply;
    const sent = nested === undefined ? head : { ...head, nested: nested as NestedHead };
    this.gateway.accept(sent, Buffer.alloc(0), reply);
  }

  fill(): void {
    for (let slot = 0; slot < SLOTS; slot += 1) this.take({ ...SYNC, requestId: `sync${slot}` });
  }

  call(requestId: string, priority: number, remainingMs = 2_000): void {
    this.take({ ...READ, requestId }, { priority, remainingMs });
  }
}
