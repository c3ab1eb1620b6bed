/**
 * Parses HTTP/1.1 answers from a byte stream with `http-parser-js`. Rejects what that library tolerates: a status of more than
 * three digits; lines of a head or trailer that are no header, and heads that run into another one, by which a length gets lost;
 * content lengths and chunk sizes that are not numbers and transfer codings other than chunked, which would make a truncated
 * answer look complete; lines and trailers without end; and heads that cannot be sent on.
 */
import { HTTPParser } from 'http-parser-js';
import { invalidHeadReason, repeatedHeaderReason } from './answer-headers.js';
import { headerValue, headerValues } from './header-dialect.js';

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
  /** `surplus` holds the bytes of the last chunk beyond the end of the answer. */
  onComplete(surplus: Buffer): void;
}

/** Statuses of interim answers, and of those that have no body whatever their headers state (RFC 9112, 6.3). */
const FIRST_FINAL_STATUS = 200;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

const SWITCHING_PROTOCOLS_STATUS = 101;

/** Maximum length in characters of a line that is not complete, and number of trailers, between the parts of a body. */
const MAX_PARTIAL_LINE = 80 * 1024;
const MAX_TRAILERS = 100;

const CHUNK_SIZE = /^[0-9a-fA-F]{1,12}(?:\s*;.*)?$/;
const CONTENT_LENGTH = /^[0-9]{1,15}$/;

/** Beginning of a header line (RFC 9112, 5): no space before the colon, and no folding. */
const HEADER_LINE = /^[!#$%&'*+.^_`|~\dA-Za-z-]+:/;

/**
 * Status line (RFC 9112, 4): three digits, then the end of the line or a space and the reason. The library reads the first three of
 * any number of digits.
 */
const STATUS_LINE = /^HTTP\/\d\.\d \d{3}(?: |$)/;

/** Status line of another answer behind the beginning of a line. */
const EMBEDDED_STATUS_LINE = /.HTTP\/\d\.\d \d{3}/;

const CARRIAGE_RETURN = 0x0d;
const NO_BYTES = Buffer.alloc(0);

/** Internals of `http-parser-js` that its type declarations omit. */
interface ParserInternals {
  state: string;
  /** Part of a line whose end has not been received. */
  line: string;
  /** Names and values of the trailers received so far. */
  trailers: string[];
  /** Bytes being parsed; null between calls. */
  chunk: Buffer | null;
  offset: number;
  end: number;
  consumeLine(): string | undefined;
}

// The library's default drops the high bit of each byte, so that different ids would be equal.
(HTTPParser as { encoding: string }).encoding = 'latin1';

type Parser = InstanceType<typeof HTTPParser>;

/** Parser of the answers on one connection. */
export class AnswerParser {
  private readonly parser: Parser;
  private readonly internals: ParserInternals;

  constructor(handlers: AnswerParserHandlers) {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    this.parser = parser;
    const internals = parser as unknown as ParserInternals;
    this.internals = internals;
    rejectInvalidLines(internals);
    parser[HTTPParser.kOnHeadersComplete] = ((info: {
      statusCode: number;
      headers: string[];
      shouldKeepAlive: boolean;
    }): boolean => {
      const { statusCode, headers, shouldKeepAlive } = info;
      const problem =
        invalidHeadReason(statusCode, headers) ??
        repeatedHeaderReason(headers) ??
        unclearLengthReason(statusCode, headers);
      if (problem !== null) throw new Error(problem);
      const skipsBody = handlers.onHeaders({
        statusCode,
        headers,
        keepAlive: shouldKeepAlive,
        framed: hasNoBody(statusCode) || isFramed(headers),
      });
      return skipsBody || hasNoBody(statusCode);
    }) as never;
    parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
      handlers.onBody(chunk.subarray(offset, offset + length));
    };
    parser[HTTPParser.kOnMessageComplete] = (): void => {
      const { chunk, offset, end } = internals;
      handlers.onComplete(chunk?.subarray(offset, end) ?? NO_BYTES);
    };
  }

  /** Parses the next bytes; returns an error message, or null. */
  push(chunk: Buffer): string | null {
    try {
      const result = this.parser.execute(chunk, 0, chunk.length);
      return result instanceof Error ? result.message : this.unboundedReason();
    } catch (error) {
      return error instanceof Error ? error.message : String(error);
    }
  }

  /** Returns what is longer than any answer needs; null if nothing is. */
  private unboundedReason(): string | null {
    const { line, trailers } = this.internals;
    if (line.length > MAX_PARTIAL_LINE) return 'a line is too long';
    return trailers.length > 2 * MAX_TRAILERS ? 'there are too many trailers' : null;
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

function rejectInvalidLines(parser: ParserInternals): void {
  const consumeLine = parser.consumeLine.bind(parser);
  parser.consumeLine = () => {
    const { state, line: begun, offset: start } = parser;
    const line = consumeLine();
    if (line === undefined) return undefined;
    const endsInChunk = parser.offset - 2 >= start;
    const hasReturn = endsInChunk
      ? parser.chunk?.[parser.offset - 2] === CARRIAGE_RETURN
      : begun.endsWith('\r');
    const problem = hasReturn ? invalidLineReason(state, line) : 'a line does not end with CRLF';
    if (problem !== null) throw new Error(problem);
    return line;
  };
}

/** Returns why a line cannot stand where it does, or null. */
function invalidLineReason(state: string, line: string): string | null {
  switch (state) {
    case 'BODY_CHUNKHEAD':
      return CHUNK_SIZE.test(line) ? null : 'a chunk size is not a number';
    case 'RESPONSE_LINE':
      if (!STATUS_LINE.test(line)) return 'the status is no status';
      return line.includes('\r') || EMBEDDED_STATUS_LINE.test(line) ? 'the head runs into another one' : null;
    case 'HEADER':
    case 'BODY_CHUNKTRAILERS':
      if (line === '') return null;
      if (!HEADER_LINE.test(line)) return 'a line is not a header';
      return EMBEDDED_STATUS_LINE.test(line) ? 'the head runs into another one' : null;
    default:
      return null;
  }
}

function isFramed(headers: readonly string[]): boolean {
  return (
    headerValue(headers, 'content-length') !== null || headerValue(headers, 'transfer-encoding') !== null
  );
}

/** Whether answers with a status have no body, whatever their headers state. */
export function hasNoBody(statusCode: number): boolean {
  return statusCode < FIRST_FINAL_STATUS || STATUSES_WITHOUT_BODY.has(statusCode);
}

/** Returns why it is unclear where an answer ends, or null. */
function unclearLengthReason(statusCode: number, headers: readonly string[]): string | null {
  if (statusCode === SWITCHING_PROTOCOLS_STATUS) return 'the protocol is switched unasked';
  const lengths = headerValues(headers, 'content-length');
  if (!lengths.every((length) => CONTENT_LENGTH.test(length))) return 'a content length is not a number';
  const codings = headerValues(headers, 'transfer-encoding');
  if (codings.length === 0) return null;
  const isChunked = codings.length === 1 && codings[0]?.toLowerCase() === 'chunked';
  if (!isChunked) return 'a transfer coding is not supported';
  return lengths.length > 0 ? 'the body has a length and is chunked' : null;
}
