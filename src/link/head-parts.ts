/** Parts of heads that their receiver can do without; left out only towards peers that read short heads. */
import type { AnswerHead, RequestHead } from './link-messages.js';

const CONTENT_LENGTH = 'content-length';

/** An answer head without the id of its request. */
interface AnswerWithoutId extends AnswerHead {
  /** Position in `headers` of a value that is the id of the request; the value there is empty. Missing if there is none. */
  readonly requestIdAt?: number;
}

/**
 * Returns a request head with whole times, and without the length of a body that is sent with it: the daemon beside the
 * back end states that length itself.
 */
export function withoutExcess(head: RequestHead, bodyBytes: number): RequestHead {
  return {
    ...head,
    headers: bodyBytes > 0 ? withoutHeader(head.headers, CONTENT_LENGTH) : head.headers,
    remainingMs: Math.floor(head.remainingMs),
    patienceMs: Math.floor(head.patienceMs),
    targetLeftMs: Math.floor(head.targetLeftMs),
    spentMs: Math.round(head.spentMs),
  };
}

/** Returns an answer head without the id of its request, which its receiver knows. */
export function withoutRequestId(head: AnswerHead, requestId: string): AnswerWithoutId {
  const requestIdAt = head.headers.findIndex((text, index) => index % 2 === 1 && text === requestId);
  if (requestIdAt < 0) return head;
  return { ...head, headers: head.headers.with(requestIdAt, ''), requestIdAt };
}

/** Returns an answer head with the id of its request; a position that does not exist is ignored. */
export function withRequestId(head: AnswerWithoutId, requestId: string): AnswerHead {
  const { requestIdAt, ...answer } = head;
  if (requestIdAt === undefined || answer.headers[requestIdAt] !== '') return answer;
  return { ...answer, headers: answer.headers.with(requestIdAt, requestId) };
}

function withoutHeader(headers: readonly string[], name: string): readonly string[] {
  return headers.filter((_, index) => headers[index - (index % 2)]?.toLowerCase() !== name);
}
