/**
 * Reads HTTP/1.1 answers from a byte stream with `http-parser-js`, and refuses what that library takes leniently:
 * lengths and chunk sizes that are not numbers, which would make a cut answer look whole.
 */
import { HTTPParser } from 'http-parser-js';
import { headerValue } from './header-dialect.js';

/** The beginning of an answer. */
export interface ParsedAnswer {
  readonly statusCode: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Whether the connection may be used again after this answer. */
  readonly keepAlive: boolean;
  /** Whether the answer says where it ends; otherwise it ends with its connection, and nobody can tell a cut one. */
  readonly framed: boolean;
}

/** What the owner of a parser is told. */
export interface AnswerParserHandlers {
  /** Returns whether the answer has no body whatever its headers say. */
  onHeaders(answer: ParsedAnswer): boolean;
  onBody(chunk: Buffer): void;
  /** `surplus`: more bytes came together with the end of the answer. */
  onComplete(surplus: boolean): void;
}

const CHUNK_SIZE = /^[0-9a-fA-F]{1,12}(?:\s*;.*)?$/;
const CONTENT_LENGTH = /^[0-9]{1,15}$/;

/** State of `http-parser-js` that its types leave out. */
interface ParserInternals {
  state: string;
  offset: number;
  end: number;
  consumeLine(): string | undefined;
}

type Parser = InstanceType<typeof HTTPParser>;

/** A parser of the answers on one connection. */
export class AnswerParser {
  private readonly parser: Parser;

  constructor(handlers: AnswerParserHandlers) {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    this.parser = parser;
    const internals = parser as unknown as ParserInternals;
    refuseLenientChunkSizes(internals);
    parser[HTTPParser.kOnHeadersComplete] = ((info: {
      statusCode: number;
      headers: string[];
      shouldKeepAlive: boolean;
    }): boolean => {
      refuseLenientLength(info.headers);
      const { statusCode, headers, shouldKeepAlive } = info;
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

  /** Takes the next bytes; returns what is wrong with them, or null. */
  push(chunk: Buffer): string | null {
    try {
      const result = this.parser.execute(chunk, 0, chunk.length);
      return result instanceof Error ? result.message : null;
    } catch (error) {
      return error instanceof Error ? error.message : String(error);
    }
  }

  /** The stream has ended; returns what is wrong with that, or null when it ends an answer without length. */
  end(): string | null {
    try {
      const result: unknown = this.parser.finish();
      return result instanceof Error ? result.message : null;
    } catch (error) {
      return error instanceof Error ? error.message : String(error);
    }
  }
}

function refuseLenientChunkSizes(parser: ParserInternals): void {
  const consumeLine = parser.consumeLine.bind(parser);
  parser.consumeLine = () => {
    const line = consumeLine();
    const wrong = line !== undefined && parser.state === 'BODY_CHUNKHEAD' && !CHUNK_SIZE.test(line);
    if (wrong) throw new Error('a chunk size is not a number');
    return line;
  };
}

function isFramed(headers: readonly string[]): boolean {
  return (
    headerValue(headers, 'content-length') !== null || headerValue(headers, 'transfer-encoding') !== null
  );
}

function refuseLenientLength(headers: readonly string[]): void {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() !== 'content-length') continue;
    if (!CONTENT_LENGTH.test(headers[at + 1] ?? '')) throw new Error('a content length is not a number');
  }
}
