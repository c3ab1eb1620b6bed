/**
 * One connection of a caller, and the only place that ends it: which of its requests have no complete answer, which of them wait
 * to be forwarded, and how it ends. Answers are told apart by their order on the connection, so nothing is written ahead of an
 * earlier answer, and an answer that is broken off takes those behind it with it. A request is therefore not forwarded while an
 * answer in front of it has begun and not ended.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerAnswer } from './caller-answer.js';
import type { RequestHandle } from './caller-request.js';
import { OverdueAnswer } from './overdue-answer.js';
import type { OpenRequest } from './unanswered-request.js';

/** A request without a complete answer, and what answers it. */
export interface Exchange {
  readonly request: OpenRequest;
  readonly answer: CallerAnswer;
  /** Called once, when the answer has been passed on completely or the connection has closed. */
  readonly onClosed: () => void;
}

/** An exchange, and how it is forwarded; the handle is null before that is known, and if it is answered here. */
interface TrackedExchange extends Exchange {
  handle: RequestHandle | null;
}

/** Time in ms for which a connection is read on after its end was sent, unless the caller ends it sooner. */
const LINGER_MS = 500;

/** Dependencies of a connection. */
export interface CallerConnectionPorts {
  readonly nowMs: () => number;
  /** Calls back once after `ms`; returns a function that cancels it. */
  readonly after: (ms: number, callback: () => void) => () => void;
  /** Calls back once what the caller has sent by now has been read. */
  readonly afterInput: (callback: () => void) => void;
  /** Configured time in ms after which a connection without traffic is closed. */
  readonly idleTimeoutMs: () => number;
}

/** State of one connection. */
export class CallerConnection {
  /** Requests whose answers were not passed on completely, by their responses in the order of the requests. */
  private readonly unfinished = new Map<ServerResponse, TrackedExchange>();
  /** Answers beyond their deadlines that go on for the requests behind them. */
  private readonly overdueAnswers = new Set<OverdueAnswer>();
  /** Requests that were read and discarded. */
  private readonly discarded: OpenRequest[] = [];
  /** Bytes that had been received when the connection was last seen to change, and when that was. */
  private quietBytes = 0;
  private quietSinceMs: number;
  private ending = false;
  private discarding = false;
  private cancelLinger: (() => void) | null = null;

  constructor(
    private readonly socket: Socket,
    private readonly ports: CallerConnectionPorts,
  ) {
    this.quietSinceMs = ports.nowMs();
  }

  /** Whether no further request is taken, because the connection ends after its last answer. */
  get isEnding(): boolean {
    return this.ending;
  }

  /** Whether a request has no complete answer. */
  get isBusy(): boolean {
    return this.unfinished.size > 0;
  }

  /**
   * Whether no answer is owed, and nothing has been received for `ms` and since the last answer was complete, as far as calls
   * have seen it. A part of a request's head counts as input, not as a request.
   */
  isQuietFor(ms: number): boolean {
    if (this.isBusy) return false;
    if (this.quietBytes !== this.socket.bytesRead) {
      this.recordQuiet();
      return false;
    }
    return this.ports.nowMs() - this.quietSinceMs >= ms;
  }

  /** Whether a response is the only one that is owed, its request was received, and earlier answers have left. */
  isOnly(response: ServerResponse): boolean {
    const isAlone = this.unfinished.size === 1 && this.unfinished.has(response);
    return isAlone && response.req.complete && this.socket.writableLength === 0;
  }

  /** Number of requests behind a response whose heads were received. */
  countBehind(response: ServerResponse): number {
    return this.behind(response).length;
  }

  /** Takes no further request: the answer that says so is being written. */
  endAfterLast(): void {
    this.ending = true;
  }

  /** Records a request whose head was received. */
  begin(response: ServerResponse, exchange: Exchange): void {
    this.unfinished.set(response, { ...exchange, handle: null });
  }

  /** Forwards a request that was read, once no answer in front of it has begun and not ended. */
  forward(response: ServerResponse, handle: RequestHandle): void {
    const exchange = this.unfinished.get(response);
    if (exchange === undefined) return;
    exchange.handle = handle;
    this.startForwarding();
    for (const wait of this.overdueAnswers) wait.recheck();
  }

  /** Starts the requests that wait, up to an answer that has begun and not ended. */
  startForwarding(): void {
    for (const { request, answer, handle } of [...this.unfinished.values()]) {
      if (this.socket.destroyed) return;
      if (handle !== null && !request.passedOn) {
        request.passedOn = true;
        handle.start?.();
      }
      if (answer.isUnderWay) return;
    }
  }

  /** Records a request that is discarded. */
  discard(request: OpenRequest): void {
    this.discarded.push(request);
  }

  /**
   * Returns the requests without a complete answer when the connection has closed; none of those whose caller closed or
   * reset it. Input that the daemon had not read yet is unknown.
   */
  unanswered(): readonly OpenRequest[] {
    const { socket } = this;
    const callerClosed = socket.readableEnded || socket.errored !== null;
    const cutOff = callerClosed ? [] : [...this.unfinished.values()].map(({ request }) => request);
    return [...cutOff, ...this.discarded];
  }

  /** Ends all exchanges when the connection has closed: Node reports that for the response that it is writing only. */
  closed(): void {
    this.cancelLinger?.();
    for (const response of [...this.unfinished.keys()]) this.end(response);
  }

  /** Ends the exchange of an answer that was passed on completely, or whose connection has closed. */
  end(response: ServerResponse): void {
    const exchange = this.unfinished.get(response);
    if (exchange === undefined) return;
    this.unfinished.delete(response);
    exchange.onClosed();
    if (this.unfinished.size > 0) {
      this.startForwarding();
      return;
    }
    this.recordQuiet();
    if (this.ending) this.close();
  }

  /** Whether the rest of a request is read and discarded whose answer did not wait for it. */
  get isDiscarding(): boolean {
    return this.discarding;
  }

  /** Records that the answer to a request does not wait for the rest of it. */
  beginDiscarding(): void {
    this.discarding = true;
  }

  /** Records that the rest of a request was read whose answer did not wait for it. */
  bodyDiscarded(): void {
    this.discarding = false;
    if (!this.isBusy) this.recordQuiet();
  }

  private recordQuiet(): void {
    this.quietBytes = this.socket.bytesRead;
    this.quietSinceMs = this.ports.nowMs();
  }

  // ---- ends

  /**
   * Ends the connection and reads on until the caller has ended it too: closing it with unread bytes would reset it, and the
   * caller would lose what it has not read of its answers. `lastBytes` are written before.
   */
  close(lastBytes = ''): void {
    if (this.cancelLinger !== null || this.socket.destroyed) return;
    this.ending = true;
    // An empty write would be a system call of its own.
    if (lastBytes === '') this.socket.end();
    else this.socket.end(lastBytes);
    this.cancelLinger = this.ports.after(LINGER_MS, () => {
      this.socket.destroy();
    });
  }

  /** Ends the connection at once, because its caller has ended it. */
  abandon(): void {
    this.ending = true;
    this.socket.destroy();
  }

  /**
   * Resets the connection in an answer that cannot be completed: without a length, an ordinary end would make it look complete.
   * Requests behind it that were not forwarded are not forwarded any more; the others are cancelled.
   */
  breakOff(): void {
    this.ending = true;
    this.socket.resetAndDestroy();
  }

  /** Calls back once when no request behind an answer beyond its deadline has time left; returns a function that cancels it. */
  whenExpendable(response: ServerResponse, callback: () => void): () => void {
    const { after, afterInput } = this.ports;
    const longestWaitBehindMs = (): number | null => this.longestWaitBehindMs(response);
    const wait = new OverdueAnswer({ longestWaitBehindMs, after, afterInput }, callback);
    this.overdueAnswers.add(wait);
    return () => {
      this.overdueAnswers.delete(wait);
      wait.cancel();
    };
  }

  /** A request that is answered by this daemon has no deadline here; its caller waits for the idle time-out at most. */
  private longestWaitBehindMs(response: ServerResponse): number | null {
    const waits = this.behind(response).flatMap(({ handle, request }) => {
      if (handle?.leftMs !== undefined) return handle.leftMs();
      return request.ageMs === null ? [] : this.ports.idleTimeoutMs() - request.ageMs;
    });
    return waits.length === 0 ? null : Math.max(...waits);
  }

  private behind(response: ServerResponse): TrackedExchange[] {
    const responses = [...this.unfinished.keys()];
    const exchanges = [...this.unfinished.values()];
    return exchanges.slice(responses.indexOf(response) + 1);
  }

  /**
   * Ends the connection after the last answer. Returns the answer to the request whose body cannot be received any
   * more, which is to be given; null if there is none.
   */
  endAfterAnswers(): CallerAnswer | null {
    if (this.ending) return null;
    this.ending = true;
    const last = [...this.unfinished].at(-1);
    if (last === undefined) return null;
    const [response, { answer }] = last;
    // Tells the caller not to send its next request on this connection.
    if (!response.headersSent) response.shouldKeepAlive = false;
    return response.req.complete ? null : answer;
  }
}
