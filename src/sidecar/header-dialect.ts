/**
 * Names of the headers that callers and back ends use. The defaults are specific to this product; a platform adapter
 * supplies those of its platform. All names are in lower case.
 */

/** Header names, and the parser of the pace header. */
export interface HeaderDialect {
  /** Request id, set by the caller and returned with every answer. */
  readonly requestId: string;
  /** Time in ms left for the request. */
  readonly deadlineMs: string;
  /** Key of a request to a keyed service. */
  readonly key: string;
  /** Id of the back end to which the request is addressed; any other refuses it. */
  readonly expectedInstance: string;
  /** Service of the caller. */
  readonly caller: string;
  /** Answer header: the back end did not run the request. */
  readonly notRun: string;
  /** Answer header: the back end's seal, which marks the answer as its own. */
  readonly seal: string;
  /** Answer header: requests per second that the back end accepts from all daemons together, as a decimal number. */
  readonly requestLimit: string;
  /** Answer header: the back end leaves; any value but 0. */
  readonly leaving: string;
  /** Answer header: current work time at the back end. */
  readonly pace: string;
  /** Parses the pace header as a factor on the usual work time; null if it states none, NaN if it cannot be parsed. */
  readonly readPace: (value: string) => number | null;
}

/** Default header names. */
export const DEFAULT_HEADER_DIALECT: HeaderDialect = {
  requestId: 'aldertide-request-id',
  deadlineMs: 'aldertide-deadline-ms',
  key: 'aldertide-key',
  expectedInstance: 'aldertide-instance',
  caller: 'aldertide-caller',
  notRun: 'aldertide-not-run',
  seal: 'aldertide-seal',
  requestLimit: 'aldertide-request-limit',
  leaving: 'aldertide-leaving',
  pace: 'aldertide-pace',
  readPace: Number,
};

/** Hop-by-hop headers, which apply to one connection only (RFC 9110, 7.6.1). */
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

/** Returns the value of a header in a list of alternating names and values; null if it is missing. */
export function headerValue(headers: readonly string[], name: string): string | null {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1] ?? null;
  }
  return null;
}

/** Returns the values of a header that may be repeated, in order. */
export function headerValues(headers: readonly string[], name: string): readonly string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) values.push(headers[index + 1] ?? '');
  }
  return values;
}

/** Returns the headers without hop-by-hop headers, those that `Connection` names, and those in `dropped`. */
export function endToEndHeaders(headers: readonly string[], dropped: ReadonlySet<string>): string[] {
  const named = headersNamedByConnection(headers);
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || dropped.has(lower) || named.has(lower)) continue;
    kept.push(name, headers[index + 1] ?? '');
  }
  return kept;
}

function headersNamedByConnection(headers: readonly string[]): ReadonlySet<string> {
  const value = headerValue(headers, 'connection');
  if (value === null) return new Set();
  return new Set(value.split(',').map((token) => token.trim().toLowerCase()));
}
