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
