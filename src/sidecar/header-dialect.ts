/**
 * Names of the headers that callers and back ends use. The product has names of its own; an adapter for a platform
 * gives the platform's. All names are in lower case.
 */

/** Names of headers. */
export interface HeaderDialect {
  /** Id of a request, given by its caller and carried back by every answer. */
  readonly requestId: string;
  /** Time left for a request, in ms. */
  readonly deadlineMs: string;
  /** Key of a request to a keyed service. */
  readonly key: string;
  /** Id of the back end that is meant; another one refuses the request. */
  readonly expectedInstance: string;
  /** Service that a request comes from. */
  readonly caller: string;
  /** On an answer: the back end did not run the request. */
  readonly notRun: string;
  /** On an answer: the back end's mark that the answer is its own. */
  readonly seal: string;
  /** On an answer: how long work takes at the back end at this moment. */
  readonly pace: string;
  /** Reads `pace` as a factor on the usual time; null when it tells none, NaN when it cannot be read. */
  readonly readPace: (value: string) => number | null;
}

/** The product's own names. */
export const DEFAULT_HEADER_DIALECT: HeaderDialect = {
  requestId: 'aldertide-request-id',
  deadlineMs: 'aldertide-deadline-ms',
  key: 'aldertide-key',
  expectedInstance: 'aldertide-instance',
  caller: 'aldertide-caller',
  notRun: 'aldertide-not-run',
  seal: 'aldertide-seal',
  pace: 'aldertide-pace',
  readPace: Number,
};

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
export const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Value of a header in a list of names and values in turn; null when it is missing. */
export function headerValue(headers: readonly string[], name: string): string | null {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === name) return headers[at + 1] ?? null;
  }
  return null;
}

/** The headers without those that concern one connection, those it names, and those in `dropped`. */
export function endToEndHeaders(headers: readonly string[], dropped: ReadonlySet<string>): string[] {
  const named = namedByConnection(headers);
  const kept: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at] ?? '';
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || dropped.has(lower) || named.has(lower)) continue;
    kept.push(name, headers[at + 1] ?? '');
  }
  return kept;
}

function namedByConnection(headers: readonly string[]): ReadonlySet<string> {
  const value = headerValue(headers, 'connection');
  if (value === null) return new Set();
  return new Set(value.split(',').map((token) => token.trim().toLowerCase()));
}
