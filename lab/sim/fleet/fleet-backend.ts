/** A simulated back end: it holds keys, runs requests, and may be ended by one of them. */
import type { GrantMode } from '../../../src/directory/directory-state.js';
import { requestFingerprint } from '../../../src/quarantine/request-fingerprint.js';
import type { BackendRequest, BackendRequestHandlers } from '../../../src/sidecar/backend-connection.js';
import { headerValue, DEFAULT_HEADER_DIALECT } from '../../../src/sidecar/header-dialect.js';
import { HeldKeys } from '../../soak/held-keys.js';
import type { SoakJudge } from '../../soak/soak-judge.js';
import type { Random } from '../../random.js';
import type { EventQueue } from '../event-queue.js';
import type { FleetService, FleetTraffic } from './fleet-spec.js';

/** Header with the unique name of the answering incarnation, for the judge. */
export const LIFE_HEADER = 'fleet-life';

const STATUS = { ok: 200, misdirected: 421, full: 503 } as const;

/** Minimum processing time, and width of the range it is drawn from, as fractions of the mean. */
const MIN_WORK_FACTOR = 0.5;
const WORK_FACTOR_RANGE = 1;

/** Record of one run of a request at a back end. */
export interface FleetRun {
  readonly requestId: string;
  readonly traffic: string;
  readonly fingerprint: string;
  readonly instance: string;
  readonly atMs: number;
  /** How the run ended; null while it is in progress. */
  end: 'answered' | 'backend-ended' | 'cut' | null;
  endMs: number;
}

/** Dependencies of a back end. */
export interface FleetBackendPorts {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly slots: number;
  readonly judge: SoakJudge;
  readonly trafficOf: (path: string) => FleetTraffic;
  /** Returns the current grant mode of a service. */
  readonly grantMode: (service: string) => GrantMode;
  readonly onRun: (run: FleetRun) => void;
  /** Called when a request ends the back end. */
  readonly onEnd: () => void;
}

interface RequestInProgress {
  readonly run: FleetRun;
  readonly handlers: BackendRequestHandlers;
}

/** One incarnation of a back end. */
export class FleetBackend {
  readonly keys: HeldKeys;
  sequence = 0;
  isRunning = true;
  draining = false;
  /** Whether it has announced its end and sends no more heartbeats. */
  hasAnnouncedLeave = false;
  /** Whether it states in its answers that it leaves. */
  statesLeave = false;
  /** Value of the limit header in its answers; null for none. */
  private limitText: string | null = null;
  private readonly inProgress = new Set<RequestInProgress>();

  constructor(
    /** Id of the back end; other incarnations may have the same. */
    readonly id: string,
    /** Unique name of this incarnation, for the judge. */
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
        if (this.isRunning) ports.judge.holds(life, service.name, ranges, ports.queue.nowMs);
      },
    );
  }

  /** States a limit in all answers from now on, or none; an unreadable text states nothing. */
  stateLimit(text: string | null): void {
    this.limitText = text;
    const perSecond = text === null ? null : Number(text);
    if (!Number.isNaN(perSecond))
      this.ports.judge.requestLimits.stated(this.life, perSecond, this.ports.queue.nowMs);
  }

  private get signalHeaders(): readonly string[] {
    const { limitText, statesLeave } = this;
    return [
      ...(limitText === null ? [] : [DEFAULT_HEADER_DIALECT.requestLimit, limitText]),
      ...(statesLeave ? [DEFAULT_HEADER_DIALECT.leaving, '1'] : []),
    ];
  }

  /** Whether any request is in progress. */
  get busy(): boolean {
    return this.inProgress.size > 0;
  }

  /** Accepts or declines a request; returns a function that cancels it. */
  handleRequest(request: BackendRequest, handlers: BackendRequestHandlers): () => void {
    const { headers, requestId } = request;
    const keyText = headerValue(headers, DEFAULT_HEADER_DIALECT.key);
    const key = this.service.keyed ? Number(keyText) : null;
    const misdirected = headerValue(headers, DEFAULT_HEADER_DIALECT.expectedInstance) !== this.id;
    if (!misdirected) this.ports.judge.arrived(this.life, requestId, this.ports.queue.nowMs);
    if (misdirected || (key !== null && !this.keys.holds(key))) {
      this.decline(handlers, requestId, STATUS.misdirected);
      return () => undefined;
    }
    if (this.inProgress.size >= this.ports.slots) {
      this.decline(handlers, requestId, STATUS.full);
      return () => undefined;
    }
    return this.begin(request, handlers, key);
  }

  /** Breaks the connections of at most `count` requests in progress, and keeps running. */
  resetConnections(count = Infinity): void {
    for (const work of [...this.inProgress].slice(0, count)) {
      this.inProgress.delete(work);
      this.close(work.run, 'cut');
      work.handlers.onBroken('broken', 'the answer was cut short', true);
    }
  }

  /** Answers the requests in progress with bytes that are not a valid answer. */
  sendGarbledAnswers(): void {
    for (const work of [...this.inProgress]) {
      this.inProgress.delete(work);
      this.close(work.run, 'cut');
      work.handlers.onBroken('garbled', 'no answer', true);
    }
  }

  /** Ends silently: connections stay open and get no answers. */
  stopResponding(): void {
    this.isRunning = false;
    this.ports.judge.ended(this.life);
    for (const { run } of this.inProgress) this.close(run, 'backend-ended');
    this.inProgress.clear();
  }

  /** Ends at once and breaks the connections of requests in progress. */
  end(): void {
    this.isRunning = false;
    this.ports.judge.ended(this.life);
    for (const { run, handlers } of this.inProgress) {
      this.close(run, 'backend-ended');
      handlers.onBroken('broken', 'the answer was cut short', true);
    }
    this.inProgress.clear();
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
    this.inProgress.add(work);
    if (key !== null) this.keys.begin(key);
    const workMs = traffic.workMs * (MIN_WORK_FACTOR + WORK_FACTOR_RANGE * random.fraction());
    queue.at(queue.nowMs + workMs, () => {
      if (!this.inProgress.has(work)) return;
      if (this.isEndedBy(traffic)) this.ports.onEnd();
      else this.answer(work, key);
    });
    return () => {
      if (!this.inProgress.delete(work)) return;
      if (key !== null) this.keys.end(key);
      this.close(run, 'cut');
    };
  }

  private isEndedBy({ endsBackend }: FleetTraffic): boolean {
    return typeof endsBackend === 'boolean' ? endsBackend : endsBackend.includes(this.version);
  }

  private answer(work: RequestInProgress, key: number | null): void {
    this.inProgress.delete(work);
    if (key !== null) this.keys.end(key);
    const { run, handlers } = work;
    this.close(run, 'answered');
    this.answerWith(handlers, STATUS.ok, run.requestId, [DEFAULT_HEADER_DIALECT.seal, 'seal']);
  }

  private decline(handlers: BackendRequestHandlers, requestId: string, statusCode: number): void {
    this.answerWith(handlers, statusCode, requestId, [DEFAULT_HEADER_DIALECT.notRun, '1']);
  }

  private answerWith(
    handlers: BackendRequestHandlers,
    statusCode: number,
    requestId: string,
    ownHeaders: readonly string[],
  ): void {
    const headers = [
      DEFAULT_HEADER_DIALECT.requestId,
      requestId,
      LIFE_HEADER,
      this.life,
      ...ownHeaders,
      ...this.signalHeaders,
    ];
    handlers.onAnswer({ statusCode, headers, keepAlive: true, framed: true });
    handlers.onEnd();
  }

  private close(run: FleetRun, end: Exclude<FleetRun['end'], null>): void {
    run.end = end;
    run.endMs = this.ports.queue.nowMs;
  }
}
