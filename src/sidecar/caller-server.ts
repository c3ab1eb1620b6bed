/**
 * Accepts callers' requests over HTTP/1.1 with Node's built-in server. Fastify and undici are not used, because every
 * library adds to the start-up time of a sidecar on a small machine, and bodies are only passed through.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { LimitsDefinition } from '../directory/directory-state.js';
import type { AnswerHead } from '../link/link-messages.js';
import { InputTurns } from '../runtime/input-turns.js';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import { CallerConnection } from './caller-connection.js';
import type { CallerSink, UnansweredOutcome } from './caller-request.js';

/** Maximum size of a header block that is read, in bytes; the configured limit is checked afterwards. */
const MAX_HEADER_BLOCK_BYTES = 128 * 1024;

/** Time in ms for which idle connections stay open beyond the configured idle timeout. */
const KEEP_ALIVE_MARGIN_MS = 2_000;

/** Interval in ms between checks for connections that exceed a timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** A request whose body was received completely. */
export interface IncomingRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  /** Header names and values alternately, as received. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** An answer that the sidecar itself generates. */
export interface LocalAnswer {
  readonly statusCode: number;
  readonly retryAfterMs: number | null;
  readonly reason: string;
}

/** Handle of a request that is being forwarded. */
export interface RequestHandle {
  /** Cancels the request after its caller has disconnected. */
  cancel(): void;
}

/** Dependencies that the sidecar provides to the server. */
export interface CallerServerPorts {
  readonly limits: () => LimitsDefinition;
  /** Whether connections are to be closed after their current request. */
  readonly closing: () => boolean;
  /** Starts forwarding a request, or returns an immediate answer. */
  readonly handle: (request: IncomingRequest, sink: CallerSink) => RequestHandle | LocalAnswer;
  /** Called when a caller has left before its request was forwarded. */
  readonly onLeft?: () => void;
}

/** HTTP statuses of the answers that the sidecar itself generates. */
export const LOCAL_STATUS = {
  badRequest: 400,
  /** A client error, so that callers do not retry. */
  quarantined: 400,
  noRoute: 404,
  bodyTooLarge: 413,
  headersTooLarge: 431,
  unknownOutcome: 502,
  notRun: 503,
  deadlinePassed: 504,
} as const;

/** HTTP server for callers. */
export class CallerServer {
  private readonly server: Server;
  private activeCount = 0;
  private readonly connections = new Map<Socket, CallerConnection>();

  constructor(
    private readonly ports: CallerServerPorts,
    private readonly turns = new InputTurns(() => performance.now()),
  ) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BLOCK_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (request, response) => {
        this.receive(request, response);
      },
    );
    this.server.requestTimeout = 0;
    this.server.on('connection', (socket: Socket) => {
      this.turns.connectionAccepted();
      this.connections.set(socket, new CallerConnection(socket));
      socket.once('close', () => this.connections.delete(socket));
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.rejectUnreadable(error, socket);
    });
    this.applyLimits();
  }

  /** Number of requests without a complete answer. */
  get activeRequests(): number {
    return this.activeCount;
  }

  /** Applies the configured timeouts to the server. */
  applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.ports.limits();
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Starts listening; the error message names the address. */
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

  /** Stops accepting connections and closes idle ones. */
  stopListening(): void {
    // Node's own `close` would cut connections off whose answers a slow reader has not taken yet.
    NetServer.prototype.close.call(this.server);
    for (const [socket, connection] of this.connections) if (connection.isIdle) socket.destroy();
  }

  /** Stops listening and closes every connection. */
  close(): void {
    if (this.server.listening) this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket);
    if (connection === undefined || connection.isEnding) return;
    this.activeCount += 1;
    connection.begin(response);
    let forwarded: RequestHandle | null = null;
    response.once('close', () => {
      this.activeCount -= 1;
      connection.end(response);
      if (!response.writableFinished) forwarded?.cancel();
    });
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (headerBytes(request.rawHeaders) > this.ports.limits().maxHeaderBytes) {
      this.sendLocalAnswer(response, localAnswer(LOCAL_STATUS.headersTooLarge, 'the headers are too large'));
      return;
    }
    this.readBody(request, response, (body) => {
      // The caller may have closed the connection right after its request.
      this.turns.afterClose(() => {
        forwarded = this.dispatch(request, response, body);
      });
    });
  }

  /**
   * Rejects bytes that are no request; nothing of them was forwarded. Behind a request without an answer they get no
   * answer of their own, which would be taken for that of the request.
   */
  private rejectUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    const hasLeft = socket.readableEnded && connection?.isBusy === true;
    if (error.code === 'ECONNRESET' || !socket.writable || hasLeft) {
      socket.destroy();
      return;
    }
    const tooLarge = error.code === 'HPE_HEADER_OVERFLOW';
    if (connection?.isBusy === true) {
      const unreceived = connection.endAfterAnswers();
      if (unreceived === null) return;
      const statusCode = tooLarge ? LOCAL_STATUS.headersTooLarge : LOCAL_STATUS.badRequest;
      this.sendLocalAnswer(unreceived, localAnswer(statusCode, 'the request is not readable'));
      return;
    }
    const line = tooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
    socket.end(`HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
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
      this.sendLocalAnswer(response, localAnswer(LOCAL_STATUS.bodyTooLarge, 'the body is too large'));
    });
    request.on('end', () => {
      done(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
    });
  }

  private dispatch(request: IncomingMessage, response: ServerResponse, body: Buffer): RequestHandle | null {
    if (response.destroyed || request.socket.readableEnded) {
      this.ports.onLeft?.();
      return null;
    }
    const incoming: IncomingRequest = {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      host: request.headers.host ?? '',
      headers: request.rawHeaders,
      body,
    };
    const result = this.ports.handle(incoming, this.makeSink(response));
    if ('cancel' in result) return result;
    this.sendLocalAnswer(response, result);
    return null;
  }

  private makeSink(response: ServerResponse): CallerSink {
    return {
      answer: (head, body) => {
        if (!this.writeHead(response, head)) return;
        writeBody(response, () => {
          if (head.moreFollows) response.write(body);
          else response.end(body);
        });
      },
      body: (chunk) => {
        if (response.writableEnded) return;
        writeBody(response, () => {
          response.write(chunk);
        });
      },
      end: () => {
        writeBody(response, () => {
          response.end();
        });
      },
      abort: () => {
        breakOff(response);
      },
      fail: (outcome) => {
        this.sendLocalAnswer(response, localAnswerFor(outcome));
      },
    };
  }

  /** Returns false, and answers itself, if the head cannot be sent on; a daemon of another version may not have checked it. */
  private writeHead(response: ServerResponse, head: AnswerHead): boolean {
    if (this.ports.closing()) response.shouldKeepAlive = false;
    response.sendDate = false;
    response.strictContentLength = true;
    const headers = [...head.headers];
    if (!head.framed) {
      // The body's completeness cannot be verified, so it is sent without a length or chunked framing that would attest
      // it.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    } else if (head.contentLength !== null) headers.push('content-length', String(head.contentLength));
    try {
      response.writeHead(head.statusCode, headers);
      return true;
    } catch {
      // Node rejects what it cannot write: invalid bytes, an unknown status, a trailer without chunks.
      this.sendLocalAnswer(response, localAnswer(LOCAL_STATUS.unknownOutcome, 'the answer is not readable'));
      return false;
    }
  }

  private sendLocalAnswer(response: ServerResponse, answer: LocalAnswer): void {
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

/** Writes a part of an answer. Node rejects one that does not fit the length that the answer has stated. */
function writeBody(response: ServerResponse, write: () => void): void {
  try {
    write();
  } catch {
    breakOff(response);
  }
}

/** Resets the connection: without a length, an ordinary end would make the answer look complete. */
function breakOff(response: ServerResponse): void {
  if (response.socket === null) response.destroy();
  else response.socket.resetAndDestroy();
}

/** Creates an answer without a retry-after time. */
export function localAnswer(statusCode: number, reason: string): LocalAnswer {
  return { statusCode, reason, retryAfterMs: null };
}

/** Returns the answer to a request that ended without an answer of a back end. */
export function localAnswerFor(outcome: UnansweredOutcome): LocalAnswer {
  if (outcome.kind === 'not-run') {
    const { reason, retryAfterMs } = outcome;
    return { statusCode: LOCAL_STATUS.notRun, reason, retryAfterMs };
  }
  if (outcome.kind === 'quarantined') return localAnswer(LOCAL_STATUS.quarantined, outcome.reason);
  const statusCode = outcome.timedOut ? LOCAL_STATUS.deadlinePassed : LOCAL_STATUS.unknownOutcome;
  return localAnswer(statusCode, outcome.reason);
}

function headerBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) bytes += text.length + 2;
  return bytes;
}
