/**
 * Parses HTTP/1.1 answers from a byte stream with `http-parser-js`. Rejects what that library tolerates: content lengths
 * and chunk sizes that are not numbers, which would make a truncated answer look complete, and heads that cannot be sent
 * on.
 */
import { HTTPParser } from 'http-parser-js';
import { invalidHeadReason } from './answer-headers.js';
import { headerValue } from './header-dialect.js';

/** Status and headers of an answer. */
export interface ParsedAnswer {
  readonly statusCode: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** Whether the connection may be reused after this answer. */
  readonly keepAlive: boolean;
  /** Whether the answer is delimited by a length or chunks; otherwise truncation cannot be detected. */
  readonly framed: boolean;
}

/** Callbacks of a parser. */
export interface AnswerParserHandlers {
  /** Returns whether the answer has no body, regardless of its headers. */
  onHeaders(answer: ParsedAnswer): boolean;
  onBody(chunk: Buffer): void;
  /** `surplus` states whether the last chunk contains bytes beyond the end of the answer. */
  onComplete(surplus: boolean): void;
}

const CHUNK_SIZE = /^[0-9a-fA-F]{1,12}(?:\s*;.*)?$/;
const CONTENT_LENGTH = /^[0-9]{1,15}$/;

/** Internals of `http-parser-js` that its type declarations omit. */
interface ParserInternals {
  state: string;
  offset: number;
  end: number;
  consumeLine(): string | undefined;
}

type Parser = InstanceType<typeof HTTPParser>;

/** Parser of the answers on one connection. */
export class AnswerParser {
  private readonly parser: Parser;

  constructor(handlers: AnswerParserHandlers) {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    this.parser = parser;
    const internals = parser as unknown as ParserInternals;
    rejectInvalidChunkSizes(internals);
    parser[HTTPParser.kOnHeadersComplete] = ((info: {
      statusCode: number;
      headers: string[];
      shouldKeepAlive: boolean;
    }): boolean => {
      rejectInvalidContentLength(info.headers);
      const { statusCode, headers, shouldKeepAlive } = info;
      const problem = invalidHeadReason(statusCode, headers);
      if (problem !== null) throw new Error(problem);
      return handlers.onHeaders({
        statusCode,
        headers,
        keepAlive: shouldKeepAlive,
        framed: isFramed(headers),
      });
    }) as never;
    parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
      handlers.onBody(chunk.subarray(offset, offset + length));
    };
    parser[HTTPParser.kOnMessageComplete] = (): void => {
      handlers.onComplete(internals.offset < internals.end);
    };
  }

  /** Parses the next bytes; returns an error message, or null. */
  push(chunk: Buffer): string | null {
    try {
      const result = this.parser.execute(chunk, 0, chunk.length);
      return result instanceof Error ? result.message : null;
    } catch (error) {
      return error instanceof Error ? error.message : String(error);
    }
  }

  /** Handles the end of the stream; returns an error message, or null if it completes an answer without a length. */
  end(): string | null {
    try {
      const result: unknown = this.parser.finish();
      return result instanceof Error ? result.message : null;
    } catch (error) {
      return error instanceof Error ? error.message : String(error);
    }
  }
}

function rejectInvalidChunkSizes(parser: ParserInternals): void {
  const consumeLine = parser.consumeLine.bind(parser);
  parser.consumeLine = () => {
    const line = consumeLine();
    const isInvalid = line !== undefined && parser.state === 'BODY_CHUNKHEAD' && !CHUNK_SIZE.test(line);
    if (isInvalid) throw new Error('a chunk size is not a number');
    return line;
  };
}

function isFramed(headers: readonly string[]): boolean {
  return (
    headerValue(headers, 'content-length') !== null || headerValue(headers, 'transfer-encoding') !== null
  );
}

function rejectInvalidContentLength(headers: readonly string[]): void {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() !== 'content-length') continue;
    if (!CONTENT_LENGTH.test(headers[at + 1] ?? '')) throw new Error('a content length is not a number');
  }
}
