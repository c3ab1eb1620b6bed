/** What a connection to a back end has seen of the answer to one request, for logs. */
import type { ParsedAnswer } from './answer-parser.js';
import { headerValue } from './header-dialect.js';

/** What marks the end of an answer: its head, a stated length, the last chunk, or the end of its connection. */
export type AnswerDelimiter = 'head' | 'length' | 'chunks' | 'connection-end';

/**
 * How the connection was left: open for further requests, closed by this daemon, ended by the back end (also by the end of
 * its process), or broken by a reset or another error.
 */
export type ConnectionEnd = 'kept' | 'closed' | 'ended' | 'broken';

/** Trace of the answer to one request. */
export interface AnswerTrace {
  /** Null if no head of the answer has arrived. */
  readonly delimitedBy: AnswerDelimiter | null;
  /** Length of the body that the head states, in bytes; null if it states none. */
  readonly statedBytes: number | null;
  /** Bytes of the body that have arrived. */
  readonly bodyBytes: number;
  readonly connection: ConnectionEnd;
  /** Answers to other requests that arrived in its place. */
  readonly otherAnswers: number;
  /** Bytes beyond the end of the answer that arrived with it. */
  readonly surplusBytes: number;
}

/** Bytes that arrived on a connection without a request in flight. */
export interface SurplusBytes {
  /** The request that the connection carried last. */
  readonly requestId: string;
  readonly bytes: number;
  /** Whether they begin like an answer. */
  readonly isAnswer: boolean;
}

/** Records the trace of one answer. */
export class AnswerRecorder {
  private delimitedBy: AnswerDelimiter | null = null;
  private statedBytes: number | null = null;
  private bodyBytes = 0;
  private otherAnswers = 0;
  private surplusBytes = 0;

  /** Records the head of the answer. */
  recordHead(answer: ParsedAnswer, hasNoBody: boolean): void {
    const length = headerValue(answer.headers, 'content-length');
    this.statedBytes = length === null ? null : Number(length);
    if (hasNoBody) this.delimitedBy = 'head';
    else if (!answer.framed) this.delimitedBy = 'connection-end';
    else this.delimitedBy = length === null ? 'chunks' : 'length';
  }

  /** Records the head of an answer to another request. */
  recordOther(): void {
    this.otherAnswers += 1;
  }

  /** Records bytes of the body. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Records bytes beyond the end of the answer. */
  recordSurplus(bytes: number): void {
    this.surplusBytes += bytes;
  }

  /** Returns the trace. */
  trace(connection: ConnectionEnd): AnswerTrace {
    const { delimitedBy, statedBytes, bodyBytes, otherAnswers, surplusBytes } = this;
    return { delimitedBy, statedBytes, bodyBytes, connection, otherAnswers, surplusBytes };
  }
}

/** Whether something besides the answer itself arrived, or nothing but the end of the connection delimits it. */
export function isUnusual({ delimitedBy, otherAnswers, surplusBytes }: AnswerTrace): boolean {
  return delimitedBy === 'connection-end' || otherAnswers > 0 || surplusBytes > 0;
}
