/**
 * A caller's kept connection to a daemon: requests one after the other or several at once, bodies sent over a time, answers
 * read slowly. It is used until the daemon closes it, whatever the answers announce. Times are in ms of one clock.
 */
import { connect, type Socket } from 'node:net';
import { headerValue } from '../../src/sidecar/header-dialect.js';
import { AnswerParser } from '../../src/sidecar/answer-parser.js';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { pause } from '../pause.js';

const MS_PER_SECOND = 1_000;

/** Parts in which a body that takes time is sent. */
const BODY_PARTS = 10;

/** A request to send. */
export interface KeptRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, without the length of the body. */
  readonly headers: readonly (readonly [string, string])[];
  /** Length of the body in bytes, and time in ms over which it is sent. */
  readonly bodyBytes: number;
  readonly bodyMs: number;
  /** Bytes of the answer read in a second; null for all at once. */
  readonly readRate: number | null;
}

/** How a request was sent. */
export interface KeptSending {
  /** Times at which the first and the last byte were written; they were handed to the kernel no earlier. */
  readonly begunMs: number;
  readonly writtenMs: number;
  /** Whether an answer on the connection had announced its end before. */
  readonly isBehindAnnouncedClose: boolean;
}

/** Head of an answer. */
export interface KeptAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly announcesClose: boolean;
}

/** What a connection reports; each request gets exactly one of `onAnswer` and `onClosed` once it was begun. */
export interface KeptConnectionHandlers {
  /** The last byte was handed to the kernel. */
  onSent(request: KeptRequest, sending: KeptSending): void;
  onHead(request: KeptRequest, answer: KeptAnswer): void;
  onBody(request: KeptRequest, chunk: Buffer): void;
  onAnswer(request: KeptRequest, answer: KeptAnswer): void;
  /** The connection closed; `unanswered` are the requests that were begun and have no complete answer. */
  onClosed(unanswered: readonly KeptRequest[]): void;
}

/** One connection. */
export class KeptConnection {
  private readonly socket: Socket;
  private readonly parser: AnswerParser;
  private readonly pending: KeptRequest[] = [];
  private current: KeptAnswer | null = null;
  /** Bytes of the current answer up to the end of its stated length; null if it states none. */
  private missingBytes: number | null = null;
  private whole = 0;
  private writing: Promise<void> = Promise.resolve();
  private announcedClose = false;
  private closed = false;

  constructor(
    { host, port }: SocketAddress,
    private readonly handlers: KeptConnectionHandlers,
  ) {
    this.parser = new AnswerParser({
      onHeaders: ({ statusCode, headers, keepAlive }) => {
        this.receiveHead({ status: statusCode, headers, announcesClose: !keepAlive });
        return false;
      },
      onBody: (chunk) => {
        const [request] = this.pending;
        if (request !== undefined) this.handlers.onBody(request, chunk);
        if (this.missingBytes !== null) this.receiveOfLength(chunk.length);
      },
      onComplete: () => {
        // An answer of a stated length has ended with its last byte.
        if (this.missingBytes === null) this.receiveEnd();
      },
    });
    this.socket = connect({ host, port, noDelay: true });
    this.socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    this.socket.on('error', () => undefined);
    this.socket.on('end', () => {
      this.parser.end();
      this.close();
    });
    this.socket.on('close', () => {
      this.close();
    });
  }

  /** Whether an answer has announced the end of the connection. */
  get hasAnnouncedClose(): boolean {
    return this.announcedClose;
  }

  /** Number of answers that were received whole: those of a stated length with their last byte, others when they say so. */
  get wholeAnswers(): number {
    return this.whole;
  }

  /** Whether the daemon has not closed the connection. */
  get isOpen(): boolean {
    return !this.closed;
  }

  /** Sends a request behind those before it. */
  send(request: KeptRequest): void {
    this.writing = this.writing.then(async () => {
      await this.write(request);
    });
  }

  /** Closes the connection without reporting it. */
  destroy(): void {
    this.closed = true;
    this.socket.destroy();
  }

  private async write(request: KeptRequest): Promise<void> {
    if (this.closed) return;
    this.pending.push(request);
    const { method, path, headers, bodyBytes, bodyMs } = request;
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
    const length = method === 'GET' ? '' : `content-length: ${bodyBytes}\r\n`;
    const head = `${method} ${path} HTTP/1.1\r\n${lines.join('')}${length}\r\n`;
    const parts = bodyMs > 0 ? BODY_PARTS : 1;
    const isBehindAnnouncedClose = this.announcedClose;
    const begunMs = performance.now();
    let writtenMs = begunMs;
    let isWritten = await this.writeBytes(Buffer.from(head, 'latin1'));
    let sentBytes = 0;
    for (let part = 1; part <= parts && isWritten && bodyBytes > 0; part += 1) {
      await pause(bodyMs / parts);
      writtenMs = performance.now();
      const untilBytes = Math.floor((bodyBytes * part) / parts);
      isWritten = await this.writeBytes(Buffer.alloc(untilBytes - sentBytes, 'b'));
      sentBytes = untilBytes;
    }
    if (isWritten) this.handlers.onSent(request, { begunMs, writtenMs, isBehindAnnouncedClose });
  }

  /** Returns whether the bytes were handed to the kernel. */
  private async writeBytes(bytes: Buffer): Promise<boolean> {
    if (this.closed) return false;
    return await new Promise((resolve) => {
      this.socket.write(bytes, (error) => {
        resolve(error === null || error === undefined);
      });
    });
  }

  private receive(chunk: Buffer): void {
    const readRate = this.pending[0]?.readRate ?? null;
    if (this.parser.push(chunk) !== null) {
      this.socket.destroy();
      return;
    }
    if (readRate === null || this.pending.length === 0) return;
    this.socket.pause();
    setTimeout(() => this.socket.resume(), (chunk.length * MS_PER_SECOND) / readRate);
  }

  private receiveHead(answer: KeptAnswer): void {
    this.current = { ...answer, announcesClose: answer.announcesClose || saysClose(answer.headers) };
    this.announcedClose ||= this.current.announcesClose;
    const [request] = this.pending;
    if (request !== undefined) this.handlers.onHead(request, this.current);
    const stated = headerValue(answer.headers, 'content-length');
    this.missingBytes = stated === null ? null : Number(stated);
    this.receiveOfLength(0);
  }

  private receiveOfLength(bytes: number): void {
    if (this.missingBytes === null) return;
    this.missingBytes -= bytes;
    if (this.missingBytes <= 0) this.receiveEnd();
  }

  private receiveEnd(): void {
    const request = this.pending.shift();
    const answer = this.current;
    this.current = null;
    this.whole += 1;
    if (request !== undefined && answer !== null) this.handlers.onAnswer(request, answer);
  }

  private close(): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.destroy();
    this.handlers.onClosed(this.pending.splice(0));
  }
}

function saysClose(headers: readonly string[]): boolean {
  return headerValue(headers, 'connection')?.toLowerCase() === 'close';
}
