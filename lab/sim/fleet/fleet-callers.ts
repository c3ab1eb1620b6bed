/** Callers of a simulated fleet: they send requests at any machine and, as far as the answer allows, try again. */
import type { RouteDefinition } from '../../../src/directory/directory-state.js';
import { localAnswerFor } from '../../../src/sidecar/caller-server.js';
import type { CallerSink } from '../../../src/sidecar/caller-request.js';
import { DEFAULT_HEADER_DIALECT } from '../../../src/sidecar/header-dialect.js';
import type { Random } from '../../random.js';
import type { EventQueue } from '../event-queue.js';
import type { FleetMachine } from './fleet-machine.js';
import type { FleetTraffic } from './fleet-spec.js';

/** Host of all requests. */
export const FLEET_HOST = 'fleet.example';

/** Statuses after which no caller comes back. */
const FINAL_STATUSES: ReadonlySet<number> = new Set([400, 401, 404, 413, 431]);

/** Statuses that promise that the request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const FIRST_FAILURE_STATUS = 300;

/** One try of a caller. */
export interface FleetTry {
  readonly requestId: string;
  readonly traffic: string;
  readonly machine: string;
  readonly atMs: number;
  /** Null while there is no answer, and where the daemon died. */
  status: number | null;
  answeredMs: number;
}

/** A request over all its tries. */
export interface FleetRequestRecord {
  readonly traffic: string;
  readonly atMs: number;
  readonly tries: FleetTry[];
  served: boolean;
}

/** The callers. */
export class FleetCallers {
  readonly requests: FleetRequestRecord[] = [];
  private nextId = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly machines: readonly FleetMachine[],
  ) {}

  /** Sends the requests of one kind until a time. */
  start(traffic: FleetTraffic, untilMs: number): void {
    let number = 0;
    const next = (): void => {
      if (this.queue.nowMs >= untilMs) return;
      this.send(traffic, number);
      number += 1;
      this.queue.at(this.queue.nowMs + this.random.exponential(traffic.everyMs), next);
    };
    this.queue.at(traffic.fromMs, next);
  }

  /** Sends one request now. */
  send(traffic: FleetTraffic, number: number): FleetRequestRecord {
    const record = { traffic: traffic.name, atMs: this.queue.nowMs, tries: [], served: false };
    this.requests.push(record);
    this.attempt(traffic, number, record, traffic.retries);
    return record;
  }

  private attempt(
    traffic: FleetTraffic,
    number: number,
    record: FleetRequestRecord,
    retriesLeft: number,
  ): void {
    const { queue } = this;
    const leftMs = record.atMs + traffic.deadlineMs - queue.nowMs;
    const up = this.machines.filter(({ callers }) => callers !== null);
    if (leftMs <= 0 || up.length === 0) return;
    const machine = this.random.pick(up);
    this.nextId += 1;
    const requestId = `request-${this.nextId}`;
    const tried: FleetTry = {
      requestId,
      traffic: traffic.name,
      machine: machine.name,
      atMs: queue.nowMs,
      status: null,
      answeredMs: Infinity,
    };
    record.tries.push(tried);
    const answered = (status: number, retryAfterMs: number): void => {
      if (tried.status !== null) return;
      tried.status = status;
      tried.answeredMs = queue.nowMs;
      if (status < FIRST_FAILURE_STATUS) record.served = true;
      else if (retriesLeft > 0 && mayTryAgain(traffic, status)) {
        queue.at(queue.nowMs + retryAfterMs, () => {
          this.attempt(traffic, number, record, retriesLeft - 1);
        });
      }
    };
    machine.process.schedule(0, () => {
      this.take(machine, traffic, number, requestId, leftMs, answered);
    });
  }

  private take(
    machine: FleetMachine,
    traffic: FleetTraffic,
    number: number,
    requestId: string,
    deadlineMs: number,
    answered: (status: number, retryAfterMs: number) => void,
  ): void {
    const sink: CallerSink = {
      answer: (head) => {
        answered(head.statusCode, 0);
      },
      body: () => undefined,
      end: () => undefined,
      abort: () => undefined,
      fail: (outcome) => {
        const own = localAnswerFor(outcome);
        answered(own.statusCode, own.retryAfterMs ?? 0);
      },
    };
    const key = traffic.key(number);
    const taken = machine.callers?.handle(
      {
        method: traffic.method,
        path: traffic.path(number),
        host: FLEET_HOST,
        headers: [
          'host',
          FLEET_HOST,
          DEFAULT_HEADER_DIALECT.requestId,
          requestId,
          DEFAULT_HEADER_DIALECT.deadlineMs,
          String(deadlineMs),
          ...(key === null ? [] : [DEFAULT_HEADER_DIALECT.key, String(key)]),
        ],
        body: Buffer.alloc(0),
      },
      sink,
    );
    if (taken !== undefined && 'statusCode' in taken) answered(taken.statusCode, taken.retryAfterMs ?? 0);
  }
}

/** The route of one kind of requests. */
export function routeOf({ name, service, method }: FleetTraffic): RouteDefinition {
  return {
    host: FLEET_HOST,
    pathPrefix: `/${name}/`,
    kind: method === 'GET' ? 'safe' : 'non-idempotent',
    timeoutMs: 3_000,
    targetLatencyMs: 500,
    priority: 1,
    maxAttempts: 2,
    destinations: [{ service, weight: 1 }],
  };
}

function mayTryAgain({ method }: FleetTraffic, status: number): boolean {
  if (FINAL_STATUSES.has(status)) return false;
  return method === 'GET' || NOT_RUN_STATUSES.has(status);
}
