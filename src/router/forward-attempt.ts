/**
 * One attempt: sends a request to a back end, and passes the answer on once it is whole, while there is room to store it; a longer
 * one, or one that states no length, is streamed with backpressure. If an answer that has begun at the caller is truncated, the
 * caller's connection ends in it, so that it is never mistaken for a complete one.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { Dispatcher, Pool } from 'undici';
import { REFUSAL_HEADER, refusalCodeSchema } from '../backend-contract/grant-messages.js';
import { readSignals, type BackendSignals } from '../sidecar/backend-signals.js';
import { isDelimited, UNDELIMITED_ANSWER } from '../transport/answer-framing.js';
import { CONNECTION_HEADERS, DEFAULT_HEADER_DIALECT } from '../sidecar/header-dialect.js';
import type { AttemptFailure } from './attempt-policy.js';
import type { CallerAnswer } from './caller-answer.js';
import { RETRY_AFTER_MS_HEADER } from './refusal.js';
import { StoredAnswer } from './stored-answer.js';

/** Request as sent to the back end. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | Readable | null;
  /** Time in ms within which the answer must start at the caller. */
  readonly budgetMs: number;
  /** Time in ms for which the caller may take nothing of an answer that has begun. */
  readonly stallMs: number;
  /** Called with what the answer states as soon as its head has arrived. */
  readonly onSignals: (signals: BackendSignals) => void;
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly statusCode: number }
  /** The answer was truncated after it had started; the caller's connection was aborted as well. */
  | { readonly kind: 'cut' }
  /** The caller disconnected; the connection to the back end was closed so that it can stop working. */
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'failed'; readonly failure: AttemptFailure };

/** Lowest status code of a final response; lower ones are informational (1xx). */
const MIN_FINAL_STATUS = 200;

/** Cause of the end of an answer whose caller takes nothing of it. */
const STALLED = 'the caller takes nothing of the answer';

/** Makes one attempt; the returned promise never rejects. */
export async function forwardAttempt(
  pool: Pool,
  request: AttemptRequest,
  answer: CallerAnswer,
): Promise<AttemptResult> {
  if (answer.isClosed) return { kind: 'caller-gone' };
  return await new Promise((resolve) => {
    const handler = new AttemptHandler(answer, request, resolve);
    const { method, path, headers, body } = request;
    pool.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body }, handler);
  });
}

class AttemptHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | null = null;
  private sent = false;
  private streaming = false;
  private stored: StoredAnswer | null = null;
  private statusCode = 0;
  private settled = false;
  private readonly timer: NodeJS.Timeout;
  private stallTimer: NodeJS.Timeout | undefined;
  private readonly cancelWhenClosed: () => void;

  constructor(
    private readonly answer: CallerAnswer,
    private readonly request: AttemptRequest,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    this.timer = setTimeout(() => {
      const answering = this.stored !== null;
      this.settle({ kind: 'failed', failure: { kind: 'deadline-passed', sent: this.sent, answering } });
      this.controller?.abort(new Error('the deadline passed'));
    }, request.budgetMs);
    this.cancelWhenClosed = answer.whenClosed(() => {
      this.settle({ kind: 'caller-gone' });
      this.controller?.abort(new Error('the caller disconnected'));
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.settled) {
      controller.abort(new Error('the request was abandoned before it was sent'));
      return;
    }
    this.sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.settled || status < MIN_FINAL_STATUS) return;
    this.request.onSignals(readSignals(flattenHeaders(headers), DEFAULT_HEADER_DIALECT));
    const refused = readRefusal(headers);
    if (refused !== null) {
      // The head says all; a body that follows is read and discarded.
      this.settle({ kind: 'failed', failure: refused });
      return;
    }
    if (!isDelimited(this.request.method, status, headers)) {
      this.settle({ kind: 'failed', failure: { kind: 'no-answer' } });
      controller.abort(new Error(UNDELIMITED_ANSWER));
      return;
    }
    this.statusCode = status;
    const forwarded = endToEndHeaders(headers);
    const statedBytes = this.answer.statedLength(status, headers);
    if (statedBytes !== null && this.answer.reserve(statedBytes)) {
      this.stored = new StoredAnswer(status, forwarded, statedBytes);
      return;
    }
    this.streaming = true;
    clearTimeout(this.timer);
    this.answer.begin(status, forwarded);
  }

  /** An answer ends with the last byte of its stated length: what its back end does next says nothing more about it. */
  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.settled) return;
    if (this.stored !== null) {
      this.stored.add(chunk);
      if (this.stored.isWhole) this.complete();
      return;
    }
    if (!this.streaming) return;
    const isTaken = this.answer.write(chunk, () => {
      clearTimeout(this.stallTimer);
      controller.resume();
    });
    if (this.answer.isWhole) this.complete();
    else if (!isTaken) {
      controller.pause();
      this.endIfStalled(controller);
    }
  }

  /** Breaks the answer off if its caller takes nothing of it, since it holds a slot of the back end. */
  private endIfStalled(controller: Dispatcher.DispatchController): void {
    clearTimeout(this.stallTimer);
    this.stallTimer = setTimeout(() => {
      if (this.settled) return;
      this.settle({ kind: 'cut' });
      this.answer.breakOff(STALLED);
      controller.abort(new Error(STALLED));
    }, this.request.stallMs);
  }

  onResponseEnd(): void {
    this.complete();
  }

  private complete(): void {
    if (this.settled) return;
    this.settle({ kind: 'answered', statusCode: this.statusCode });
    if (this.stored === null) this.answer.end();
    else this.stored.passOn(this.answer);
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.streaming) {
      if (this.settled) return;
      this.settle({ kind: 'cut' });
      this.answer.breakOff(error.message);
      return;
    }
    const gone = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    this.settle({ kind: 'failed', failure: this.connectionFailure(gone) });
  }

  private connectionFailure(gone: boolean): AttemptFailure {
    if (!this.sent) return { kind: 'not-sent', gone };
    return { kind: this.stored === null ? 'no-answer' : 'broken-answer' };
  }

  private settle(result: AttemptResult): void {
    if (this.settled) return;
    this.settled = true;
    clearTimeout(this.timer);
    clearTimeout(this.stallTimer);
    this.cancelWhenClosed();
    this.resolve(result);
  }
}

function readRefusal(headers: IncomingHttpHeaders): AttemptFailure | null {
  const header = headers[REFUSAL_HEADER];
  if (header === undefined) return null;
  const code = refusalCodeSchema.safeParse(header);
  // An unrecognized refusal is treated as no answer: whether the request was executed is unknown.
  if (!code.success) return { kind: 'no-answer' };
  const retryAfterMs = Number(headers[RETRY_AFTER_MS_HEADER] ?? 0) || 0;
  return { kind: 'refused', code: code.data, retryAfterMs };
}

/** Returns alternating names and values; a repeated header gives one pair for each value. */
function flattenHeaders(headers: IncomingHttpHeaders): string[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((text) => [name, text]),
  );
}

function endToEndHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const forwarded: IncomingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!CONNECTION_HEADERS.has(name)) forwarded[name] = value;
  }
  return forwarded;
}
