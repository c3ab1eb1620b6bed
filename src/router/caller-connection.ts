/**
 * One connection of a caller, and the only place that ends it. Answers are told apart by their order on the connection, so an
 * answer that breaks off takes those behind it with it. A request is therefore passed on only once the answers in front of it
 * are complete (RFC 9112, 9.3.2, demands this order of all requests that are not safe).
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { clockMs, processTimers } from '../runtime/clock.js';
import type { AnswerWindows } from '../sidecar/answer-windows.js';
import type { EventFields } from '../telemetry/event-log.js';
import { CallerAnswer } from './caller-answer.js';

/** Time in ms for which a connection is read on after its end was sent, unless the caller ends it sooner. */
const LINGER_MS = 500;

/** Dependencies of a connection. */
export interface CallerConnectionPorts {
  /** Room for answers that are stored until they are whole. */
  readonly windows: AnswerWindows;
  /** Whether connections are to end once they owe no answer. */
  readonly isStopping: () => boolean;
  /** Calls back once what callers have sent by now has been read. */
  readonly afterInput: (callback: () => void) => void;
  readonly log: (event: string, fields: EventFields) => void;
}

/** State of one connection. */
export class CallerConnection {
  /** Answers that were not passed on completely, in the order of their requests. */
  private readonly unfinished = new Map<ServerResponse, CallerAnswer>();
  /** Whether further requests are taken; otherwise they are discarded, and the connection ends once it owes no answer. */
  private accepting = true;
  /** Whether the connection has ended in this direction. */
  private ended = false;
  /** Bytes that reject what was received behind the last request; empty if nothing is rejected. */
  private rejection = '';
  private cancelLinger: (() => void) | null = null;
  /** Bytes that had been received when the connection was last seen to change, and when that was. */
  private quietBytes = 0;
  private quietSinceMs = clockMs();

  constructor(
    private readonly socket: Socket,
    private readonly ports: CallerConnectionPorts,
  ) {
    // Node calls this after an answer that announced the end of the connection.
    socket.destroySoon = () => {
      this.close();
    };
    socket.once('close', () => {
      this.cancelLinger?.();
      // Node reports the close of a connection only for the response that it is writing.
      for (const response of [...this.unfinished.keys()]) this.finish(response);
    });
  }

  /** Number of answers that were not passed on completely. */
  get openAnswers(): number {
    return this.unfinished.size;
  }

  /**
   * Whether no answer is owed, and nothing has been received for `ms` and since the last answer was complete, as far as calls have
   * seen it.
   */
  isQuietFor(ms: number): boolean {
    if (this.unfinished.size > 0) return false;
    if (this.quietBytes !== this.socket.bytesRead) {
      this.recordQuiet();
      return false;
    }
    return clockMs() - this.quietSinceMs >= ms;
  }

  private recordQuiet(): void {
    this.quietBytes = this.socket.bytesRead;
    this.quietSinceMs = clockMs();
  }

  /** Returns the answer to a request; null if the connection ends and the request is discarded. */
  answerTo(request: IncomingMessage, response: ServerResponse): CallerAnswer | null {
    const existing = this.unfinished.get(response);
    if (existing !== undefined) return existing;
    // Without listeners, an error of a request whose caller has left would end the process.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (!this.accepting || this.socket.destroyed) {
      request.resume();
      return null;
    }
    const answer = new CallerAnswer(request, response, {
      openWindow: (wishedBytes) => this.ports.windows.open(wishedBytes),
      isStopping: this.ports.isStopping,
      afterInput: this.ports.afterInput,
      isOnly: (asking) => this.isOnly(asking),
      endAfterLast: () => {
        this.accepting = false;
      },
      breakOff: (broken, cause) => {
        this.breakOff(broken, cause);
      },
    });
    this.unfinished.set(response, answer);
    response.once('close', () => {
      this.finish(response);
    });
    this.startNext();
    return answer;
  }

  private finish(response: ServerResponse): void {
    const answer = this.unfinished.get(response);
    if (answer === undefined) return;
    this.unfinished.delete(response);
    answer.recordClosed();
    discardBody(answer.request);
    if (this.unfinished.size === 0) this.recordQuiet();
    this.startNext();
  }

  private isOnly({ request, response }: CallerAnswer): boolean {
    const isAlone = this.unfinished.size === 1 && this.unfinished.has(response);
    return isAlone && request.complete && this.socket.writableLength === 0;
  }

  private startNext(): void {
    if (this.ended || this.socket.destroyed) return;
    const [first] = this.unfinished.values();
    if (!this.accepting && (first === undefined || isUnreceivable(first))) this.close(this.rejection);
    else first?.recordTurn();
  }

  /**
   * Ends the connection behind the answers to the requests in front of bytes that are no request; only then these are rejected.
   * A request whose body they break off is the last one, and is rejected with them.
   */
  rejectUnreadable(rejection: string): void {
    if (!this.accepting) return;
    this.accepting = false;
    this.rejection = rejection;
    this.startNext();
  }

  /**
   * Ends the connection and reads on until the caller has ended it too: closing it with unread bytes would reset it, and the
   * caller would lose what it has not read of earlier answers. `lastBytes` are written before.
   */
  close(lastBytes = ''): void {
    if (this.cancelLinger !== null || this.socket.destroyed) return;
    this.accepting = false;
    this.ended = true;
    this.socket.end(lastBytes);
    for (const { request } of this.unfinished.values()) discardBody(request);
    this.cancelLinger = processTimers.after(LINGER_MS, () => {
      this.socket.destroy();
    });
  }

  /** Ends the connection whatever it owes, in an answer that has begun if there is one. */
  cutOff(cause: string): void {
    const [first] = this.unfinished.values();
    if (first?.response.headersSent === true) this.breakOff(first, cause);
    else this.close();
  }

  /**
   * Ends the connection in an answer whose rest does not come. Only an answer that nothing delimits is reset, since it would
   * look complete at an ordinary end; a reset may also cost the caller what it has not read of earlier answers.
   */
  private breakOff(answer: CallerAnswer, cause: string): void {
    if (this.ended) return;
    this.accepting = false;
    this.ended = true;
    const { passedBytes, statedBytes } = answer;
    this.ports.log('answer-broken-off', {
      cause,
      passedBytes,
      statedBytes,
      behind: this.unfinished.size - 1,
    });
    if (answer.isDelimited) this.close();
    else this.socket.resetAndDestroy();
  }
}

/** Whether the rest of a request cannot be received, once no further bytes are read as requests. */
function isUnreceivable({ request, response }: CallerAnswer): boolean {
  return !request.complete && !response.headersSent;
}

/** Reads the rest of a body that nobody needs, behind which further requests may lie. */
function discardBody(request: IncomingMessage): void {
  request.unpipe();
  request.resume();
}
