/**
 * One request at the back end. A short answer is kept until it is whole, so that a cut one never reaches the caller;
 * a long one is passed on as it comes.
 */
import { idOfLife } from '../model/backend-life.js';
import type { AnswerTiming, RequestHead, StatusHead } from '../link/link-messages.js';
import type { RequestReply } from '../link/link-server.js';
import type { ParsedAnswer } from './answer-parser.js';
import type { BrokenReason } from './backend-connection.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { RequestPool, RunningRequest } from './backend-pool.js';
import { endToEndHeaders, headerValue, type HeaderDialect } from './header-dialect.js';

/** Longest answer that is kept until it is whole, in bytes. */
const MAX_KEPT_BYTES = 1024 * 1024;

/** Status by which a back end says that it is not the one meant, or does not hold the key. */
export const MISDIRECTED_STATUS = 421;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

/** When to come back after the back end declined a request, in ms. */
const DECLINED_RETRY_AFTER_MS = 100;

/** The back end answered, with a success or with a failure of its own. */
export interface AnsweredRun {
  readonly kind: 'answered';
  readonly statusCode: number;
  readonly bytes: number;
  /** How long work takes there, as a factor; null when the answer does not tell, NaN when it cannot be read. */
  readonly pace: number | null;
}

/** How a run ended. */
export type RunOutcome =
  | AnsweredRun
  | { readonly kind: 'declined'; readonly statusCode: number }
  | {
      readonly kind: 'broken';
      readonly reason: BrokenReason;
      readonly detail: string;
      readonly sent: boolean;
    }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'cancelled' };

/** What a run needs of its gateway. */
export interface RunPorts {
  readonly status: () => StatusHead | null;
  readonly timing: () => AnswerTiming;
  readonly reply: RequestReply;
  /** Called once, unless the run was cancelled. */
  readonly onDone: (outcome: RunOutcome) => void;
}

/** A request that was sent to the back end. */
export class BackendRun {
  private request: RunningRequest | null = null;
  private answer: ParsedAnswer | null = null;
  private chunks: Buffer[] = [];
  private bytes = 0;
  private streaming = false;
  private done = false;
  private cancelTimer: CancelTimer | null = null;

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
      this.deadlinePassed();
    });
    const { method, path, requestId } = this.head;
    const { repeatable } = this.head;
    const request = { method, path, headers: this.headers(), body: this.body, requestId, repeatable };
    this.request = this.pool.run(request, {
      onAnswer: (answer) => {
        this.answer = answer;
      },
      onBody: (chunk) => {
        this.takeBody(chunk);
      },
      onEnd: () => {
        this.ended();
      },
      onBroken: (reason, detail, sent) => {
        this.broken(reason, detail, sent);
      },
    });
  }

  /** Breaks the run off. */
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
    headers.push(dialect.expectedInstance, idOfLife(head.instance));
    const hadLength = headerValue(head.headers, 'content-length') !== null;
    const hadChunks = headerValue(head.headers, 'transfer-encoding') !== null;
    if (body.length > 0 || hadLength || hadChunks) headers.push('content-length', String(body.length));
    headers.push('connection', 'keep-alive');
    return headers;
  }

  private takeBody(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.streaming) {
      this.ports.reply.body(Buffer.from(chunk));
      return;
    }
    this.chunks.push(Buffer.from(chunk));
    if (this.bytes > MAX_KEPT_BYTES && this.isPassedOn()) this.startStreaming();
  }

  private startStreaming(): void {
    this.streaming = true;
    this.sendAnswer(Buffer.concat(this.chunks), true);
    this.chunks = [];
  }

  private isPassedOn(): boolean {
    return this.answer !== null && !this.isDeclined(this.answer) && this.defect(this.answer) === null;
  }

  private ended(): void {
    const { answer, ports } = this;
    if (this.done || answer === null) return;
    this.finish();
    if (this.streaming) {
      ports.reply.end();
      ports.onDone(this.answeredOutcome(answer));
      return;
    }
    if (this.isDeclined(answer)) {
      this.declined(answer.statusCode);
      return;
    }
    const defect = this.defect(answer);
    if (defect !== null) {
      this.fail('garbled', defect, true);
      return;
    }
    ports.onDone(this.answeredOutcome(answer));
    this.sendAnswer(Buffer.concat(this.chunks), false);
  }

  private answeredOutcome({ statusCode, headers }: ParsedAnswer): RunOutcome {
    const told = headerValue(headers, this.dialect.pace);
    const pace = told === null ? null : this.dialect.readPace(told);
    return { kind: 'answered', statusCode, bytes: this.bytes, pace };
  }

  private isDeclined({ statusCode, headers }: ParsedAnswer): boolean {
    return statusCode === MISDIRECTED_STATUS || headerValue(headers, this.dialect.notRun) !== null;
  }

  /** What shows that an answer is not the back end's own; null when nothing does. */
  private defect({ statusCode, headers }: ParsedAnswer): string | null {
    const isSuccess = statusCode >= FIRST_SUCCESS_STATUS && statusCode < FIRST_REDIRECT_STATUS;
    if (isSuccess && headerValue(headers, this.dialect.seal) === null) return 'a success without a seal';
    if (headerValue(headers, 'content-encoding') !== null) return 'an encoded body';
    return null;
  }

  private declined(statusCode: number): void {
    const { ports } = this;
    ports.onDone({ kind: 'declined', statusCode });
    const reason = statusCode === MISDIRECTED_STATUS ? 'not-owner' : 'declined';
    const status = ports.status();
    ports.reply.refuse({ reason, arrived: true, retryAfterMs: DECLINED_RETRY_AFTER_MS, status });
  }

  private broken(reason: BrokenReason, detail: string, sent: boolean): void {
    if (this.done) return;
    this.finish();
    this.fail(reason, detail, sent);
  }

  private fail(reason: BrokenReason, detail: string, sent: boolean): void {
    const { ports } = this;
    ports.onDone({ kind: 'broken', reason, detail, sent });
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

  private deadlinePassed(): void {
    if (this.done) return;
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
    const said = headerValue(headers, 'content-length');
    const saysMore = moreFollows || this.head.method === 'HEAD';
    const contentLength = saysMore && said !== null ? Number(said) : moreFollows ? null : body.length;
    const { framed } = answer;
    const passed = endToEndHeaders(headers, NO_LENGTH);
    const head = { statusCode, headers: passed, moreFollows, contentLength, framed, timing, status };
    this.ports.reply.answer(head, body);
  }

  private finish(): void {
    this.done = true;
    this.cancelTimer?.();
  }
}

/** The length is given anew towards the caller. */
const NO_LENGTH: ReadonlySet<string> = new Set(['content-length']);
