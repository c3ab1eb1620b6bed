/**
 * Takes callers' requests over HTTP/1.1 with Node's own server. Neither Fastify nor undici is used here: a daemon on
 * a small machine pays for every library at each of its starts, and the bodies only pass through.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { LimitsDefinition } from '../directory/directory-state.js';
import type { AnswerHead } from '../link/link-messages.js';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import type { CallerSink, GivenUp } from './caller-request.js';

/** Largest header block that is read at all, in bytes; the configured limit is checked after that. */
const LARGEST_HEADER_BYTES = 128 * 1024;

/** Time in ms by which connections outlast the idle time that callers are told. */
const IDLE_MARGIN_MS = 2_000;

/** Pause between looks for connections that are too slow, in ms. */
const SLOW_CHECK_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** A request whose body is whole. */
export interface IncomingRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  /** Names and values in turn, as they came. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** An answer of this daemon's own. */
export interface OwnAnswer {
  readonly statusCode: number;
  readonly retryAfterMs: number | null;
  readonly reason: string;
}

/** A request that was taken. */
export interface TakenRequest {
  /** The caller has gone. */
  cancel(): void;
}

/** What the server needs of its daemon. */
export interface CallerServerPorts {
  readonly limits: () => LimitsDefinition;
  /** Whether connections are to be closed after their present request. */
  readonly closing: () => boolean;
  /** Takes a request, or answers it at once. */
  readonly take: (request: IncomingRequest, sink: CallerSink) => TakenRequest | OwnAnswer;
}

/** Statuses of this daemon's own answers. */
export const OWN_STATUS = {
  badRequest: 400,
  /** Final for every caller: coming back cannot help. */
  quarantined: 400,
  noRoute: 404,
  bodyTooLarge: 413,
  headersTooLarge: 431,
  unknownOutcome: 502,
  notRun: 503,
  timeUp: 504,
} as const;

/** A listener for callers. */
export class CallerServer {
  private readonly server: Server;
  private active = 0;

  constructor(private readonly ports: CallerServerPorts) {
    this.server = createServer(
      { maxHeaderSize: LARGEST_HEADER_BYTES, connectionsCheckingInterval: SLOW_CHECK_MS, noDelay: true },
      (request, response) => {
        this.receive(request, response);
      },
    );
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      refuseBroken(error, socket);
    });
    this.applyLimits();
  }

  /** Requests that have no whole answer yet. */
  get activeRequests(): number {
    return this.active;
  }

  /** Takes over limits that have changed. */
  applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.ports.limits();
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Starts listening; the error names the address. */
  async listen(address: SocketAddress): Promise<Result<void, string>> {
    return await new Promise((resolve) => {
      this.server.once('error', (error) => {
        resolve(Err(`cannot listen on ${address.host}:${address.port}: ${error.message}`));
      });
      this.server.listen(address.port, address.host, () => {
        resolve(Ok(undefined));
      });
    });
  }

  /** Takes no more connections, and closes those that no request is on. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops listening and closes every connection. */
  close(): void {
    if (this.server.listening) this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    this.active += 1;
    let taken: TakenRequest | null = null;
    response.once('close', () => {
      this.active -= 1;
      if (!response.writableFinished) taken?.cancel();
    });
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (headerBytes(request.rawHeaders) > this.ports.limits().maxHeaderBytes) {
      this.answerOwn(response, ownAnswer(OWN_STATUS.headersTooLarge, 'the headers are too large'));
      return;
    }
    this.readBody(request, response, (body) => {
      taken = this.pass(request, response, body);
    });
  }

  private readBody(request: IncomingMessage, response: ServerResponse, done: (body: Buffer) => void): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= this.ports.limits().maxBodyBytes) {
        chunks.push(chunk);
        return;
      }
      request.removeAllListeners('data');
      request.removeAllListeners('end');
      request.resume();
      this.answerOwn(response, ownAnswer(OWN_STATUS.bodyTooLarge, 'the body is too large'));
    });
    request.on('end', () => {
      done(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
    });
  }

  private pass(request: IncomingMessage, response: ServerResponse, body: Buffer): TakenRequest | null {
    if (response.destroyed) return null;
    const incoming: IncomingRequest = {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      host: request.headers.host ?? '',
      headers: request.rawHeaders,
      body,
    };
    const taken = this.ports.take(incoming, this.makeSink(response));
    if ('cancel' in taken) return taken;
    this.answerOwn(response, taken);
    return null;
  }

  private makeSink(response: ServerResponse): CallerSink {
    return {
      answer: (head, body) => {
        this.writeHead(response, head);
        if (head.moreFollows) response.write(body);
        else response.end(body);
      },
      body: (chunk) => {
        response.write(chunk);
      },
      end: () => {
        response.end();
      },
      breakOff: () => {
        response.destroy();
      },
      giveUp: (outcome) => {
        this.answerOwn(response, answerGivenUp(outcome));
      },
    };
  }

  private writeHead(response: ServerResponse, head: AnswerHead): void {
    if (this.ports.closing()) response.shouldKeepAlive = false;
    response.sendDate = false;
    const headers = [...head.headers];
    if (!head.framed) {
      // Nobody can tell whether it is whole, so it must not be given a length that vouches for it.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    } else if (head.contentLength !== null) headers.push('content-length', String(head.contentLength));
    response.writeHead(head.statusCode, headers);
  }

  private answerOwn(response: ServerResponse, answer: OwnAnswer): void {
    if (response.headersSent || response.destroyed) return;
    if (this.ports.closing()) response.shouldKeepAlive = false;
    const headers = ['content-type', 'text/plain'];
    if (answer.retryAfterMs !== null) {
      headers.push('retry-after', String(answer.retryAfterMs / MS_PER_SECOND));
    }
    const body = `${answer.reason}\n`;
    headers.push('content-length', String(Buffer.byteLength(body)));
    response.writeHead(answer.statusCode, headers);
    response.end(body);
  }
}

/** An answer that says nothing of when to come back. */
export function ownAnswer(statusCode: number, reason: string): OwnAnswer {
  return { statusCode, reason, retryAfterMs: null };
}

/** The answer to a request that ended without a back end's answer. */
export function answerGivenUp(outcome: GivenUp): OwnAnswer {
  if (outcome.kind === 'not-run') {
    const { reason, retryAfterMs } = outcome;
    return { statusCode: OWN_STATUS.notRun, reason, retryAfterMs };
  }
  if (outcome.kind === 'quarantined') return ownAnswer(OWN_STATUS.quarantined, outcome.reason);
  const statusCode = outcome.timedOut ? OWN_STATUS.timeUp : OWN_STATUS.unknownOutcome;
  return ownAnswer(statusCode, outcome.reason);
}

function headerBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) bytes += text.length + 2;
  return bytes;
}

/** The request could not be read at all, so nothing of it was passed on. */
function refuseBroken(error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const tooLarge = error.code === 'HPE_HEADER_OVERFLOW';
  const line = tooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
  socket.end(`HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
