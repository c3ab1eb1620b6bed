/**
 * One connection to a back end. It carries one request at a time, and it is closed as soon as anything comes that
 * belongs to no request: surplus bytes, a second answer, an answer to another request.
 */
import { connect, type Socket } from 'node:net';
import type { SocketAddress } from '../model/socket-address.js';
import { AnswerParser, type ParsedAnswer } from './answer-parser.js';
import { headerValue } from './header-dialect.js';

/** Time in ms for a connection to open. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time in ms after which an idle connection is not used again, where the back end does not say. */
const DEFAULT_IDLE_MS = 4_000;

/** Time in ms before the back end would close an idle connection from which on it is not used again. */
const IDLE_MARGIN_MS = 1_500;

const MS_PER_SECOND = 1_000;
const FIRST_FINAL_STATUS = 200;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d{1,6})/i;

/** A request as it goes to the back end. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly requestId: string;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
}

/** Why a request that was sent has no whole answer. */
export type BrokenReason = 'broken' | 'garbled';

/** What becomes of a request. `onEnd` and `onBroken` are final. */
export interface BackendRequestHandlers {
  onAnswer(answer: ParsedAnswer): void;
  onBody(chunk: Buffer): void;
  onEnd(): void;
  /** `sent` is false when no byte of the request can have left. */
  onBroken(reason: BrokenReason, detail: string, sent: boolean): void;
}

/** How a connection names headers. */
export interface ConnectionHeaders {
  readonly requestId: string;
  readonly notRun: string;
}

/** A connection to one back end. */
export class BackendConnection {
  private readonly socket: Socket;
  private readonly parser: AnswerParser;
  private request: BackendRequest | null = null;
  private handlers: BackendRequestHandlers | null = null;
  private connected = false;
  private dead = false;
  private written = false;
  /** Whether the answer that is arriving belongs to the present request. */
  private answering = false;
  private reusable = true;
  private idleUntilMs = 0;
  private usedMs = Infinity;
  private readonly connectTimer: NodeJS.Timeout;

  constructor(
    address: SocketAddress,
    private readonly names: ConnectionHeaders,
    private readonly nowMs: () => number,
    private readonly onClosed: (connection: BackendConnection, refused: boolean) => void,
  ) {
    this.parser = new AnswerParser({
      onHeaders: (answer) => this.takeHeaders(answer),
      onBody: (chunk) => {
        if (this.answering) this.handlers?.onBody(chunk);
      },
      onComplete: (surplus) => {
        this.takeComplete(surplus);
      },
    });
    this.socket = connect({ host: address.host, port: address.port });
    this.socket.setNoDelay(true);
    this.connectTimer = setTimeout(() => {
      if (!this.connected) this.fail('broken', 'connect timed out', false);
    }, CONNECT_TIMEOUT_MS);
    this.listen();
  }

  /** Whether the next request may use this connection. */
  get usable(): boolean {
    return !this.dead && this.reusable && this.request === null && this.nowMs() < this.idleUntilMs;
  }

  /** Time in ms since it was last used; 0 before that. */
  get restedMs(): number {
    return Math.max(0, this.nowMs() - this.usedMs);
  }

  /** Whether a request is under way. */
  get busy(): boolean {
    return this.request !== null;
  }

  /** Sends a request; a connection that is still opening sends it when it is open. */
  run(request: BackendRequest, handlers: BackendRequestHandlers): void {
    this.request = request;
    this.handlers = handlers;
    this.written = false;
    if (this.connected) this.write();
  }

  /** Closes at once; no handler is called any more. */
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
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('end', () => {
      this.ended();
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
    if (request === null || this.dead) return;
    this.written = true;
    socket.cork();
    socket.write(encodeRequest(request), 'latin1');
    if (request.body.length > 0) socket.write(request.body);
    socket.uncork();
  }

  private receive(chunk: Buffer): void {
    if (this.dead) return;
    if (this.request === null) {
      this.close(false);
      return;
    }
    const problem = this.parser.push(chunk);
    if (problem !== null) this.fail('garbled', problem, false);
  }

  private ended(): void {
    if (this.dead) return;
    if (this.answering) {
      this.reusable = false;
      const problem = this.parser.end();
      if (problem === null && this.request === null) {
        this.close(false);
        return;
      }
    }
    this.fail('broken', 'the answer was cut short', false);
  }

  private takeHeaders(answer: ParsedAnswer): boolean {
    this.answering = false;
    if (this.request === null || answer.statusCode < FIRST_FINAL_STATUS) return false;
    const noBody = this.request.method === 'HEAD';
    if (!this.belongs(answer, this.request)) {
      this.reusable = false;
      return noBody;
    }
    this.answering = true;
    if (!answer.keepAlive) this.reusable = false;
    this.idleUntilMs = this.nowMs() + idleMs(answer.headers);
    this.handlers?.onAnswer(answer);
    return noBody;
  }

  /** A surplus answer to an earlier request may come where the next one is due; its id tells. */
  private belongs(answer: ParsedAnswer, request: BackendRequest): boolean {
    const id = headerValue(answer.headers, this.names.requestId);
    if (id !== null) return id === request.requestId;
    return headerValue(answer.headers, this.names.notRun) !== null;
  }

  private takeComplete(surplus: boolean): void {
    if (!this.answering) {
      if (this.request === null) this.reusable = false;
      return;
    }
    this.answering = false;
    this.usedMs = this.nowMs();
    const bodyIsUnsent = this.socket.writableLength > 0;
    if (surplus || bodyIsUnsent) this.reusable = false;
    const { handlers } = this;
    this.request = null;
    this.handlers = null;
    if (!this.reusable) this.close(false);
    handlers?.onEnd();
  }

  private fail(reason: BrokenReason, detail: string, refused: boolean): void {
    if (this.dead) return;
    const { handlers, written } = this;
    this.request = null;
    this.handlers = null;
    this.close(refused);
    handlers?.onBroken(reason, detail, written);
  }

  private close(refused: boolean): void {
    if (this.dead) return;
    this.dead = true;
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

function idleMs(headers: readonly string[]): number {
  const match = KEEP_ALIVE_TIMEOUT.exec(headerValue(headers, 'keep-alive') ?? '');
  if (match === null) return DEFAULT_IDLE_MS;
  return Math.max(0, Number(match[1]) * MS_PER_SECOND - IDLE_MARGIN_MS);
}
