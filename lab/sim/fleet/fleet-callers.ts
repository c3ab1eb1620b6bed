/** Callers of a simulated fleet: they send requests to any machine and retry where the answer allows it. */
import type { RouteDefinition } from '../../../src/directory/directory-state.js';
import { localAnswerFor } from '../../../src/sidecar/local-answer.js';
import type { AnswerHead } from '../../../src/link/link-messages.js';
import type { CallerSink } from '../../../src/sidecar/caller-request.js';
import { DEFAULT_HEADER_DIALECT } from '../../../src/sidecar/header-dialect.js';
import type { Random } from '../../random.js';
import type { EventQueue } from '../event-queue.js';
import type { FleetMachine } from './fleet-machine.js';
import type { FleetTraffic } from './fleet-spec.js';

/** Host of all requests. */
export const FLEET_HOST = 'fleet.example';

/** Statuses after which callers do not retry. */
const FINAL_STATUSES: ReadonlySet<number> = new Set([400, 401, 404, 413, 431]);

/** Statuses that guarantee that the request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const FIRST_FAILURE_STATUS = 300;

/** One attempt of a caller. */
export interface FleetAttempt {
  readonly requestId: string;
  readonly traffic: string;
  readonly machine: string;
  readonly atMs: number;
  /** Status of the answer; null until there is one, and for good if the daemon crashed. */
  status: number | null;
  answeredMs: number;
}

/** A request with all its attempts. */
export interface FleetRequestRecord {
  readonly traffic: string;
  readonly atMs: number;
  readonly attempts: FleetAttempt[];
  served: boolean;
}

/** Observes what callers send and receive. */
export interface FleetCallerObserver {
  requestSent(requestId: string, machine: string): void;
  answerReceived(machine: string, head: AnswerHead): void;
}

/** All callers of a fleet. */
export class FleetCallers {
  readonly requests: FleetRequestRecord[] = [];
  private nextId = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
    private readonly machines: readonly FleetMachine[],
    private readonly observer: FleetCallerObserver,
  ) {}

  /** Sends requests of one kind until `untilMs`. */
  start(traffic: FleetTraffic, untilMs: number): void {
    let number = 0;
    const next = (): void => {
      if (this.queue.nowMs >= untilMs) return;
      this.send(traffic, number);
      number += 1;
      this.queue.at(this.queue.nowMs + this.random.exponential(traffic.meanIntervalMs), next);
    };
    this.queue.at(traffic.startMs, next);
  }

  /** Sends one request immediately. */
  send(traffic: FleetTraffic, number: number): FleetRequestRecord {
    const record = { traffic: traffic.name, atMs: this.queue.nowMs, attempts: [], served: false };
    this.requests.push(record);
    this.attempt(traffic, number, record, traffic.maxRetries);
    return record;
  }

  private attempt(
    traffic: FleetTraffic,
    number: number,
    record: FleetRequestRecord,
    retriesLeft: number,
  ): void {
    const { queue } = this;
    const remainingMs = record.atMs + traffic.deadlineMs - queue.nowMs;
    const listening = this.machines.filter(({ callers }) => callers !== null);
    if (remainingMs <= 0 || listening.length === 0) return;
    const machine = this.random.pick(listening);
    this.nextId += 1;
    const requestId = `request-${this.nextId}`;
    const current: FleetAttempt = {
      requestId,
      traffic: traffic.name,
      machine: machine.name,
      atMs: queue.nowMs,
      status: null,
      answeredMs: Infinity,
    };
    record.attempts.push(current);
    this.observer.requestSent(requestId, machine.name);
    const onAnswered = (status: number, retryAfterMs: number): void => {
      if (current.status !== null) return;
      current.status = status;
      current.answeredMs = queue.nowMs;
      if (status < FIRST_FAILURE_STATUS) record.served = true;
      else if (retriesLeft > 0 && mayRetry(traffic, status)) {
        queue.at(queue.nowMs + retryAfterMs, () => {
          this.attempt(traffic, number, record, retriesLeft - 1);
        });
      }
    };
    machine.process.schedule(0, () => {
      this.deliver(machine, traffic, number, requestId, remainingMs, onAnswered);
    });
  }

  private deliver(
    machine: FleetMachine,
    traffic: FleetTraffic,
    number: number,
    requestId: string,
    deadlineMs: number,
    onAnswered: (status: number, retryAfterMs: number) => void,
  ): void {
    const sink: CallerSink = {
      answer: (head) => {
        this.observer.answerReceived(machine.name, head);
        onAnswered(head.statusCode, 0);
      },
      body: () => undefined,
      end: () => undefined,
      hasRequestsBehind: () => false,
      overdue: () => undefined,
      abort: () => undefined,
      fail: (outcome) => {
        const response = localAnswerFor(outcome);
        onAnswered(response.statusCode, response.retryAfterMs ?? 0);
      },
    };
    const key = traffic.key(number);
    const result = machine.callers?.handle(
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
    if (result === undefined) return;
    if ('statusCode' in result) onAnswered(result.statusCode, result.retryAfterMs ?? 0);
    else result.start?.();
  }
}

/** Returns the route definition of one kind of request. */
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

function mayRetry({ method }: FleetTraffic, status: number): boolean {
  if (FINAL_STATUSES.has(status)) return false;
  return method === 'GET' || NOT_RUN_STATUSES.has(status);
}
