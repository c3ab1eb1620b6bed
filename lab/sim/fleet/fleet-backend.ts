/** A simulated back end: it holds keys, works on requests, and may end under one of them. */
import type { GrantMode } from '../../../src/directory/directory-state.js';
import { requestFingerprint } from '../../../src/quarantine/request-fingerprint.js';
import type { BackendRequest, BackendRequestHandlers } from '../../../src/sidecar/backend-connection.js';
import { headerValue, DEFAULT_HEADER_DIALECT } from '../../../src/sidecar/header-dialect.js';
import { HeldKeys } from '../../soak/held-keys.js';
import type { SoakJudge } from '../../soak/soak-judge.js';
import type { Random } from '../../random.js';
import type { EventQueue } from '../event-queue.js';
import type { FleetService, FleetTraffic } from './fleet-spec.js';

const STATUS = { ok: 200, misdirected: 421, full: 503 } as const;

/** Parts of the mean between which work is drawn. */
const LEAST_WORK = 0.5;
const WORK_SPREAD = 1;

/** A run at a back end, for whoever judges. */
export interface FleetRun {
  readonly requestId: string;
  readonly traffic: string;
  readonly fingerprint: string;
  readonly instance: string;
  readonly atMs: number;
  /** How it ended; null while it has not. */
  end: 'answered' | 'backend-ended' | 'cut' | null;
  endMs: number;
}

/** What a back end needs of its world. */
export interface FleetBackendPorts {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly slots: number;
  readonly judge: SoakJudge;
  readonly trafficOf: (path: string) => FleetTraffic;
  /** How the keys of a service are granted now. */
  readonly grantMode: (service: string) => GrantMode;
  readonly onRun: (run: FleetRun) => void;
  /** A request has ended it. */
  readonly onEnd: () => void;
}

interface Work {
  readonly run: FleetRun;
  readonly handlers: BackendRequestHandlers;
}

/** One life of a back end. */
export class FleetBackend {
  readonly keys: HeldKeys;
  sequence = 0;
  up = true;
  draining = false;
  /** It sends no heartbeats any more, since it has said goodbye. */
  saidGoodbye = false;
  private readonly working = new Set<Work>();

  constructor(
    /** Name that it goes by; another life may go by the same. */
    readonly id: string,
    /** Tells this life from all others, for whoever judges. */
    readonly life: string,
    readonly bornMs: number,
    readonly service: FleetService,
    readonly version: string,
    private readonly ports: FleetBackendPorts,
  ) {
    this.keys = new HeldKeys(
      life,
      () => ports.grantMode(service.name),
      () => ports.queue.nowMs,
      (ranges) => {
        if (this.up) ports.judge.holds(life, service.name, ranges, ports.queue.nowMs);
      },
    );
  }

  /** Whether it works on anything. */
  get busy(): boolean {
    return this.working.size > 0;
  }

  /** Takes a request; returns how its caller breaks it off. */
  take(request: BackendRequest, handlers: BackendRequestHandlers): () => void {
    const { headers, requestId } = request;
    const keyText = headerValue(headers, DEFAULT_HEADER_DIALECT.key);
    const key = this.service.keyed ? Number(keyText) : null;
    const misdirected = headerValue(headers, DEFAULT_HEADER_DIALECT.expectedInstance) !== this.id;
    if (!misdirected) this.ports.judge.arrived(this.life, this.ports.queue.nowMs);
    if (misdirected || (key !== null && !this.keys.holds(key))) {
      decline(handlers, requestId, STATUS.misdirected);
      return () => undefined;
    }
    if (this.working.size >= this.ports.slots) {
      decline(handlers, requestId, STATUS.full);
      return () => undefined;
    }
    return this.begin(request, handlers, key);
  }

  /** Closes connections under requests, and goes on; at most `count` of them. */
  reset(count = Infinity): void {
    for (const work of [...this.working].slice(0, count)) {
      this.working.delete(work);
      this.close(work.run, 'cut');
      work.handlers.onBroken('broken', 'the answer was cut short', true);
    }
  }

  /** Answers what it works on with bytes that are no answer. */
  garble(): void {
    for (const work of [...this.working]) {
      this.working.delete(work);
      this.close(work.run, 'cut');
      work.handlers.onBroken('garbled', 'no answer', true);
    }
  }

  /** Ends without a sign: nothing is closed, and nothing answers. */
  goDark(): void {
    this.up = false;
    this.ports.judge.ended(this.life);
    for (const { run } of this.working) this.close(run, 'backend-ended');
    this.working.clear();
  }

  /** Ends at once; whatever it works on breaks off. */
  end(): void {
    this.up = false;
    this.ports.judge.ended(this.life);
    for (const { run, handlers } of this.working) {
      this.close(run, 'backend-ended');
      handlers.onBroken('broken', 'the answer was cut short', true);
    }
    this.working.clear();
  }

  private begin(request: BackendRequest, handlers: BackendRequestHandlers, key: number | null): () => void {
    const { queue, random, trafficOf, onRun } = this.ports;
    const traffic = trafficOf(request.path);
    const { method, path, headers, body, requestId } = request;
    const run: FleetRun = {
      requestId,
      traffic: traffic.name,
      fingerprint: requestFingerprint({
        method,
        host: headerValue(headers, 'host'),
        path,
        headers,
        key,
        body,
      }),
      instance: this.life,
      atMs: queue.nowMs,
      end: null,
      endMs: Infinity,
    };
    const work = { run, handlers };
    onRun(run);
    const repeatable = method === 'GET';
    this.ports.judge.runStarted(
      { requestId, backend: this.life, service: this.service.name, key, repeatable },
      queue.nowMs,
    );
    this.working.add(work);
    if (key !== null) this.keys.begin(key);
    const workMs = traffic.workMs * (LEAST_WORK + WORK_SPREAD * random.fraction());
    queue.at(queue.nowMs + workMs, () => {
      if (!this.working.has(work)) return;
      if (this.endsUnder(traffic)) this.ports.onEnd();
      else this.answer(work, key);
    });
    return () => {
      if (!this.working.delete(work)) return;
      if (key !== null) this.keys.end(key);
      this.close(run, 'cut');
    };
  }

  private endsUnder({ endsBackend }: FleetTraffic): boolean {
    return typeof endsBackend === 'boolean' ? endsBackend : endsBackend.includes(this.version);
  }

  private answer(work: Work, key: number | null): void {
    this.working.delete(work);
    if (key !== null) this.keys.end(key);
    const { run, handlers } = work;
    this.close(run, 'answered');
    answerWith(handlers, STATUS.ok, [
      DEFAULT_HEADER_DIALECT.requestId,
      run.requestId,
      DEFAULT_HEADER_DIALECT.seal,
      'seal',
    ]);
  }

  private close(run: FleetRun, end: Exclude<FleetRun['end'], null>): void {
    run.end = end;
    run.endMs = this.ports.queue.nowMs;
  }
}

function decline(handlers: BackendRequestHandlers, requestId: string, statusCode: number): void {
  const headers = [DEFAULT_HEADER_DIALECT.requestId, requestId, DEFAULT_HEADER_DIALECT.notRun, '1'];
  answerWith(handlers, statusCode, headers);
}

function answerWith(handlers: BackendRequestHandlers, statusCode: number, headers: readonly string[]): void {
  handlers.onAnswer({ statusCode, headers, keepAlive: true, framed: true });
  handlers.onEnd();
}
