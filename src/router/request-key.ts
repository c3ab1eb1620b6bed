/** Extracts the routing information of a request: service, key, repeatability and deadline. */
import type { IncomingHttpHeaders } from 'node:http';
import type { KeySource, ServiceConfiguration } from '../config/configuration.js';
import { REQUEST_HEADERS } from '../backend-contract/grant-messages.js';

/** Methods that are idempotent by definition (RFC 9110, 9.2.2). */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE']);

/** Parsed request target. */
export interface RequestPath {
  readonly service: string;
  /** Path after the service name, starting with a slash, without the query. */
  readonly rest: string;
  /** Query string without the question mark; empty if there is none. */
  readonly query: string;
}

/** Parses a request target; its first path segment names the service. */
export function parsePath(url: string): RequestPath {
  const queryStart = url.indexOf('?');
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  const query = queryStart < 0 ? '' : url.slice(queryStart + 1);
  const serviceEnd = path.indexOf('/', 1);
  if (serviceEnd < 0) return { service: path.slice(1), rest: '/', query };
  return { service: path.slice(1, serviceEnd), rest: path.slice(serviceEnd), query };
}

/** Returns the key of a request, or null if it has none. */
export function requestKey(
  source: KeySource,
  path: RequestPath,
  headers: IncomingHttpHeaders,
): string | null {
  switch (source.from) {
    case 'path':
      return decodeComponent(path.rest.split('/')[source.segment + 1] ?? '');
    case 'query':
      return new URLSearchParams(path.query).get(source.name);
    case 'header':
      return headerValue(headers, source.name);
  }
}

/** Whether a request may be run more than once, by the longest matching endpoint rule or else by its method. */
export function isRepeatable(service: ServiceConfiguration, method: string, rest: string): boolean {
  let longestMatch: { readonly path: string; readonly repeatable: boolean } | null = null;
  for (const rule of service.endpoints) {
    const matches = rule.method === method && rest.startsWith(rule.path);
    if (matches && rule.path.length > (longestMatch?.path.length ?? -1)) longestMatch = rule;
  }
  return longestMatch?.repeatable ?? IDEMPOTENT_METHODS.has(method);
}

/** Returns the idempotency key set by the caller, or null. */
export function idempotencyKey(headers: IncomingHttpHeaders): string | null {
  return headerValue(headers, REQUEST_HEADERS.idempotencyKey);
}

/** Returns the time in ms until the request's deadline: the caller's header, capped by the limit of the service. */
export function deadlineBudgetMs(service: ServiceConfiguration, headers: IncomingHttpHeaders): number {
  const text = headerValue(headers, REQUEST_HEADERS.deadline);
  const requestedMs = text === null ? NaN : Number(text);
  return Number.isFinite(requestedMs) && requestedMs >= 0
    ? Math.min(requestedMs, service.deadlineMs)
    : service.deadlineMs;
}

function headerValue(headers: IncomingHttpHeaders, name: string): string | null {
  const value = headers[name.toLowerCase()];
  const text = Array.isArray(value) ? value[0] : value;
  return text === undefined || text === '' ? null : text;
}

function decodeComponent(text: string): string | null {
  if (text === '') return null;
  try {
    return decodeURIComponent(text);
  } catch {
    return null;
  }
}
