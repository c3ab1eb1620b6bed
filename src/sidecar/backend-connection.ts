/**
 * One HTTP/1.1 connection to a back end. It carries one request at a time, and it is closed on any data that does not
 * belong to that request: surplus bytes, a second answer, an answer to another request.
 */
import { connect, type Socket } from 'node:net';
import type { SocketAddress } from '../model/socket-address.js';
import { AnswerParser, hasNoBody, type ParsedAnswer } from './answer-parser.js';
import { AnswerRecorder, type AnswerTrace, type ConnectionEnd, type SurplusBytes } from './answer-trace.js';
import { EmbeddedAnswerDetector } from './embedded-answer-detector.js';
import { headerValue, headerValues } from './header-dialect.js';

/** Timeout in ms for opening a connection. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Time in ms after which an idle connection is no longer reused, if the back end sends no keep-alive timeout. */
const DEFAULT_MAX_IDLE_MS = 4_000;

/** Margin in ms before the back end's keep-alive timeout within which an idle connection is no longer reused. */
const IDLE_MARGIN_MS = 1_500;

/**
 * Maximum number of requests that a connection carries. It stores their ids, to carry no id twice: a surplus copy of the
 * first answer would be taken for the second.
 */
const MAX_CARRIED_REQUESTS = 256;

/** Maximum number of bytes received before the head of the answer, in interim and surplus answers. */
const MAX_BYTES_BEFORE_ANSWER = 4 * 1024 * 1024;

/** Receives the bytes of all connections, one read at a time; whoever keeps some copies them. */
const READ_BUFFER = Buffer.alloc(32 * 1024);

const MS_PER_SECOND = 1_000;
const FIRST_FINAL_STATUS = 200;
const HEAD_METHOD = 'HEAD';
const ANSWER_START = 'HTTP/';
const EMBEDDED_ANSWER = 'another answer stands in the body';
const KEEP_ALIVE_TIMEOUT = /timeout=(\d{1,6})/i;

/** A request to the back end. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly requestId: string;
  /** Whether the request may be executed more than once. */
  readonly repeatable: boolean;
  /** Whether an answer without a request id is accepted, on a connection that has carried nothing before. */
  readonly allowsMissingId?: boolean;
}

/** Why a request has no complete answer: the connection broke, or the answer is malformed. */
export type BrokenReason = 'broken' | 'garbled';

/** Callbacks of a request. `onEnd` and `onBroken` are final. */
export interface BackendRequestHandlers {
  /** Called before a final callback, with what was seen of the answer. */
  onTrace?(trace: AnswerTrace): void;
  onAnswer(answer: ParsedAnswer): void;
  onBody(chunk: Buffer): void;
  onEnd(): void;
  /** `sent` is false if no byte of the request can have been sent. */
  onBroken(reason: BrokenReason, detail: string, sent: boolean): void;
}

/** Names of the headers that a connection reads. */
export interface ConnectionHeaders {
  readonly requestId: string;
}

/** Connection to one back end. */
export class BackendConnection {
  private readonly socket: Socket;
  private readonly parser: AnswerParser;
  private request: BackendRequest | null = null;
  private handlers: BackendRequestHandlers | null = null;
  private connected = false;
  private closed = false;
  /** Whether the back end has ended its direction of the connection in the ordinary way. */
  private endReceived = false;
  private requestWritten = false;
  /** Whether the answer being received belongs to the present request. */
  private receivingAnswer = false;
  /** Whether a length or chunks delimit it. */
  private answerIsFramed = true;
  private bytesBeforeAnswer = 0;
  private recorder = new AnswerRecorder();
  private detector: EmbeddedAnswerDetector;
  private reusable = true;
  private idleUntilMs = 0;
  private usedMs = Infinity;
  private readonly carriedRequests = new Set<string>();
  /** Whether a HEAD request was carried: the answer to one may state a length and has no body. */
  private hasCarriedHead = false;
  private readonly connectTimer: NodeJS.Timeout;

  constructor(
    address: SocketAddress,
    private readonly names: ConnectionHeaders,
    private readonly nowMs: () => number,
    private readonly onClosed: (connection: BackendConnection, refused: boolean) => void,
    /** Called when bytes arrive without a request in flight. */
    private readonly onSurplus: (surplus: SurplusBytes) => void = () => undefined,
  ) {
    this.detector = new EmbeddedAnswerDetector(this.carriedRequests);
    this.parser = new AnswerParser({
      onHeaders: (answer) => this.handleHeaders(answer),
      onBody: (chunk) => {
        this.handleBody(chunk);
      },
      onComplete: (surplus) => {
        this.handleComplete(surplus);
      },
    });
    // Half open, since the operating system forgets the remote address once both directions have ended.
    this.socket = connect({
      host: address.host,
      port: address.port,
      allowHalfOpen: true,
      onread: {
        buffer: READ_BUFFER,
        callback: (bytes) => {
          this.receive(READ_BUFFER.subarray(0, bytes));
          return true;
        },
      },
    });
    this.socket.setNoDelay(true);
    this.connectTimer = setTimeout(() => {
      // The connection may have opened, but a late timer fires before that is noticed.
      setImmediate(() => {
        if (!this.connected) this.fail('broken', 'connect timed out', false);
      });
    }, CONNECT_TIMEOUT_MS);
    this.listen();
  }

  /** Whether the connection may be used for another request. */
  get usable(): boolean {
    return !this.closed && this.reusable && this.request === null && this.nowMs() < this.idleUntilMs;
  }

  /** Time in ms since the last answer; 0 before the first. */
  get idleForMs(): number {
    return Math.max(0, this.nowMs() - this.usedMs);
  }

  /** Whether the connection has carried a request with this id. */
  hasCarried(requestId: string): boolean {
    return this.carriedRequests.has(requestId);
  }

  /** Whether a request is in flight. */
  get busy(): boolean {
    return this.request !== null;
  }

  /** Sends a request, as soon as the connection is open. */
  run(request: BackendRequest, handlers: BackendRequestHandlers): void {
    this.request = request;
    this.carriedRequests.add(request.requestId);
    if (request.method === HEAD_METHOD) this.hasCarriedHead = true;
    if (this.carriedRequests.size >= MAX_CARRIED_REQUESTS) this.reusable = false;
    this.handlers = handlers;
    this.requestWritten = false;
    this.bytesBeforeAnswer = 0;
    this.recorder = new AnswerRecorder();
    this.detector = new EmbeddedAnswerDetector(this.carriedRequests);
    if (this.connected) this.write();
  }

  /** Whether this request is in flight on the connection. */
  carries(request: BackendRequest): boolean {
    return this.request === request;
  }

  /** Stops reading the answer, or goes on. */
  setPaused(paused: boolean): void {
    if (this.closed) return;
    if (paused) this.socket.pause();
    else this.socket.resume();
  }

  /** Closes the connection without calling any handler. */
  destroy(): void {
    this.handlers = null;
    this.request = null;
    this.close(false);
  }

  private listen(): void {
    const { socket } = this;
    socket.on('connect', () => {
      clearTimeout(this.connectTimer);
      this.connected = true;
      if (this.request !== null) this.write();
    });
    socket.on('end', () => {
      this.handleEnd();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.fail('broken', error.message, error.code === 'ECONNREFUSED');
    });
    socket.on('close', () => {
      this.fail('broken', 'closed by the back end', false);
    });
  }

  private write(): void {
    const { request, socket } = this;
    if (request === null || this.closed) return;
    this.requestWritten = true;
    socket.cork();
    socket.write(encodeRequest(request), 'latin1');
    if (request.body.length > 0) socket.write(request.body);
    socket.uncork();
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    if (this.request === null) {
      this.reportSurplus(chunk);
      this.close(false);
      return;
    }
    const problem = this.parser.push(chunk) ?? this.missingAnswerReason(chunk);
    if (problem !== null) this.fail('garbled', problem, false);
  }

  private reportSurplus(chunk: Buffer): void {
    const requestId = [...this.carriedRequests].at(-1) ?? '';
    const isAnswer = chunk.toString('latin1', 0, ANSWER_START.length) === ANSWER_START;
    this.onSurplus({ requestId, bytes: chunk.length, isAnswer });
  }

  /** Returns what is wrong if too many bytes have come without the head of the answer; null if nothing is. */
  private missingAnswerReason(chunk: Buffer): string | null {
    if (this.receivingAnswer || this.request === null) return null;
    this.bytesBeforeAnswer += chunk.length;
    return this.bytesBeforeAnswer > MAX_BYTES_BEFORE_ANSWER ? 'too many bytes before the answer' : null;
  }

  private handleEnd(): void {
    if (this.closed) return;
    if (this.isReset()) {
      this.fail('broken', 'reset by the back end', false);
      return;
    }
    this.endReceived = true;
    if (this.receivingAnswer) {
      this.reusable = false;
      const problem = this.parser.end();
      if (problem === null && this.request === null) {
        this.close(false);
        return;
      }
    }
    this.fail('broken', 'the answer was cut short', false);
  }

  /**
   * Whether a connection that was reported as ended was reset. Node reports a reset behind unread bytes as an end; the
   * operating system then has no remote address any more. Valid only if that address was not asked for before.
   */
  private isReset(): boolean {
    return this.socket.remoteAddress === undefined;
  }

  private handleHeaders(answer: ParsedAnswer): boolean {
    this.receivingAnswer = false;
    if (this.request === null || answer.statusCode < FIRST_FINAL_STATUS) return false;
    if (headerValues(answer.headers, this.names.requestId).length > 1) {
      this.fail('garbled', 'the head has more than one request id', false);
      return false;
    }
    if (!this.matchesRequest(answer, this.request)) {
      this.reusable = false;
      this.recorder.recordOther();
      if (this.hasCarriedHead) this.fail('garbled', 'a surplus answer may or may not have a body', false);
      return false;
    }
    this.receivingAnswer = true;
    if (!answer.keepAlive) this.reusable = false;
    this.idleUntilMs = this.nowMs() + maxIdleMs(answer.headers);
    const answersHead = this.request.method === HEAD_METHOD;
    this.answerIsFramed = answersHead || answer.framed;
    this.recorder.recordHead(answer, answersHead || hasNoBody(answer.statusCode));
    this.handlers?.onAnswer({ ...answer, framed: this.answerIsFramed });
    return answersHead;
  }

  /**
   * Compares request ids: a surplus answer to an earlier request may arrive where the next one is expected, and what
   * carries no id may be such an answer with a damaged head.
   */
  private matchesRequest(answer: ParsedAnswer, request: BackendRequest): boolean {
    const ids = headerValues(answer.headers, this.names.requestId);
    if (ids.length > 0) return ids[0] === request.requestId;
    if (request.allowsMissingId !== true || this.carriedRequests.size > 1) return false;
    // Without ids, a late surplus answer could not be told from the answer to the next call.
    this.reusable = false;
    return true;
  }

  private handleBody(chunk: Buffer): void {
    if (!this.receivingAnswer) return;
    this.recorder.recordBody(chunk.length);
    if (this.detector.push(chunk)) {
      this.fail('garbled', EMBEDDED_ANSWER, false);
      return;
    }
    this.handlers?.onBody(chunk);
  }

  private handleComplete(surplus: Buffer): void {
    if (!this.receivingAnswer) {
      if (this.request === null) this.reusable = false;
      return;
    }
    this.recorder.recordSurplus(surplus.length);
    // A length that is reached exactly, with nothing behind it, tells the end of a body whatever its last bytes are.
    const mayBeCut = !this.answerIsFramed || surplus.length > 0;
    if (mayBeCut && this.detector.endsInsideHead(surplus)) {
      this.fail('garbled', EMBEDDED_ANSWER, false);
      return;
    }
    this.receivingAnswer = false;
    this.usedMs = this.nowMs();
    const hasUnsentBody = this.socket.writableLength > 0;
    if (surplus.length > 0 || hasUnsentBody) this.reusable = false;
    const { handlers } = this;
    this.request = null;
    this.handlers = null;
    this.setPaused(false);
    if (!this.reusable) this.close(false);
    handlers?.onTrace?.(this.recorder.trace(this.endOfUse()));
    handlers?.onEnd();
  }

  private endOfUse(): ConnectionEnd {
    if (!this.closed) return 'kept';
    return this.endReceived ? 'ended' : 'closed';
  }

  private fail(reason: BrokenReason, detail: string, refused: boolean): void {
    if (this.closed) return;
    const { handlers, requestWritten } = this;
    this.request = null;
    this.handlers = null;
    this.close(refused);
    const connection = this.endReceived || reason === 'garbled' ? this.endOfUse() : 'broken';
    handlers?.onTrace?.(this.recorder.trace(connection));
    handlers?.onBroken(reason, detail, requestWritten);
  }

  private close(refused: boolean): void {
    if (this.closed) return;
    this.closed = true;
    clearTimeout(this.connectTimer);
    this.socket.destroy();
    this.onClosed(this, refused);
  }
}

function encodeRequest(request: BackendRequest): string {
  let text = `${request.method} ${request.path} HTTP/1.1\r\n`;
  for (let at = 0; at + 1 < request.headers.length; at += 2) {
    text += `${request.headers[at] ?? ''}: ${request.headers[at + 1] ?? ''}\r\n`;
  }
  return `${text}\r\n`;
}

function maxIdleMs(headers: readonly string[]): number {
  const match = KEEP_ALIVE_TIMEOUT.exec(headerValue(headers, 'keep-alive') ?? '');
  if (match === null) return DEFAULT_MAX_IDLE_MS;
  return Math.max(0, Number(match[1]) * MS_PER_SECOND - IDLE_MARGIN_MS);
}
