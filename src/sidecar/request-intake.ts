/** Validates a caller's HTTP request and turns it into a request to forward, or into an immediate answer. */
import type { Runtime } from '../runtime/runtime.js';
import type { IncomingRequest } from './caller-server.js';
import { localAnswer, LOCAL_STATUS, type LocalAnswer } from './local-answer.js';
import type { DirectoryTable } from './directory-table.js';
import { endToEndHeaders, headerValue, type HeaderDialect } from './header-dialect.js';
import type { CallerRequest } from './caller-request.js';
import type { ArrivedRequest, CallParent } from './nested-calls.js';
import type { Route } from './route-table.js';

/** Retry-after time in ms while this sidecar has no configuration, or one that may be outdated. */
const UNCONFIGURED_RETRY_AFTER_MS = 300;

const MAX_KEY = 65_535;
const KEY_PATTERN = /^\d{1,5}$/;

/** Dependencies that the sidecar provides to the intake. */
export interface IntakePorts {
  readonly runtime: Runtime;
  readonly table: DirectoryTable;
  readonly dialect: HeaderDialect;
  /** Service of the local back end, named as the caller in forwarded requests. */
  readonly service: string;
  /** Whether the table is up to date with the directory. */
  readonly tableIsCurrent: () => boolean;
  /** Returns the request of the local back end that waits for an arrived one; null if that is new work. */
  readonly findParent: (arrived: ArrivedRequest) => CallParent | null;
}

/** Validates incoming requests against the current configuration. */
export class RequestIntake {
  constructor(private readonly ports: IntakePorts) {}

  /** Returns the request to forward, or the answer to send instead. */
  prepare(incoming: IncomingRequest): CallerRequest | LocalAnswer {
    const { runtime, table, dialect } = this.ports;
    if (!table.configured) return retryLaterAnswer('no configuration is known here yet');
    const route = table.routes.find(incoming.host, incoming.path);
    const service = route?.nextService() ?? null;
    if (route === null || service === null) return this.noRouteAnswer();
    const { headers, method, path, body } = incoming;
    const requestId = headerValue(headers, dialect.requestId);
    // Without an id, the answer could not be told from those to other requests.
    if (requestId === null || requestId === '')
      return localAnswer(LOCAL_STATUS.badRequest, 'the request needs an id');
    const keyText = headerValue(headers, dialect.key);
    const keyed = table.service(service)?.keyed === true;
    if (keyed && !isKey(keyText)) return localAnswer(LOCAL_STATUS.badRequest, 'the request needs a key');
    const statedDeadlineMs = Number(headerValue(headers, dialect.deadlineMs));
    const hasDeadline = Number.isFinite(statedDeadlineMs) && statedDeadlineMs > 0;
    const deadlineMs = hasDeadline ? statedDeadlineMs : null;
    const parent = this.ports.findParent({ requestId, route: route.name, statedDeadlineMs: deadlineMs });
    return {
      requestId,
      method,
      path,
      headers: this.headersToForward(headers),
      body,
      route,
      service,
      key: keyed ? Number(keyText) : null,
      deadlineMs: deadlineMs ?? route.definition.timeoutMs,
      spentMs: parent === null ? spentMs(route, deadlineMs) : 0,
      arrivedMs: runtime.nowMs(),
      parent,
    };
  }

  /** Returns a final answer only when the table is current: a newer table may contain the missing route. */
  private noRouteAnswer(): LocalAnswer {
    if (this.ports.tableIsCurrent()) return localAnswer(LOCAL_STATUS.noRoute, 'no route fits');
    return retryLaterAnswer('the configuration here may be old');
  }

  private headersToForward(headers: readonly string[]): string[] {
    const { dialect, service } = this.ports;
    const forwarded = endToEndHeaders(headers, new Set([dialect.caller, dialect.deadlineMs]));
    forwarded.push(dialect.caller, service);
    return forwarded;
  }
}

/** A call ends at its parent's deadline and is no retry, so its deadline says nothing about those of the route. */
function spentMs({ spentTime }: Route, statedDeadlineMs: number | null): number {
  return statedDeadlineMs === null ? 0 : spentTime.spentMs(statedDeadlineMs);
}

function retryLaterAnswer(reason: string): LocalAnswer {
  return { statusCode: LOCAL_STATUS.notRun, reason, retryAfterMs: UNCONFIGURED_RETRY_AFTER_MS };
}

function isKey(text: string | null): boolean {
  return text !== null && KEY_PATTERN.test(text) && Number(text) <= MAX_KEY;
}
