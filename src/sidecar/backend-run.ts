/**
 * One request at the back end. A short answer is buffered until it is complete, so that a truncated one never reaches
 * the caller; a long one is streamed. An answer that only the end of its connection delimits is complete once that end is
 * confirmed.
 */
import { idOfIncarnation } from '../model/backend-incarnation.js';
import type { AnswerTiming, RequestHead, StatusHead } from '../link/link-messages.js';
import type { RequestReply } from '../link/link-server.js';
import { MIN_BUFFERED_BYTES, type AnswerBuffers } from './answer-buffers.js';
import type { ParsedAnswer } from './answer-parser.js';
import type { AnswerTrace } from './answer-trace.js';
import type { BrokenReason } from './backend-connection.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { RequestPool, InFlightRequest } from './backend-pool.js';
import { readSignals, type BackendSignals } from './backend-signals.js';
import type { Confirmation } from './end-confirmation.js';
import { endToEndHeaders, headerValue, type HeaderDialect } from './header-dialect.js';

/** Maximum size in bytes of an answer that is buffered until it is complete. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Status with which a back end rejects a request that is meant for another instance, or whose key it does not hold. */
export const MISDIRECTED_STATUS = 421;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

/** Minimum and maximum retry delay in ms after the back end declined a request; between them it may name its own. */
const DECLINED_RETRY_AFTER_MS = 100;
const MAX_DECLINED_RETRY_AFTER_MS = 10_000;

/** Standard header with the time in s after which to retry, here also with decimals; dates are not read. */
const RETRY_AFTER_HEADER = 'retry-after';
const SECONDS = /^\d+(?:\.\d+)?$/;
const MS_PER_SECOND = 1_000;

/** The back end sent a complete answer, whether a success or an error of its own. */
export interface AnsweredRun {
  readonly kind: 'answered';
  readonly statusCode: number;
  readonly bytes: number;
  /** Reported processing time as a factor of the usual one; null if not reported, NaN if not readable. */
  readonly pace: number | null;
  /** What was seen of the answer. */
  readonly trace?: AnswerTrace;
}

/** Outcome of a run. */
export type RunOutcome =
  | AnsweredRun
  | { readonly kind: 'declined'; readonly statusCode: number }
  | {
      readonly kind: 'broken';
      readonly reason: BrokenReason;
      readonly detail: string;
      readonly sent: boolean;
      /** What was seen of the answer. */
      readonly trace?: AnswerTrace;
    }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'cancelled' };

/** Dependencies of a run. */
export interface RunPorts {
  readonly status: () => StatusHead | null;
  readonly timing: () => AnswerTiming;
  readonly reply: RequestReply;
  /** Answers that this daemon stores. */
  readonly buffers: AnswerBuffers;
  /** Called when the head of an answer of the back end itself has arrived. */
  readonly onSignals: (signals: BackendSignals) => void;
  /** Confirms that the end of a connection, which alone delimits an answer, is not the end of the back end's process. */
  readonly confirmEnd: (done: (confirmation: Confirmation) => void) => CancelTimer;
  /** Called once, unless the run is cancelled. */
  readonly onDone: (outcome: RunOutcome) => void;
}

/** A request in flight at the back end. */
export class BackendRun {
  private request: InFlightRequest | null = null;
  private answer: ParsedAnswer | null = null;
  private statesLeave = false;
  private chunks: Buffer[] = [];
  private bytes = 0;
  /** Length that the head of the answer states for its body, in bytes; null if it states none. */
  private statedBytes: number | null = null;
  /** The part of a streamed answer that completes its stated length, which is passed on once the answer is known to be whole. */
  private lastPart: Buffer | null = null;
  /** Bytes that are stored here, or wait in the reply. */
  private storedBytes = 0;
  private paused = false;
  private streaming = false;
  private done = false;
  private cancelTimer: CancelTimer | null = null;
  private cancelConfirmation: CancelTimer | null = null;
  private trace: { readonly trace?: AnswerTrace } = {};

  constructor(
    private readonly pool: RequestPool,
    private readonly after: Runtime['after'],
    private readonly dialect: HeaderDialect,
    private readonly head: RequestHead,
    private readonly body: Buffer,
    private readonly leftMs: number,
    private readonly ports: RunPorts,
  ) {}

  /** Sends the request. */
  start(): void {
    this.cancelTimer = this.after(this.leftMs, () => {
      this.handleDeadline();
    });
    const { method, path, requestId } = this.head;
    const { repeatable } = this.head;
    const request = { method, path, headers: this.headers(), body: this.body, requestId, repeatable };
    this.request = this.pool.run(request, {
      onAnswer: (answer) => {
        this.receiveHead(answer);
      },
      onBody: (chunk) => {
        this.receiveBody(chunk);
      },
      onTrace: (trace) => {
        this.trace = { trace };
      },
      onEnd: () => {
        this.handleEnd();
      },
      onBroken: (reason, detail, sent) => {
        this.broken(reason, detail, sent);
      },
    });
  }

  /** Cancels the run. */
  cancel(): void {
    if (this.done) return;
    this.finish();
    this.request?.cancel();
  }

  private headers(): string[] {
    const { dialect, head, body } = this;
    const replaced = new Set([dialect.deadlineMs, dialect.expectedInstance, 'content-length', 'expect']);
    const headers = endToEndHeaders(head.headers, replaced);
    headers.push(dialect.deadlineMs, String(Math.max(1, Math.floor(this.leftMs))));
    headers.push(dialect.expectedInstance, idOfIncarnation(head.instance));
    const hadLength = headerValue(head.headers, 'content-length') !== null;
    const hadChunks = headerValue(head.headers, 'transfer-encoding') !== null;
    if (body.length > 0 || hadLength || hadChunks) headers.push('content-length', String(body.length));
    headers.push('connection', 'keep-alive');
    return headers;
  }

  /** A misdirected request may have reached another incarnation, whose statements say nothing about this one. */
  private receiveHead(answer: ParsedAnswer): void {
    this.answer = answer;
    const length = headerValue(answer.headers, 'content-length');
    this.statedBytes = length === null ? null : Number(length);
    if (answer.statusCode === MISDIRECTED_STATUS || this.defect(answer) !== null) return;
    const signals = readSignals(answer.headers, this.dialect);
    this.statesLeave = signals.leaving;
    this.ports.onSignals(signals);
  }

  private receiveBody(chunk: Buffer): void {
    if (this.done) return;
    this.bytes += chunk.length;
    if (this.streaming) {
      const part = Buffer.from(chunk);
      if (this.bytes === this.statedBytes) this.lastPart = part;
      else this.passOn(part);
      return;
    }
    this.chunks.push(Buffer.from(chunk));
    this.store(chunk.length);
    const maxBytes = this.ports.buffers.isFull ? MIN_BUFFERED_BYTES : MAX_BUFFERED_BYTES;
    if (this.bytes <= maxBytes || this.bytes === this.statedBytes) return;
    if (this.isForwardable()) {
      this.startStreaming();
      return;
    }
    // The rest may be endless. A head that declines the request promises nothing without the end of its answer.
    this.request?.cancel();
    this.broken('garbled', 'too long for an answer that is not passed on', true);
  }

  private startStreaming(): void {
    this.streaming = true;
    this.sendAnswer(Buffer.concat(this.chunks), true);
    this.chunks = [];
    this.pauseUntilDrained();
  }

  private passOn(part: Buffer): void {
    this.store(part.length);
    this.ports.reply.body(part);
    this.pauseUntilDrained();
  }

  private store(bytes: number): void {
    this.storedBytes += bytes;
    this.ports.buffers.add(bytes);
  }

  private releaseStored(): void {
    this.ports.buffers.remove(this.storedBytes);
    this.storedBytes = 0;
  }

  /** Stops reading from the back end until the caller's daemon has room for what was read. */
  private pauseUntilDrained(): void {
    if (this.paused) return;
    this.paused = true;
    this.request?.setPaused(true);
    this.ports.reply.onDrain(() => {
      this.paused = false;
      this.releaseStored();
      this.request?.setPaused(false);
    });
  }

  private isForwardable(): boolean {
    return this.answer !== null && !this.isDeclined(this.answer) && this.defect(this.answer) === null;
  }

  /** What the head of an answer declines is declined, whatever its body; other answers need a certain end. */
  private handleEnd(): void {
    const { answer, ports } = this;
    if (this.done || answer === null) return;
    if (answer.framed || this.isDeclined(answer)) {
      this.complete(answer);
      return;
    }
    this.cancelConfirmation = ports.confirmEnd((confirmation) => {
      if (this.done) return;
      if (confirmation === 'confirmed') this.complete(answer);
      else this.broken('broken', UNCONFIRMED_DETAILS[confirmation], true);
    });
  }

  private complete(answer: ParsedAnswer): void {
    const { ports } = this;
    this.finish();
    if (this.streaming) {
      if (this.lastPart !== null) this.passOn(this.lastPart);
      ports.reply.end();
      ports.onDone(this.answeredOutcome(answer));
      return;
    }
    if (this.isDeclined(answer)) {
      this.declined(answer);
      return;
    }
    const defect = this.defect(answer);
    if (defect !== null) {
      this.fail('garbled', defect, true);
      return;
    }
    ports.onDone(this.answeredOutcome(answer));
    this.store(this.bytes);
    this.sendAnswer(Buffer.concat(this.chunks), false);
    this.chunks = [];
    ports.reply.onDrain(() => {
      this.releaseStored();
    });
  }

  private answeredOutcome({ statusCode, headers }: ParsedAnswer): RunOutcome {
    const paceHeader = headerValue(headers, this.dialect.pace);
    const pace = paceHeader === null ? null : this.dialect.readPace(paceHeader);
    return { kind: 'answered', statusCode, bytes: this.bytes, pace, ...this.trace };
  }

  private isDeclined({ statusCode, headers }: ParsedAnswer): boolean {
    return statusCode === MISDIRECTED_STATUS || headerValue(headers, this.dialect.notRun) !== null;
  }

  /** Returns what shows that the answer did not come from the back end itself; null if nothing does. */
  private defect({ statusCode, headers }: ParsedAnswer): string | null {
    const isSuccess = statusCode >= FIRST_SUCCESS_STATUS && statusCode < FIRST_REDIRECT_STATUS;
    if (isSuccess && headerValue(headers, this.dialect.seal) === null) return 'a success without a seal';
    if (headerValue(headers, 'content-encoding') !== null) return 'an encoded body';
    return null;
  }

  private declined({ statusCode, headers }: ParsedAnswer): void {
    const { ports } = this;
    ports.onDone({ kind: 'declined', statusCode });
    const reason = statusCode === MISDIRECTED_STATUS ? 'not-owner' : 'declined';
    const status = ports.status();
    ports.reply.refuse({ reason, arrived: true, retryAfterMs: declinedRetryAfterMs(headers), status });
  }

  private broken(reason: BrokenReason, detail: string, sent: boolean): void {
    if (this.done) return;
    this.finish();
    this.fail(reason, detail, sent);
  }

  private fail(reason: BrokenReason, detail: string, sent: boolean): void {
    const { ports } = this;
    ports.onDone({ kind: 'broken', reason, detail, sent, ...this.trace });
    const status = ports.status();
    if (sent) ports.reply.fail({ reason, detail, status });
    else
      ports.reply.refuse({
        reason: 'unreachable',
        arrived: false,
        retryAfterMs: DECLINED_RETRY_AFTER_MS,
        status,
      });
  }

  /**
   * Ends work whose answer has not begun. How long one that has begun goes on depends on what waits behind it, which the caller's
   * daemon knows: it cancels the run.
   */
  private handleDeadline(): void {
    if (this.done || this.streaming) return;
    this.finish();
    this.request?.cancel();
    const { ports } = this;
    ports.onDone({ kind: 'deadline' });
    ports.reply.fail({ reason: 'deadline', detail: 'the time was up', status: ports.status() });
  }

  private sendAnswer(body: Buffer, moreFollows: boolean): void {
    const { answer } = this;
    if (answer === null) return;
    const { statusCode, headers } = answer;
    const status = this.ports.status();
    const timing = this.ports.timing();
    const usesStatedLength = moreFollows || this.head.method === 'HEAD';
    const contentLength =
      usesStatedLength && this.statedBytes !== null ? this.statedBytes : moreFollows ? null : body.length;
    const forwardedHeaders = endToEndHeaders(headers, REPLACED_HEADERS);
    const head = {
      statusCode,
      headers: forwardedHeaders,
      moreFollows,
      contentLength,
      framed: answer.framed,
      ...(answer.framed ? {} : { endConfirmed: true as const }),
      ...(moreFollows && contentLength !== null ? { endsWithLength: true as const } : {}),
      timing,
      status,
      ...(this.statesLeave ? { leaving: true as const } : {}),
    };
    this.ports.reply.answer(head, body);
  }

  private finish(): void {
    this.done = true;
    this.cancelTimer?.();
    this.cancelConfirmation?.();
    if (!this.streaming) this.releaseStored();
  }
}

/** Details of an answer whose end is not confirmed. */
const UNCONFIRMED_DETAILS: Readonly<Record<Exclude<Confirmation, 'confirmed'>, string>> = {
  ended: 'the back end ended with the connection that delimits its answer',
  timeout: 'nothing confirmed the end of the connection that delimits the answer',
};

/** Headers of the back end's answer that are replaced in the answer to the caller. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set(['content-length']);

function declinedRetryAfterMs(headers: readonly string[]): number {
  const text = headerValue(headers, RETRY_AFTER_HEADER)?.trim() ?? '';
  const namedMs = SECONDS.test(text) ? Number(text) * MS_PER_SECOND : 0;
  return Math.min(MAX_DECLINED_RETRY_AFTER_MS, Math.max(DECLINED_RETRY_AFTER_MS, namedMs));
}
