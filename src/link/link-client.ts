/**
 * Client side of a link: forwards requests to one peer daemon and reports the outcome of each. The connection is opened
 * lazily by the first request or probe, and reopened on demand after it was lost.
 */
import { connect } from 'node:net';
import { InputTurns } from '../runtime/input-turns.js';
import { connectOptions, type SocketAddress } from '../model/socket-address.js';
import { LINK_TIMINGS, LinkConnection, type LinkConnectionHandlers } from './link-connection.js';
import { isAnswerHead, isFailureHead, isHelloHead, isRefusalHead, isStatusHead } from './head-checks.js';
import { withoutExcess, withRequestId } from './head-parts.js';
import { FRAME_KIND, type LinkFrame } from './link-frame.js';
import type { ByteMeter } from './link-bytes.js';
import type { LinkPacer } from './link-pacer.js';
import type {
  AnswerHead,
  CreditHead,
  FailureHead,
  HelloHead,
  RefusalHead,
  RequestHead,
  StatusHead,
} from './link-messages.js';

/** Time in ms after which an attempt to connect fails. */
const CONNECT_TIMEOUT_MS = 400;

/** Time in ms after a failed attempt to connect during which the peer counts as unreachable. */
const RECONNECT_DELAY_MS = 150;

/** Share of the window of an answer from which on credit for it is sent. */
const MIN_CREDIT_SHARE = 0.25;

/** Largest stream number that a frame can hold; the numbers then start again. */
const MAX_STREAM = 0xffff_ffff;

/** Callbacks for the outcome of a request. Exactly one of the final ones is called, unless the request is cancelled. */
export interface RequestHandlers {
  /** Final: the request was not executed. */
  onRefusal(head: RefusalHead): void;
  /** Final: the request may have been executed, and there is no answer. */
  onFailure(head: FailureHead): void;
  /** Start of the answer; final unless its head says that more of the body follows. */
  onAnswer(head: AnswerHead, body: Buffer): void;
  onBody(chunk: Buffer): void;
  /** Final: the answer is complete, by the length that its head states, or because the peer says so. */
  onEnd(): void;
  /** Final: the connection was lost. `sent` is false if the request was certainly not executed and may be sent elsewhere. */
  onLost(sent: boolean): void;
}

/** Callbacks for events of a link that belong to no request. */
export interface LinkClientHandlers {
  onStatus(status: StatusHead): void;
  /** The connection was lost or could not be opened; not called after `stop`. */
  onDisconnect(reason: string): void;
}

interface PendingRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly handlers: RequestHandlers;
  /** Whether the request was sent, and not discarded while it waited for the network link. */
  sent: boolean;
  /** Whether the request was withdrawn before it could be sent; it is sent to be refused. */
  withdrawn: boolean;
  /** Whether the start of an answer has arrived, of which more follows. */
  answerStarted: boolean;
  /** Bytes of the body up to the one that ends the answer; null if an `end` frame ends it. */
  missingBytes: number | null;
  /** Bytes of the body that were taken and for which no credit was sent. */
  takenBytes: number;
}

/** Handle of a request that was passed to a link. */
export interface LinkRequest {
  /** Cancels the request; none of its handlers is called any more. */
  cancel(): void;
  /** Asks the peer to refuse the request if its execution has not begun; has no effect otherwise. */
  withdraw(): void;
  /** States that there is room again for bytes of the answer that has begun. */
  grant(bytes: number): void;
}

/** Remote and local addresses of a link, and its pacing. */
export interface LinkRoute {
  readonly address: SocketAddress;
  /** Local IP address to bind to; null lets the operating system choose. */
  readonly localAddress: string | null;
  /** Paces large frames on a slow network link; null if the path has none. */
  readonly pacer: LinkPacer | null;
  /** Counts sent frames; missing if they are not counted. */
  readonly meter?: ByteMeter;
}

/** Client interface of a link to one peer daemon. */
export interface Link {
  /** Whether the last attempt to connect failed within the reconnect delay. */
  readonly unreachable: boolean;
  /** Number of requests without a final outcome. */
  readonly outstanding: number;
  /** Sends a request. */
  request(head: RequestHead, body: Buffer, handlers: RequestHandlers): LinkRequest;
  /** Requests the load of the back end, which arrives as a status. */
  probe(): void;
  /** Closes the link permanently. */
  stop(): void;
}

/** A link to one peer daemon over TCP. */
export class LinkClient implements Link {
  private connection: LinkConnection | null = null;
  private connected = false;
  private unreachableUntilMs = 0;
  private nextStream = 1;
  /** Whether a probe is to be sent as soon as the connection is open. */
  private probePending = false;
  private readonly pending = new Map<number, PendingRequest>();
  /** Streams of requests that were not sent, in order; cancelled ones are no longer pending. */
  private unsent: number[] = [];
  private sendingScheduled = false;
  private stopped = false;

  constructor(
    private readonly route: LinkRoute,
    private readonly nowMs: () => number,
    private readonly handlers: LinkClientHandlers,
    private readonly turns = new InputTurns(nowMs),
  ) {}

  /** Whether the last attempt to connect failed within the reconnect delay. */
  get unreachable(): boolean {
    return this.nowMs() < this.unreachableUntilMs;
  }

  /** Number of requests without a final outcome. */
  get outstanding(): number {
    return this.pending.size;
  }

  /**
   * Sends a request, as soon as the connection is open and pending input has been read, which may show that the request
   * is to be cancelled.
   */
  request(head: RequestHead, body: Buffer, handlers: RequestHandlers): LinkRequest {
    const stream = this.nextStream;
    this.nextStream = stream === MAX_STREAM ? 1 : stream + 1;
    const pending: PendingRequest = {
      head,
      body,
      handlers,
      sent: false,
      withdrawn: false,
      answerStarted: false,
      missingBytes: null,
      takenBytes: 0,
    };
    this.pending.set(stream, pending);
    this.unsent.push(stream);
    this.ensureConnection();
    if (this.connected) this.scheduleSending();
    return {
      cancel: () => {
        this.cancel(stream);
      },
      withdraw: () => {
        if (this.pending.get(stream) === pending) this.withdraw(stream, pending);
      },
      grant: (bytes) => {
        if (this.pending.get(stream) === pending) this.grant(stream, pending, bytes);
      },
    };
  }

  /** Sends credit once it is worth a frame. */
  private grant(stream: number, pending: PendingRequest, bytes: number): void {
    pending.takenBytes += bytes;
    const windowBytes = pending.head.windowBytes ?? 0;
    if (pending.takenBytes === 0 || pending.takenBytes < windowBytes * MIN_CREDIT_SHARE) return;
    this.connection?.send(FRAME_KIND.credit, stream, { bytes: pending.takenBytes } satisfies CreditHead);
    pending.takenBytes = 0;
  }

  /** Requests the load of the back end, which arrives as a status. A probe is dropped silently if the connection breaks. */
  probe(): void {
    this.ensureConnection();
    if (this.connected) this.connection?.send(FRAME_KIND.probe, 0, undefined);
    else this.probePending = true;
  }

  /** Closes the link permanently. */
  stop(): void {
    this.stopped = true;
    this.connection?.close('link is closed');
  }

  private cancel(stream: number): void {
    const pending = this.pending.get(stream);
    if (pending === undefined) return;
    this.pending.delete(stream);
    this.discardUnwritten(stream, pending);
    if (pending.sent) this.connection?.send(FRAME_KIND.cancel, stream, undefined);
    this.watch();
  }

  private withdraw(stream: number, pending: PendingRequest): void {
    const wasSent = pending.sent;
    this.discardUnwritten(stream, pending);
    if (pending.sent) this.connection?.send(FRAME_KIND.withdraw, stream, undefined);
    else if (wasSent) this.refuseWithdrawn(stream, pending);
    else pending.withdrawn = true;
  }

  /** Discards a request that waits for the network link. It is the first frame of its stream, so the peer knows nothing of it. */
  private discardUnwritten(stream: number, pending: PendingRequest): void {
    if (pending.sent && this.connection?.dropStream(stream) === true) pending.sent = false;
  }

  /** Refuses a request that was discarded, in place of the peer. */
  private refuseWithdrawn(stream: number, pending: PendingRequest): void {
    this.turns.afterInput(() => {
      if (this.pending.get(stream) !== pending) return;
      this.pending.delete(stream);
      this.watch();
      pending.handlers.onRefusal(WITHDRAWN_REFUSAL);
    });
  }

  private ensureConnection(): void {
    if (this.connection !== null || this.stopped) return;
    const socket = connect(connectOptions(this.route.address, this.route.localAddress));
    const handlers: LinkConnectionHandlers = {
      onFrame: (frame) => {
        this.handleFrame(frame);
      },
      onClose: (reason) => {
        clearTimeout(connectTimer);
        this.handleClose(reason);
      },
    };
    const connection = new LinkConnection(
      socket,
      this.nowMs,
      handlers,
      this.route.pacer,
      this.route.meter,
      () => this.route.pacer?.isCongested === true,
      (callback) => {
        this.turns.atEnd(callback);
      },
    );
    const connectTimer = setTimeout(() => {
      // The connection may have opened, but a late timer fires before that is noticed.
      this.turns.afterInput(() => {
        if (!this.connected && this.connection === connection) connection.close('connect timed out');
      });
    }, CONNECT_TIMEOUT_MS);
    this.connection = connection;
    this.connected = false;
    socket.once('connect', () => {
      clearTimeout(connectTimer);
      this.handleConnect();
    });
  }

  private handleConnect(): void {
    this.connected = true;
    this.unreachableUntilMs = 0;
    if (this.probePending) this.connection?.send(FRAME_KIND.probe, 0, undefined);
    this.probePending = false;
    this.scheduleSending();
    this.watch();
  }

  /** Sends the requests that were not sent, once pending input has been read. */
  private scheduleSending(): void {
    if (this.sendingScheduled) return;
    this.sendingScheduled = true;
    this.turns.afterInput(() => {
      this.sendingScheduled = false;
      if (this.connected) this.sendUnsent();
    });
  }

  private sendUnsent(): void {
    for (const stream of this.unsent.splice(0)) {
      const pending = this.pending.get(stream);
      if (pending !== undefined) this.sendRequest(stream, pending);
    }
  }

  private sendRequest(stream: number, pending: PendingRequest): void {
    pending.sent = true;
    const { head, body } = pending;
    const sentHead = this.connection?.sendsShortHeads === true ? withoutExcess(head, body.length) : head;
    this.connection?.send(FRAME_KIND.request, stream, sentHead, body);
    if (pending.withdrawn) this.connection?.send(FRAME_KIND.withdraw, stream, undefined);
    this.watch();
  }

  private watch(): void {
    const timing = this.pending.size > 0 ? LINK_TIMINGS.clientActive : LINK_TIMINGS.clientIdle;
    if (this.connected) this.connection?.watchSilence(timing);
  }

  private handleClose(reason: string): void {
    if (!this.connected) this.unreachableUntilMs = this.nowMs() + RECONNECT_DELAY_MS;
    const noneExecuted = this.connection?.receivedGoodbye === true;
    for (const [stream, pending] of this.pending)
      if (this.connection?.hasDiscarded(stream) === true) pending.sent = false;
    this.connection = null;
    this.connected = false;
    this.probePending = false;
    const lostRequests = [...this.pending.values()];
    this.pending.clear();
    this.unsent = [];
    if (!this.stopped) this.handlers.onDisconnect(reason);
    for (const { handlers, sent, answerStarted } of lostRequests)
      handlers.onLost(answerStarted || (sent && !noneExecuted));
  }

  private handleFrame(frame: LinkFrame): void {
    if (frame.kind === FRAME_KIND.hello) {
      if (isHelloHead(frame.head)) this.handleHello(frame.head);
      return;
    }
    if (frame.kind === FRAME_KIND.status) {
      if (isStatusHead(frame.head)) this.handlers.onStatus(frame.head);
      return;
    }
    const pending = this.pending.get(frame.stream);
    if (pending === undefined) return;
    this.dispatch(frame, pending);
    this.watch();
  }

  private handleHello(hello: HelloHead): void {
    if (this.route.pacer === null || hello.compactHeads !== true) return;
    this.connection?.send(FRAME_KIND.compactHeads, 0, undefined);
    this.connection?.enableShortHeads();
  }

  /** A frame that cannot belong to the outcome of the request ends this request only. */
  private dispatch(frame: LinkFrame, pending: PendingRequest): void {
    if (!this.dispatchOutcome(frame, pending)) this.failUnreadable(frame.stream, pending);
  }

  /** Passes a part of the outcome on; returns false if it is not readable or is not due. */
  private dispatchOutcome({ kind, stream, head, body }: LinkFrame, pending: PendingRequest): boolean {
    const { handlers, answerStarted } = pending;
    switch (kind) {
      case FRAME_KIND.refusal:
        if (answerStarted || !isRefusalHead(head)) return false;
        this.pending.delete(stream);
        handlers.onRefusal(head);
        return true;
      case FRAME_KIND.failure:
        if (!isFailureHead(head)) return false;
        this.pending.delete(stream);
        handlers.onFailure(head);
        return true;
      case FRAME_KIND.answer:
        if (answerStarted || !isAnswerHead(head) || !hasCertainEnd(head)) return false;
        if (!head.moreFollows) {
          this.pending.delete(stream);
          handlers.onAnswer(withRequestId(head, pending.head.requestId), body);
          return true;
        }
        pending.answerStarted = true;
        pending.missingBytes = head.endsWithLength === true ? head.contentLength : null;
        return this.receivePart(stream, pending, body, () => {
          handlers.onAnswer(withRequestId(head, pending.head.requestId), body);
        });
      case FRAME_KIND.body:
        if (!answerStarted) return false;
        return this.receivePart(stream, pending, body, () => {
          handlers.onBody(body);
        });
      case FRAME_KIND.end:
        if (!answerStarted || pending.missingBytes !== null) return false;
        this.pending.delete(stream);
        handlers.onEnd();
        return true;
      default:
        return true;
    }
  }

  /**
   * Passes a part of an answer on, and ends the answer with the last byte of its stated length. The `end` frame may wait for the
   * network link behind other answers, and is ignored when it arrives. Returns false if the part goes beyond that length.
   */
  private receivePart(stream: number, pending: PendingRequest, part: Buffer, passOn: () => void): boolean {
    if (pending.missingBytes !== null) {
      pending.missingBytes -= part.length;
      if (pending.missingBytes < 0) return false;
    }
    passOn();
    // Passing it on may have cancelled the request.
    if (pending.missingBytes === 0 && this.pending.delete(stream)) pending.handlers.onEnd();
    return true;
  }

  private failUnreadable(stream: number, { handlers }: PendingRequest): void {
    this.pending.delete(stream);
    this.connection?.send(FRAME_KIND.cancel, stream, undefined);
    handlers.onFailure({
      reason: 'garbled',
      detail: 'the answer of the daemon is not readable',
      status: null,
    });
  }
}

/** Refusal of a request that was withdrawn before it was sent. */
const WITHDRAWN_REFUSAL: RefusalHead = {
  reason: 'cancelled',
  arrived: false,
  retryAfterMs: 0,
  status: null,
};

function hasCertainEnd({ framed, endConfirmed }: AnswerHead): boolean {
  return framed || endConfirmed === true;
}
