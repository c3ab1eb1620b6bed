/**
 * Process that plays callers: an open loop of requests over new and kept connections, whose callers leave at any moment.
 * It has a process of its own, so that its stalls do not count as those of the daemons or back ends.
 */
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { PLATFORM_HEADERS } from '../../../platform/stand-in-wire.js';
import { steadyMs } from '../../../src/runtime/clock.js';
import { Random } from '../../random.js';
import { SOAK_HOST } from './large-routes.js';
import {
  REPORT_INTERVAL_MS,
  sendReport,
  type CalledMachine,
  type CallerOutcome,
  type CallerRoute,
  type HostOrder,
  type SendOrder,
} from './host-messages.js';
import { StallLog } from './stall-log.js';

/** Interval between batches of requests, in ms. */
const BATCH_INTERVAL_MS = 10;

/** Maximum time in ms for which requests that a stall of this process has held up are sent after it. */
const MAX_CATCH_UP_MS = 500;

/** Share of the requests over kept connections, and connections that are kept to each daemon. */
const KEPT_CONNECTION_SHARE = 0.4;
const KEPT_CONNECTIONS = 8;

/** Share of the callers that leave, and the first and last time in ms at which they do. */
const LEAVING_SHARE = 0.33;
const FIRST_LEAVE_MS = 50;
const LAST_LEAVE_MS = 1_500;

const DEADLINE_MS = 3_000;
const SOCKET_TIMEOUT_MS = 3_500;
const LAST_KEY = 65_535;
const MS_PER_SECOND = 1_000;
const STATUS = { ok: 200, firstNotSuccess: 300 } as const;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** All callers of one host. */
class CallerHost {
  private readonly random: Random;
  private readonly agent = new Agent({ keepAlive: true, maxSockets: KEPT_CONNECTIONS });
  private readonly stalls = new StallLog(steadyMs);
  private outcomes: CallerOutcome[] = [];
  private nextId = 0;
  private due = 0;
  private sentUntilMs = steadyMs();
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(private readonly order: SendOrder) {
    this.random = new Random(order.seed);
  }

  start(): void {
    this.stalls.start();
    this.timers.push(
      setInterval(() => {
        this.sendDue();
      }, BATCH_INTERVAL_MS),
      setInterval(() => {
        this.report();
      }, REPORT_INTERVAL_MS),
    );
  }

  end(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.stalls.stop();
    this.agent.destroy();
    this.report();
  }

  /** Sends what is due since the last batch. */
  private sendDue(): void {
    const nowMs = steadyMs();
    const sinceMs = Math.min(nowMs - this.sentUntilMs, MAX_CATCH_UP_MS);
    this.sentUntilMs = nowMs;
    this.due += (sinceMs * this.order.perSecond) / MS_PER_SECOND;
    for (; this.due >= 1; this.due -= 1) this.send(this.random.pick(this.order.machines), this.pickRoute());
  }

  private pickRoute(): CallerRoute {
    const { routes } = this.order;
    let left = this.random.fraction() * routes.reduce((sum, { share }) => sum + share, 0);
    for (const route of routes) {
      left -= route.share;
      if (left < 0) return route;
    }
    return this.random.pick(routes);
  }

  private send({ machine, address }: CalledMachine, route: CallerRoute): void {
    this.nextId += 1;
    const requestId = `${this.order.host}-${this.nextId}`;
    const headers: Record<string, string> = {
      host: SOAK_HOST,
      [PLATFORM_HEADERS.requestId]: requestId,
      [PLATFORM_HEADERS.deadlineMs]: String(DEADLINE_MS),
    };
    if (route.keyed) headers[PLATFORM_HEADERS.key] = String(this.random.below(LAST_KEY + 1));
    const keeps = this.random.fraction() < KEPT_CONNECTION_SHARE;
    const leaves = this.random.fraction() < LEAVING_SHARE;
    const leaveMs = FIRST_LEAVE_MS + this.random.fraction() * (LAST_LEAVE_MS - FIRST_LEAVE_MS);
    const sentMs = steadyMs();
    let open = true;
    const finish = (outcome: CallerOutcome['outcome']): void => {
      if (!open) return;
      open = false;
      clearTimeout(leaveTimer);
      const endedMs = steadyMs();
      this.outcomes.push({ requestId, machine, route: route.prefix, sentMs, endedMs, outcome });
    };
    const call = httpRequest(
      {
        ...address,
        path: `${route.prefix}${requestId}`,
        method: route.repeatable ? 'GET' : 'POST',
        headers,
        agent: keeps ? this.agent : false,
      },
      (answer) => {
        receive(answer, requestId, finish);
      },
    );
    call.setTimeout(SOCKET_TIMEOUT_MS, () => call.destroy());
    call.on('error', () => {
      finish('failed');
    });
    call.end();
    const leaveTimer = leaves ? setTimeout(() => leave(call, finish), leaveMs) : undefined;
  }

  private report(): void {
    const outcomes = this.outcomes;
    this.outcomes = [];
    sendReport({ outcomes, arrivals: [], runs: [], longestStallMs: this.stalls.longestMs });
  }
}

/** Closes the connection of a request. One that has not been sent yet never reaches a daemon. */
function leave(call: ClientRequest, finish: (outcome: CallerOutcome['outcome']) => void): void {
  const wasSent = call.socket !== null && !call.socket.connecting;
  call.destroy();
  finish(wasSent ? 'left' : 'failed');
}

function receive(
  answer: IncomingMessage,
  requestId: string,
  finish: (outcome: CallerOutcome['outcome']) => void,
): void {
  const status = answer.statusCode ?? 0;
  answer.resume();
  answer.on('error', () => undefined);
  answer.on('close', () => {
    const isSuccess = status >= STATUS.ok && status < STATUS.firstNotSuccess;
    const isOwn = answer.headers[PLATFORM_HEADERS.seal] === `seal-${requestId}`;
    if (!answer.complete) finish('failed');
    else if (isSuccess && isOwn) finish('answered');
    else finish(NOT_RUN_STATUSES.has(status) ? 'refused' : 'failed');
  });
}

let callers: CallerHost | null = null;
process.on('message', (order: HostOrder) => {
  if (order.kind === 'send') {
    callers = new CallerHost(order);
    callers.start();
  }
  if (order.kind !== 'end') return;
  callers?.end();
  process.disconnect();
});
