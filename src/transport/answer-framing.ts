/**
 * Whether an answer that was received through `undici` is delimited by a length or chunks. That library takes any end of the
 * connection for the end of other answers, a reset too, so whether these are whole is not known.
 */
import type { IncomingHttpHeaders } from 'node:http';

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Detail of an answer that is not delimited, for errors. */
export const UNDELIMITED_ANSWER = 'the answer states no length and is not chunked';

/** Whether a final answer has no body, or a length or chunks mark its end. */
export function isDelimited(method: string, status: number, headers: IncomingHttpHeaders): boolean {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
