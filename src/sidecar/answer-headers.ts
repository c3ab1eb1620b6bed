/** Checks whether headers that another process has sent may be sent on. */
import { validateHeaderName, validateHeaderValue } from 'node:http';

/** Lowest and highest status that an answer may have. */
const MIN_STATUS = 100;
const MAX_STATUS = 999;

/** Returns why an answer's head cannot be sent on, or null. Headers are names and values alternately. */
export function invalidHeadReason(statusCode: number, headers: readonly string[]): string | null {
  if (!Number.isInteger(statusCode) || statusCode < MIN_STATUS || statusCode > MAX_STATUS)
    return 'the status is no status';
  try {
    for (let at = 0; at + 1 < headers.length; at += 2) {
      validateHeaderName(headers[at] ?? '');
      validateHeaderValue(headers[at] ?? '', headers[at + 1] ?? '');
    }
    return null;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

/** Headers with a single value (RFC 9110), which cannot occur twice in one head. */
const SINGLE_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'content-type',
  'date',
  'etag',
  'expires',
  'last-modified',
  'location',
  'retry-after',
  'transfer-encoding',
]);

/** Returns which header occurs twice although it has a single value, as where two heads run into one; null if none does. */
export function repeatedHeaderReason(headers: readonly string[]): string | null {
  const seen = new Set<string>();
  for (let at = 0; at < headers.length; at += 2) {
    const name = (headers[at] ?? '').toLowerCase();
    if (!SINGLE_HEADERS.has(name)) continue;
    if (seen.has(name)) return `the header ${name} occurs twice`;
    seen.add(name);
  }
  return null;
}
