/** Reads from a request what routing needs: service, key, whether it may be repeated, deadline. */
import type { IncomingHttpHeaders } from 'node:http';
import type { KeySource, ServiceConfiguration } from '../config/configuration.js';
import { REQUEST_HEADERS } from '../backend-contract/grant-messages.js';

/** Methods that may be repeated by their definition (RFC 9110, 9.2.2). */
const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE']);

/** Path of a request, taken apart. */
export interface RequestPath {
  readonly service: string;
  /** Path after the service name, starting with a slash, without the query. */
  readonly rest: string;
  /** Text after the question mark; empty when there is none. */
  readonly query: string;
}

/** Takes the target of a request apart; its first segment names the service. */
export function parsePath(url: string): RequestPath {
  const queryStart = url.indexOf('?');
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  const query = queryStart < 0 ? '' : url.slice(queryStart + 1);
  const serviceEnd = path.indexOf('/', 1);
  if (serviceEnd < 0) return { service: path.slice(1), rest: '/', query };
  return { service: path.slice(1, serviceEnd), rest: path.slice(serviceEnd), query };
}

/** Key of a request, or null when it carries none. */
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
      return headerText(headers, source.name);
  }
}

/** Whether a request may be run more than once: the longest matching rule, else the method. */
export function isRepeatable(service: ServiceConfiguration, method: string, rest: string): boolean {
  let best: { readonly path: string; readonly repeatable: boolean } | null = null;
  for (const rule of service.endpoints) {
    const matches = rule.method === method && rest.startsWith(rule.path);
    if (matches && rule.path.length > (best?.path.length ?? -1)) best = rule;
  }
  return best?.repeatable ?? REPEATABLE_METHODS.has(method);
}

/** The caller's own key for repeating a request, or null. */
export function idempotencyKey(headers: IncomingHttpHeaders): string | null {
  return headerText(headers, REQUEST_HEADERS.idempotencyKey);
}

/** Time in ms that the caller leaves for the request: its header, at most the service's own limit. */
export function deadlineBudgetMs(service: ServiceConfiguration, headers: IncomingHttpHeaders): number {
  const text = headerText(headers, REQUEST_HEADERS.deadline);
  const asked = text === null ? NaN : Number(text);
  return Number.isFinite(asked) && asked >= 0 ? Math.min(asked, service.deadlineMs) : service.deadlineMs;
}

function headerText(headers: IncomingHttpHeaders, name: string): string | null {
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
