/**
 * Accepts callers' requests over HTTP/1.1 with Node's built-in server. Fastify and undici are not used, because every
 * library adds to the start-up time of a sidecar on a small machine, and bodies are only passed through.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { LimitsDefinition } from '../directory/directory-state.js';
import { ClientMemory } from '../runtime/client-memory.js';
import { costlyInput, type InputMeter } from '../runtime/costly-input.js';
import { IncomingBody, type BodyFault } from '../runtime/incoming-body.js';
import { InputTurns } from '../runtime/input-turns.js';
import { processIntervals, processTimers } from '../runtime/clock.js';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import { CallerAnswer, type AnswerFault, type DeliveredBytes } from './caller-answer.js';
import { CallerConnection } from './caller-connection.js';
import type { CallerSink, RequestHandle } from './caller-request.js';
import { LOCAL_STATUS, localAnswer, type LocalAnswer } from './local-answer.js';
import { OpenRequest, type UnansweredRequest } from './unanswered-request.js';

/** Maximum size of a header block that is read, in bytes; the configured limit is checked afterwards. */
const MAX_HEADER_BLOCK_BYTES = 128 * 1024;

/** Time in ms for which idle connections stay open beyond the configured idle timeout. */
const KEEP_ALIVE_MARGIN_MS = 2_000;

/** Interval in ms between checks for connections that exceed a timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/**
 * Time in ms without input after which a connection closes while the server stops. A caller that has just got an answer may
 * already have sent its next request; that is refused with an answer.
 */
const QUIET_BEFORE_CLOSE_MS = 200;

/** Interval in ms between checks for connections that are to be closed while the server stops. */
const CLOSE_CHECK_INTERVAL_MS = 25;

/**
 * Time in ms within which a request must have arrived with its body. Callers within the configured limits send bodies of at most
 * that size at once, and their deadlines are shorter.
 */
const REQUEST_TIMEOUT_MS = 60_000;

/** Time in ms after which a connection is looked at again whose request did not arrive in time. */
const LATE_RECHECK_MS = 1_000;

/** Time in ms after which a caller may return whose body was refused for want of memory: others have stalled or ended by then. */
const NO_MEMORY_RETRY_AFTER_MS = 1_000;

/** Answer to a request of which a part did not arrive in time. */
const LATE_REQUEST = localAnswer(LOCAL_STATUS.requestTimeout, 'the request did not arrive in time');

/** Answers to requests whose bodies are not taken; none of them has run. */
const BODY_REJECTIONS: Readonly<Record<BodyFault, LocalAnswer>> = {
  'too-large': localAnswer(LOCAL_STATUS.bodyTooLarge, 'the body is too large'),
  'no-memory': {
    statusCode: LOCAL_STATUS.notRun,
    reason: 'too many bytes of callers are held',
    retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
  },
};

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

/** Dependencies that the sidecar provides to the server. */
export interface CallerServerPorts {
  readonly limits: () => LimitsDefinition;
  /** Whether connections are to be closed after their current request. */
  readonly closing: () => boolean;
  /** Returns the handle of a request that is to be forwarded, or an immediate answer. */
  readonly handle: (request: IncomingRequest, sink: CallerSink) => RequestHandle | LocalAnswer;
  /** Called when a caller has left before its request was forwarded. */
  readonly onLeft?: () => void;
  /**
   * Called when a caller does not receive an answer as the back end gave it; `headers` are those of its request, and
   * `behind` is the number of requests behind it on the connection.
   */
  readonly onAnswerFault?: (
    headers: readonly string[],
    fault: AnswerFault,
    delivered: DeliveredBytes,
    behind: number,
  ) => void;
  /** Called when this server has closed a connection without a whole answer to a request of which it had read the head. */
  readonly onUnanswered?: (request: UnansweredRequest) => void;
}

/** HTTP server for callers. */
export class CallerServer {
  private readonly server: Server;
  private activeCount = 0;
  private readonly connections = new Map<Socket, CallerConnection>();
  private cancelCloseChecks: (() => void) | null = null;

  constructor(
    private readonly ports: CallerServerPorts,
    private readonly turns = new InputTurns(() => performance.now()),
    private readonly memory = new ClientMemory(),
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
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
    this.server.on('connection', (socket: Socket) => {
      this.turns.connectionAccepted();
      costlyInput.follow(socket);
      const connection = new CallerConnection(socket, {
        nowMs: () => performance.now(),
        after: (ms, callback) => processTimers.after(ms, callback),
        afterInput: (callback) => {
          this.turns.afterInput(callback);
        },
        idleTimeoutMs: () => this.ports.limits().idleTimeoutMs,
      });
      this.connections.set(socket, connection);
      // Node calls this after an answer that announced the end of the connection.
      socket.destroySoon = () => {
        connection.close();
      };
      socket.prependOnceListener('close', () => {
        this.connections.delete(socket);
        for (const request of connection.unanswered()) this.ports.onUnanswered?.(request.describe());
        connection.closed();
      });
    });
    // Without a listener, Node destroys the connection; a request on it may have arrived while this process ran late.
    this.server.on('timeout', (socket: Socket) => {
      const connection = this.connections.get(socket);
      if (connection !== undefined) this.closeIfQuiet(connection, 0);
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

  /** Number of connections that are not closed yet. */
  get openConnections(): number {
    return this.connections.size;
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

  /** Stops accepting connections, and closes each one when it owes no answer and is quiet. */
  stopListening(): void {
    // Connections that wait to be accepted may carry requests already.
    this.turns.afterClose(() => {
      // Node's own `close` would cut connections off whose answers a slow reader has not taken yet.
      NetServer.prototype.close.call(this.server);
    });
    this.closeQuietConnections();
    this.cancelCloseChecks ??= processIntervals.every(CLOSE_CHECK_INTERVAL_MS, () => {
      this.closeQuietConnections();
    });
  }

  /** Ends every connection behind what was written to it. */
  endConnections(): void {
    for (const connection of this.connections.values()) connection.close();
  }

  /** Stops listening and closes every connection at once. */
  close(): void {
    this.cancelCloseChecks?.();
    if (this.server.listening) this.server.close();
    this.server.closeAllConnections();
  }

  private closeQuietConnections(): void {
    for (const connection of this.connections.values()) this.closeIfQuiet(connection, QUIET_BEFORE_CLOSE_MS);
  }

  /** Closes a connection unless it owes an answer, or a request on it has arrived and was not read yet. */
  private closeIfQuiet(connection: CallerConnection, quietMs: number): void {
    if (!connection.isQuietFor(quietMs)) return;
    this.turns.afterClose(() => {
      if (connection.isQuietFor(quietMs)) connection.close();
    });
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket);
    if (connection === undefined) return;
    const open = new OpenRequest(request, () => performance.now(), connection.isEnding);
    if (connection.isEnding) {
      connection.discard(open);
      this.discard(request, open);
      return;
    }
    this.activeCount += 1;
    let forwarded: RequestHandle | null = null;
    let stored: IncomingBody | null = null;
    const answer = new CallerAnswer(response, {
      closing: this.ports.closing,
      afterInput: (callback) => {
        this.turns.afterClose(callback);
      },
      isOnly: () => connection.isOnly(response),
      onClosing: () => {
        connection.endAfterLast();
      },
      onWritten: () => {
        connection.startForwarding();
      },
      onFault: (fault, delivered) => {
        this.ports.onAnswerFault?.(request.rawHeaders, fault, delivered, connection.countBehind(response));
      },
      breakOff: () => {
        connection.breakOff();
      },
      countBehind: () => connection.countBehind(response),
      whenExpendable: (callback) => connection.whenExpendable(response, callback),
    });
    const onClosed = (): void => {
      this.activeCount -= 1;
      stored?.release();
      answer.connectionClosed();
      // A replaced answer may go on at its back end, and its parts may hold room of this daemon.
      if (!response.writableFinished || answer.isFaulty) forwarded?.cancel();
    };
    connection.begin(response, { request: open, answer, onClosed });
    response.once('close', () => {
      connection.end(response);
    });
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (headerBytes(request.rawHeaders) > this.ports.limits().maxHeaderBytes) {
      this.rejectEarly(
        request,
        answer,
        localAnswer(LOCAL_STATUS.headersTooLarge, 'the headers are too large'),
      );
      return;
    }
    stored = this.readBody(request, answer, (body) => {
      open.recordRead();
      // The caller may have closed the connection right after its request.
      this.turns.afterClose(() => {
        forwarded = this.dispatch(request, response, answer, body);
        if (forwarded !== null) connection.forward(response, forwarded);
      });
    });
  }

  private discard(request: IncomingMessage, open: OpenRequest): void {
    request.on('error', () => undefined);
    request.once('end', () => {
      open.recordRead();
    });
    discardBody(request, costlyInput.meter(request.socket));
  }

  /**
   * Rejects bytes that are no request; nothing of them was forwarded. Behind a request without an answer they get no
   * answer of their own, which would be taken for that of the request.
   */
  private rejectUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    const hasLeft = socket.readableEnded && connection.isBusy;
    if (error.code === 'ECONNRESET' || !socket.writable || hasLeft) {
      connection.abandon();
      return;
    }
    const isLate = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    if (isLate && !connection.isBusy) {
      // If this process runs late, the request may have arrived and not have been read.
      processTimers.after(LATE_RECHECK_MS, () => {
        if (!connection.isBusy) this.rejectInput(connection, error.code);
      });
      return;
    }
    this.rejectInput(connection, error.code);
  }

  private rejectInput(connection: CallerConnection, code: string | undefined): void {
    const tooLarge = code === 'HPE_HEADER_OVERFLOW';
    const isLate = code === 'ERR_HTTP_REQUEST_TIMEOUT';
    if (connection.isBusy) {
      const unreceived = connection.endAfterAnswers();
      if (unreceived === null) return;
      const statusCode = tooLarge ? LOCAL_STATUS.headersTooLarge : LOCAL_STATUS.badRequest;
      const rejection = localAnswer(statusCode, 'the request is not readable');
      unreceived.reply(isLate ? LATE_REQUEST : rejection);
      return;
    }
    if (connection.isDiscarding) {
      // The request whose rest this is has its answer.
      connection.close();
      return;
    }
    const line = tooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
    connection.close(`HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  /** Rejects a request whose body may still come; what is behind it is read first, since that may be further requests. */
  private rejectEarly(request: IncomingMessage, answer: CallerAnswer, rejection: LocalAnswer): void {
    const connection = this.connections.get(request.socket);
    connection?.beginDiscarding();
    request.once('close', () => connection?.bodyDiscarded());
    this.turns.afterInput(() => {
      answer.reply(rejection);
    });
  }

  private readBody(
    request: IncomingMessage,
    answer: CallerAnswer,
    done: (body: Buffer) => void,
  ): IncomingBody {
    const meter = costlyInput.meter(request.socket);
    const reject = (fault: BodyFault): void => {
      request.removeAllListeners('data');
      request.removeAllListeners('end');
      discardBody(request, meter);
      this.rejectEarly(request, answer, BODY_REJECTIONS[fault]);
    };
    // A smaller limit that arrives meanwhile does not hold for this request.
    const { maxBodyBytes } = this.ports.limits();
    const statedText = request.headers['content-length'];
    const statedBytes = statedText === undefined ? null : Number(statedText);
    const stored = new IncomingBody(this.memory, maxBodyBytes, statedBytes, () => {
      reject('no-memory');
    });
    request.on('data', (chunk: Buffer) => {
      meter.add(chunk.length);
      const fault = stored.add(chunk);
      if (fault !== null) reject(fault);
    });
    request.on('end', () => {
      const body = stored.end();
      if (body === null) return;
      if (stored.holdCopy()) done(body);
      else reject('no-memory');
    });
    return stored;
  }

  private dispatch(
    request: IncomingMessage,
    response: ServerResponse,
    answer: CallerAnswer,
    body: Buffer,
  ): RequestHandle | null {
    if (response.destroyed || request.socket.destroyed || request.socket.readableEnded) {
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
    const result = this.ports.handle(incoming, answer);
    if ('cancel' in result) return result;
    answer.reply(result);
    return null;
  }
}

/** Reads the rest of a body without storing it. */
function discardBody(request: IncomingMessage, meter: InputMeter): void {
  request.on('data', (chunk: Buffer) => {
    meter.add(chunk.length);
  });
}

function headerBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) bytes += text.length + 2;
  return bytes;
}
