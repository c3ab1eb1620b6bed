/**
 * Calls of a daemon to its back end other than requests: grants, releases and identity queries. A late surplus answer to
 * an earlier call is told apart by its request id, as for requests.
 */
import { Err, Ok, type Result } from '../result.js';
import type { Runtime } from '../runtime/runtime.js';
import type { ParsedAnswer } from './answer-parser.js';
import type { InFlightRequest, RequestPool } from './backend-pool.js';

/** Length in bytes at which an answer's body is cut off, and at which its connection is closed. */
const MAX_BODY_BYTES = 4_096;
const MAX_RECEIVED_BYTES = 64 * 1_024;

/** Calls in flight at a time; further ones wait. */
const MAX_CONCURRENT = 2;

/** Characters that a request line cannot hold. */
const UNSAFE_PATH_CHARACTERS = /[^\x21-\x7e]/gu;

/** A call to a back end. */
export interface BackendCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Names and values alternately. */
  readonly headers: readonly string[];
  readonly text: string;
  /** Time in ms after which the call counts as unanswered, including its wait for earlier ones. */
  readonly timeoutMs: number;
}

/** A complete answer of a back end. */
export interface BackendAnswer {
  readonly status: number;
  /** Names and values alternately. */
  readonly headers: readonly string[];
  /** Empty if only the end of the connection delimits it, which does not show that it is whole. */
  readonly body: string;
}

/** Why a call has no answer: it was certainly not sent, or no complete answer arrived in time. */
export type CallFailure = 'not-sent' | 'unanswered';

/** Sends calls to one back end. */
export class BackendCallClient {
  private inFlight = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly pool: RequestPool,
    private readonly host: string,
    private readonly requestIdHeader: string,
    private readonly runtime: Pick<Runtime, 'after' | 'randomId'>,
  ) {}

  /** Sends a call and returns its answer. */
  async send(call: BackendCall): Promise<Result<BackendAnswer, CallFailure>> {
    return await new Promise((resolve) => {
      let request: InFlightRequest | null = null;
      let done = false;
      const finish = (result: Result<BackendAnswer, CallFailure>): void => {
        if (done) return;
        done = true;
        cancelTimer();
        resolve(result);
        if (request !== null) this.callEnded();
      };
      const cancelTimer = this.runtime.after(call.timeoutMs, () => {
        request?.cancel();
        finish(Err('unanswered'));
      });
      this.waiting.push(() => {
        if (done) return;
        this.inFlight += 1;
        request = this.start(call, finish);
      });
      this.startWaiting();
    });
  }

  private callEnded(): void {
    this.inFlight -= 1;
    this.startWaiting();
  }

  private startWaiting(): void {
    while (this.inFlight < MAX_CONCURRENT) {
      const start = this.waiting.shift();
      if (start === undefined) return;
      start();
    }
  }

  private start(
    { method, path, headers, text }: BackendCall,
    finish: (result: Result<BackendAnswer, CallFailure>) => void,
  ): InFlightRequest {
    const requestId = this.runtime.randomId();
    const body = Buffer.from(text);
    const allHeaders = [
      'host',
      this.host,
      this.requestIdHeader,
      requestId,
      ...headers,
      'content-type',
      'application/json',
      'content-length',
      String(body.length),
      'connection',
      'keep-alive',
    ];
    const safePath = path.replace(UNSAFE_PATH_CHARACTERS, percentEncode);
    const request = { method, path: safePath, headers: allHeaders, body, requestId, repeatable: false };
    let answer: ParsedAnswer | null = null;
    const chunks: Buffer[] = [];
    let bytes = 0;
    const inFlight = this.pool.run(
      { ...request, allowsMissingId: true },
      {
        onAnswer: (head) => {
          answer = head;
        },
        onBody: (chunk) => {
          if (bytes < MAX_BODY_BYTES) chunks.push(Buffer.from(chunk));
          bytes += chunk.length;
          if (bytes <= MAX_RECEIVED_BYTES) return;
          inFlight.cancel();
          finish(Err('unanswered'));
        },
        onEnd: () => {
          if (answer === null) return;
          const parts = answer.framed ? chunks : [];
          const received = Buffer.concat(parts).subarray(0, MAX_BODY_BYTES).toString();
          finish(Ok({ status: answer.statusCode, headers: answer.headers, body: received }));
        },
        onBroken: (_reason, _detail, sent) => {
          finish(Err(sent ? 'unanswered' : 'not-sent'));
        },
      },
    );
    return inFlight;
  }
}

/** Encodes a character as its bytes in UTF-8; half a surrogate pair has none and becomes U+FFFD. */
function percentEncode(character: string): string {
  const digits = Buffer.from(character).toString('hex').toUpperCase();
  return digits.replace(/../g, '%$&');
}
