/**
 * Writes the answer to one request, delimited by a length or by chunks: the end of the connection alone would look the same
 * if this daemon were killed. Body lengths are checked here, since how Node compares them with a stated length differs
 * between its versions.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerHead } from '../link/link-messages.js';
import type { CallerSink, UnansweredOutcome } from './caller-request.js';
import { LOCAL_STATUS, localAnswer, localAnswerFor, type LocalAnswer } from './local-answer.js';

const MS_PER_SECOND = 1_000;

/** Statuses whose answers have no body, whatever length they state. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Maximum size in bytes of an answer that announces the end of its connection. The system takes it at once, so that the
 * connection ends before further requests are read.
 */
const MAX_CLOSING_BYTES = 8 * 1024;

/** Why a caller has not received an answer as the back end gave it. */
export type AnswerFault =
  /** The body is longer or shorter than the length that the answer states. */
  | 'length-mismatch'
  /** Node refuses to write the head or the body. */
  | 'unwritable'
  /** The rest of the answer did not come. */
  | 'incomplete'
  /** The connection closed before all bytes were passed on. */
  | 'connection-closed';

/** What a caller has of the body of an answer, in bytes. */
export interface DeliveredBytes {
  /** Bytes that were passed on. */
  readonly passedBytes: number;
  /** Length that the answer states; null if it states none. */
  readonly statedBytes: number | null;
}

/** A part of an answer that waits for the answers in front of it. */
type WaitingPart = () => void;

/** Dependencies of an answer. */
export interface CallerAnswerPorts {
  /** Whether the connection is to be closed once it owes no answer. */
  readonly closing: () => boolean;
  /** Whether this is the only answer that the connection owes, and can be written at once. */
  readonly isOnly: () => boolean;
  /** Calls back once what the caller has sent by now has been read. */
  readonly afterInput: (callback: () => void) => void;
  /** Called if the answer tells its caller that the connection closes. */
  readonly onClosing: () => void;
  /** Called when nothing more of an answer that has begun is to be written. */
  readonly onWritten: () => void;
  /** Called once if the caller does not receive the answer as the back end gave it. */
  readonly onFault: (fault: AnswerFault, delivered: DeliveredBytes) => void;
  /** Resets the connection. */
  readonly breakOff: () => void;
  /** Calls back once when the rest of the answer is of use to nobody; returns a function that cancels it. */
  readonly whenExpendable: (callback: () => void) => () => void;
}

/** The answer to one request of a caller. */
export class CallerAnswer implements CallerSink {
  /** Length that the answer states for its body, in bytes; null if it states none. */
  private statedBytes: number | null = null;
  private passed = 0;
  private begun = false;
  private ended = false;
  private faulty = false;
  /** Parts of an answer that has begun behind others; null if it is written as it comes. */
  private waitingParts: WaitingPart[] | null = null;
  private cancelOverdue: () => void = () => undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly ports: CallerAnswerPorts,
  ) {}

  /** Whether a part of the answer was passed on, and more of it is to come. */
  get isUnderWay(): boolean {
    return this.begun && !this.ended && !this.isPassedOn;
  }

  /** Whether the caller has the answer by its stated length, although what ends it here may still be to come. */
  private get isPassedOn(): boolean {
    return this.passed === this.statedBytes;
  }

  /** Bytes of the body that were passed on. */
  get passedBytes(): number {
    return this.passed;
  }

  /** Whether the caller does not receive the answer as the back end gave it. */
  get isFaulty(): boolean {
    return this.faulty;
  }

  /** See `CallerSink`. */
  answer(head: AnswerHead, body: Buffer, onTaken?: () => void): void {
    if (head.moreFollows) {
      this.inTurn(() => {
        this.begin(head, body, onTaken);
      });
      return;
    }
    this.beforeClose(() => {
      this.begin(head, body, onTaken);
    });
  }

  /**
   * Writes a part of an answer of which more follows. While other answers are in front, the parts wait here: if the rest does not
   * come, another answer can still be given in its place.
   */
  private inTurn(write: WaitingPart): void {
    if (this.waitingParts !== null) {
      this.waitingParts.push(write);
      return;
    }
    if (this.begun || this.response.socket !== null || this.response.destroyed) {
      write();
      return;
    }
    this.waitingParts = [write];
    this.response.once('socket', () => {
      const parts = this.waitingParts ?? [];
      this.waitingParts = null;
      for (const part of parts) part();
    });
  }

  /** Writes an answer that may announce the end of the connection, which a request that has arrived must not be behind. */
  private beforeClose(write: () => void): void {
    if (this.ports.closing()) this.ports.afterInput(write);
    else write();
  }

  private begin(head: AnswerHead, body: Buffer, onTaken?: () => void): void {
    if (!this.canBeWhole(head, body) || !this.writeHead(head, body.length)) {
      onTaken?.();
      return;
    }
    this.begun = true;
    if (head.moreFollows) this.writePart(body, onTaken);
    else this.finish(body, onTaken);
  }

  /** See `CallerSink`. */
  body(chunk: Buffer, onTaken?: () => void): void {
    this.inTurn(() => {
      this.writePart(chunk, onTaken);
    });
  }

  private writePart(chunk: Buffer, onTaken?: () => void): void {
    if (this.response.writableEnded || !this.count(chunk)) {
      onTaken?.();
      return;
    }
    this.write(() => {
      this.response.write(chunk, () => onTaken?.());
    });
    if (this.isPassedOn) this.ports.onWritten();
  }

  /** See `CallerSink`. */
  end(): void {
    this.inTurn(() => {
      this.finish(Buffer.alloc(0));
    });
  }

  /** See `CallerSink`. */
  overdue(onExpendable: () => void): void {
    this.cancelOverdue = this.ports.whenExpendable(onExpendable);
  }

  /** See `CallerSink`. */
  abort(): void {
    if (this.waitingParts === null) {
      this.breakOff('incomplete');
      return;
    }
    this.waitingParts = [];
    this.refuse('incomplete', 'the answer broke off');
  }

  /** See `CallerSink`. */
  fail(outcome: UnansweredOutcome): void {
    this.beforeClose(() => {
      this.reply(localAnswerFor(outcome));
    });
  }

  /** Records that the connection has closed. */
  connectionClosed(): void {
    this.cancelOverdue();
    if (this.begun && !this.response.writableFinished) this.report('connection-closed');
  }

  /** Returns false, and answers itself, if a body that is complete does not fit its length. */
  private canBeWhole(head: AnswerHead, body: Buffer): boolean {
    const { moreFollows, contentLength } = head;
    if (moreFollows || contentLength === null || !hasBody(this.response, head)) return true;
    if (body.length === contentLength) return true;
    this.refuse('length-mismatch', 'the answer does not fit its length');
    return false;
  }

  /** Returns false, and answers itself, if the head cannot be sent on; a daemon of another version may not have checked it. */
  private writeHead(head: AnswerHead, bodyBytes: number): boolean {
    const { response } = this;
    if (!head.moreFollows) this.announceClose(bodyBytes);
    response.sendDate = false;
    const headers = [...head.headers];
    if (head.contentLength === null && head.moreFollows && !response.useChunkedEncodingByDefault) {
      this.refuse('unwritable', 'an answer without a length cannot be delimited for a caller of HTTP/1.0');
      return false;
    }
    if (head.contentLength !== null) {
      headers.push('content-length', String(head.contentLength));
      if (hasBody(response, head)) this.statedBytes = head.contentLength;
    }
    try {
      response.writeHead(head.statusCode, headers);
      return true;
    } catch {
      // Node rejects what it cannot write: invalid bytes, an unknown status, a trailer without chunks.
      this.refuse('unwritable', 'the answer is not readable');
      return false;
    }
  }

  /**
   * Tells the caller that the connection closes, if nothing can follow this answer. A longer answer does not tell it: what the
   * caller sends meanwhile could not be answered any more.
   */
  private announceClose(bodyBytes: number): void {
    const { ports, response } = this;
    if (!ports.closing() || bodyBytes > MAX_CLOSING_BYTES || !ports.isOnly()) return;
    response.shouldKeepAlive = false;
    ports.onClosing();
  }

  /** Sends an answer that the sidecar generates, unless another one has been begun. */
  reply(answer: LocalAnswer): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.announceClose(answer.reason.length);
    sendLocalAnswer(this.response, answer);
  }

  private refuse(fault: AnswerFault, reason: string): void {
    this.report(fault);
    this.reply(localAnswer(LOCAL_STATUS.unknownOutcome, reason));
  }

  private finish(chunk: Buffer, onTaken?: () => void): void {
    if (this.response.writableEnded || !this.count(chunk)) return;
    if (this.statedBytes !== null && this.passed < this.statedBytes) {
      this.breakOff('length-mismatch');
      return;
    }
    this.write(() => {
      this.response.end(chunk, onTaken);
    });
    this.ended = true;
    this.cancelOverdue();
    this.ports.onWritten();
  }

  /** Counts a part of the body; returns false, and resets the connection, if it goes beyond the stated length. */
  private count(chunk: Buffer): boolean {
    this.passed += chunk.length;
    if (this.statedBytes === null || this.passed <= this.statedBytes) return true;
    this.breakOff('length-mismatch');
    return false;
  }

  private write(write: () => void): void {
    try {
      write();
    } catch {
      this.breakOff('unwritable');
    }
  }

  private breakOff(fault: AnswerFault): void {
    this.report(fault);
    this.cancelOverdue();
    if (this.response.socket === null) this.response.destroy();
    else this.ports.breakOff();
  }

  private report(fault: AnswerFault): void {
    if (this.faulty) return;
    this.faulty = true;
    this.ports.onFault(fault, { passedBytes: this.passed, statedBytes: this.statedBytes });
  }
}

function sendLocalAnswer(response: ServerResponse, answer: LocalAnswer): void {
  const headers = ['content-type', 'text/plain'];
  if (answer.retryAfterMs !== null) {
    headers.push('retry-after', String(answer.retryAfterMs / MS_PER_SECOND));
  }
  const body = `${answer.reason}\n`;
  headers.push('content-length', String(Buffer.byteLength(body)));
  response.writeHead(answer.statusCode, headers);
  response.end(body);
}

function hasBody(response: ServerResponse, head: AnswerHead): boolean {
  return response.req.method !== 'HEAD' && !BODYLESS_STATUSES.has(head.statusCode);
}
