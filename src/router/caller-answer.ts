/** The answer to one request of a caller: what of it was passed on, and whether its turn on the connection has come. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import type { AnswerWindow } from '../sidecar/answer-windows.js';

/** Statuses whose answers have no body, whatever length they state. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * Maximum size in bytes of an answer that announces the end of its connection. The system takes it at once, so that the connection
 * ends before further requests are read.
 */
const MAX_CLOSING_BYTES = 8 * 1024;

/** Dependencies of an answer. */
export interface CallerAnswerPorts {
  /** Returns room to store an answer, which is to be closed; it may have fewer bytes than are wished for. */
  readonly openWindow: (wishedBytes: number) => AnswerWindow;
  /** Whether connections are to end once they owe no answer. */
  readonly isStopping: () => boolean;
  /** Calls back once what the caller has sent by now has been read. */
  readonly afterInput: (callback: () => void) => void;
  /** Whether this is the only answer that the connection owes, and can be written at once. */
  readonly isOnly: (answer: CallerAnswer) => boolean;
  /** Takes no further request: the answer says that the connection ends. */
  readonly endAfterLast: () => void;
  /** Ends the connection in an answer whose rest does not come. */
  readonly breakOff: (answer: CallerAnswer, cause: string) => void;
}

/** The answer to one request. */
export class CallerAnswer {
  /** Bytes of the body that were passed on. */
  passedBytes = 0;
  /** Length that the answer states for its body, in bytes; null if it states none, or has not begun. */
  statedBytes: number | null = null;
  private window: AnswerWindow | null = null;
  private isFirst = false;
  private closed = false;
  private readonly turnCallbacks: ((isOpen: boolean) => void)[] = [];
  private readonly closeCallbacks = new Set<() => void>();

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    private readonly ports: CallerAnswerPorts,
  ) {}

  /** Whether the answer has been passed on completely, or its connection has closed. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Whether all bytes of the stated length were passed on, so that nothing can be missing; false without a length. */
  get isWhole(): boolean {
    return this.passedBytes === this.statedBytes;
  }

  /** Whether a truncated answer is recognized as such at an ordinary end of its connection. */
  get isDelimited(): boolean {
    return this.statedBytes !== null || this.response.chunkedEncoding;
  }

  /** Waits until all answers in front have been passed on; false if the connection has closed. */
  async turn(): Promise<boolean> {
    if (this.isFirst || this.closed) return !this.closed;
    return await new Promise((resolve) => this.turnCallbacks.push(resolve));
  }

  /** Calls back when the connection closes before the answer has ended; returns a function that cancels it. */
  whenClosed(callback: () => void): () => void {
    this.closeCallbacks.add(callback);
    return () => {
      this.closeCallbacks.delete(callback);
    };
  }

  /** Returns the length that the head of an answer states for its body, in bytes; null if it states none, or has no body. */
  statedLength(statusCode: number, headers: IncomingHttpHeaders): number | null {
    const length = headers['content-length'];
    const hasBody = this.request.method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(statusCode);
    return length !== undefined && hasBody ? Number(length) : null;
  }

  /** Reserves room to store an answer of a length until it is whole; false if there is none. */
  reserve(bytes: number): boolean {
    this.window?.close();
    this.window = this.ports.openWindow(bytes);
    if (this.window.bytes >= bytes) return true;
    this.window.close();
    return false;
  }

  /** Writes the head. */
  begin(statusCode: number, headers: IncomingHttpHeaders): void {
    this.statedBytes = this.statedLength(statusCode, headers);
    this.response.writeHead(statusCode, headers);
  }

  /** Writes a part of the body; false if the caller's connection has not taken it yet, which `onDrain` reports. */
  write(part: Buffer, onDrain: () => void): boolean {
    this.passedBytes += part.length;
    if (this.response.write(part)) return true;
    this.response.once('drain', onDrain);
    return false;
  }

  /** Ends the answer, of which all parts were written. */
  end(): void {
    this.response.end();
  }

  /** Writes a whole answer. While the router stops, it may announce the end of the connection. */
  give(statusCode: number, headers: IncomingHttpHeaders, body: Buffer): void {
    const { afterInput, isStopping } = this.ports;
    if (!isStopping()) {
      this.writeWhole(statusCode, headers, body);
      return;
    }
    // A request that has arrived must not be behind the last answer.
    afterInput(() => {
      this.announceEnd(body.length);
      this.writeWhole(statusCode, headers, body);
    });
  }

  private announceEnd(bodyBytes: number): void {
    if (bodyBytes > MAX_CLOSING_BYTES || !this.ports.isOnly(this)) return;
    this.response.shouldKeepAlive = false;
    this.ports.endAfterLast();
  }

  private writeWhole(statusCode: number, headers: IncomingHttpHeaders, body: Buffer): void {
    if (this.response.destroyed) return;
    this.begin(statusCode, headers);
    this.passedBytes += body.length;
    this.response.end(body);
  }

  /** Ends the connection in the answer, whose rest does not come. */
  breakOff(cause: string): void {
    this.ports.breakOff(this, cause);
  }

  /** Records that all answers in front have been passed on. */
  recordTurn(): void {
    this.isFirst = true;
    for (const callback of this.turnCallbacks.splice(0)) callback(true);
  }

  /** Records that the answer has been passed on completely, or that its connection has closed. */
  recordClosed(): void {
    this.closed = true;
    this.window?.close();
    for (const callback of this.turnCallbacks.splice(0)) callback(false);
    for (const callback of this.closeCallbacks) callback();
    this.closeCallbacks.clear();
  }
}
