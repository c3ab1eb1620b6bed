/** Turns what a caller sent into a request that can be passed on, or into the answer that it gets at once. */
import type { Runtime } from '../runtime/runtime.js';
import { ownAnswer, OWN_STATUS, type IncomingRequest, type OwnAnswer } from './caller-server.js';
import type { DirectoryTable } from './directory-table.js';
import { endToEndHeaders, headerValue, type HeaderDialect } from './header-dialect.js';
import type { CallerRequest } from './caller-request.js';

/** When to come back while no configuration is known here, or an old one may be, in ms. */
const UNCONFIGURED_RETRY_MS = 300;

const LAST_KEY = 65_535;
const KEY_TEXT = /^\d{1,5}$/;

/** What the intake needs of its daemon. */
export interface IntakePorts {
  readonly runtime: Runtime;
  readonly table: DirectoryTable;
  readonly dialect: HeaderDialect;
  /** Service of the back end on this machine, which calls from here are made for. */
  readonly service: string;
  /** Whether the table holds what the directory held a moment ago. */
  readonly tableIsCurrent: () => boolean;
}

/** Checks requests against the configuration in force. */
export class RequestIntake {
  constructor(private readonly ports: IntakePorts) {}

  /** The request as it is to be passed on, or why it is not. */
  prepare(incoming: IncomingRequest): CallerRequest | OwnAnswer {
    const { runtime, table, dialect } = this.ports;
    if (!table.configured) return comeBack('no configuration is known here yet');
    const route = table.routes.find(incoming.host, incoming.path);
    const service = route?.nextService() ?? null;
    if (route === null || service === null) return this.noRouteAnswer();
    const { headers, method, path, body } = incoming;
    const keyText = headerValue(headers, dialect.key);
    const keyed = table.service(service)?.keyed === true;
    if (keyed && !isKey(keyText)) return ownAnswer(OWN_STATUS.badRequest, 'the request needs a key');
    const told = Number(headerValue(headers, dialect.deadlineMs));
    const hasDeadline = Number.isFinite(told) && told > 0;
    return {
      requestId: headerValue(headers, dialect.requestId) ?? runtime.randomId(),
      method,
      path,
      headers: this.headersToPassOn(headers),
      body,
      route,
      service,
      key: keyed ? Number(keyText) : null,
      deadlineMs: hasDeadline ? told : route.definition.timeoutMs,
      spentMs: hasDeadline ? route.deadlines.spentMs(told) : 0,
      arrivedMs: runtime.nowMs(),
    };
  }

  /** A route that is missing here may exist as long as the table may be old. */
  private noRouteAnswer(): OwnAnswer {
    if (this.ports.tableIsCurrent()) return ownAnswer(OWN_STATUS.noRoute, 'no route fits');
    return comeBack('the configuration here may be old');
  }

  private headersToPassOn(headers: readonly string[]): string[] {
    const { dialect, service } = this.ports;
    const passed = endToEndHeaders(headers, new Set([dialect.caller, dialect.deadlineMs]));
    passed.push(dialect.caller, service);
    return passed;
  }
}

function comeBack(reason: string): OwnAnswer {
  return { statusCode: OWN_STATUS.notRun, reason, retryAfterMs: UNCONFIGURED_RETRY_MS };
}

function isKey(text: string | null): boolean {
  return text !== null && KEY_TEXT.test(text) && Number(text) <= LAST_KEY;
}
