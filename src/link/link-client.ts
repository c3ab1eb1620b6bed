/**
 * The calling side of a link: passes requests to one other daemon and tells what became of each. The connection is
 * opened when the first request comes and opened anew when it broke.
 */
import { connect } from 'node:net';
import { connectOptions, type SocketAddress } from '../model/socket-address.js';
import { LinkConnection, type LinkConnectionHandlers } from './link-connection.js';
import { FRAME_KIND, type LinkFrame } from './link-frame.js';
import type { LinkPacer } from './link-pacer.js';
import type { AnswerHead, FailureHead, RefusalHead, RequestHead, StatusHead } from './link-messages.js';

/** Time in ms for a connection to open. */
const CONNECT_TIMEOUT_MS = 400;

/** Pause after a failed attempt to connect, in ms, in which requests are refused at once. */
const REDIAL_PAUSE_MS = 150;

/** What becomes of a request. Exactly one of the final calls is made, unless it was cancelled. */
export interface RequestHandlers {
  /** Final: it was not run. */
  onRefusal(head: RefusalHead): void;
  /** Final: it may have run. */
  onFailure(head: FailureHead): void;
  /** The answer begins; final when nothing more follows. */
  onAnswer(head: AnswerHead, body: Buffer): void;
  onBody(chunk: Buffer): void;
  /** Final: the answer is whole. */
  onEnd(): void;
  /** Final: the connection was lost. `sent` is false when the request certainly did not leave. */
  onLost(sent: boolean): void;
}

/** What the owner of a client is told. */
export interface LinkClientHandlers {
  onStatus(status: StatusHead): void;
  /** The connection was lost or could not be opened; not called for a link that its owner closes. */
  onDisconnect(reason: string): void;
}

interface PendingRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly handlers: RequestHandlers;
  sent: boolean;
}

/** A request that was handed to a link. */
export interface LinkRequest {
  /** Takes the request back; no handler is called any more. */
  cancel(): void;
  /** Takes the request back if it has not begun; then it is refused. */
  withdraw(): void;
}

/** Where a link goes, and where it starts. */
export interface LinkRoute {
  readonly address: SocketAddress;
  /** Local IP address to dial from; null leaves that to the system. */
  readonly localAddress: string | null;
  /** Paces large frames over a slow network link; null where there is none on the way. */
  readonly pacer: LinkPacer | null;
}

/** A link to one other daemon, as the owner of requests uses it. */
export interface Link {
  /** Whether the last attempt to connect failed a moment ago. */
  readonly unreachable: boolean;
  /** Requests whose outcome is awaited. */
  readonly outstanding: number;
  /** Passes a request on. */
  request(head: RequestHead, body: Buffer, handlers: RequestHandlers): LinkRequest;
  /** Asks how busy the back end is; the answer is a status. */
  probe(): void;
  /** Closes for good. */
  stop(): void;
}

/** A link to one other daemon over TCP. */
export class LinkClient implements Link {
  private connection: LinkConnection | null = null;
  private connected = false;
  private refuseUntilMs = 0;
  private nextStream = 1;
  /** A probe is to be sent as soon as the connection is open. */
  private probePending = false;
  private readonly pending = new Map<number, PendingRequest>();
  private stopped = false;

  constructor(
    private readonly route: LinkRoute,
    private readonly nowMs: () => number,
    private readonly handlers: LinkClientHandlers,
  ) {}

  /** Whether the last attempt to connect failed a moment ago. */
  get unreachable(): boolean {
    return this.nowMs() < this.refuseUntilMs;
  }

  /** Requests whose outcome is awaited. */
  get outstanding(): number {
    return this.pending.size;
  }

  /** Passes a request on. */
  request(head: RequestHead, body: Buffer, handlers: RequestHandlers): LinkRequest {
    const stream = this.nextStream;
    this.nextStream += 1;
    const pending: PendingRequest = { head, body, handlers, sent: false };
    this.pending.set(stream, pending);
    this.ensureConnection();
    if (this.connected) this.sendRequest(stream, pending);
    return {
      cancel: () => {
        this.cancel(stream);
      },
      withdraw: () => {
        if (this.pending.get(stream)?.sent === true)
          this.connection?.send(FRAME_KIND.withdraw, stream, undefined);
      },
    };
  }

  /** Asks how busy the back end is; the answer is a status. Lost without a word when the connection breaks. */
  probe(): void {
    this.ensureConnection();
    if (this.connected) this.connection?.send(FRAME_KIND.probe, 0, undefined);
    else this.probePending = true;
  }

  /** Closes for good. */
  stop(): void {
    this.stopped = true;
    this.connection?.close('link is closed');
  }

  private cancel(stream: number): void {
    const pending = this.pending.get(stream);
    if (pending === undefined) return;
    this.pending.delete(stream);
    if (pending.sent) this.connection?.send(FRAME_KIND.cancel, stream, undefined);
    this.watch();
  }

  private ensureConnection(): void {
    if (this.connection !== null || this.stopped) return;
    const socket = connect(connectOptions(this.route.address, this.route.localAddress));
    const handlers: LinkConnectionHandlers = {
      onFrame: (frame) => {
        this.receive(frame);
      },
      onClose: (reason) => {
        clearTimeout(timer);
        this.lost(reason);
      },
    };
    const connection = new LinkConnection(socket, this.nowMs, handlers, this.route.pacer);
    const timer = setTimeout(() => {
      connection.close('connect timed out');
    }, CONNECT_TIMEOUT_MS);
    this.connection = connection;
    this.connected = false;
    socket.once('connect', () => {
      clearTimeout(timer);
      this.opened();
    });
  }

  private opened(): void {
    this.connected = true;
    this.refuseUntilMs = 0;
    if (this.probePending) this.connection?.send(FRAME_KIND.probe, 0, undefined);
    this.probePending = false;
    for (const [stream, pending] of this.pending) this.sendRequest(stream, pending);
    this.watch();
  }

  private sendRequest(stream: number, pending: PendingRequest): void {
    pending.sent = true;
    this.connection?.send(FRAME_KIND.request, stream, pending.head, pending.body);
    this.watch();
  }

  private watch(): void {
    if (this.connected) this.connection?.watchSilence(this.pending.size > 0);
  }

  private lost(reason: string): void {
    if (!this.connected) this.refuseUntilMs = this.nowMs() + REDIAL_PAUSE_MS;
    const ranNothing = this.connection?.peerSaidGoodbye === true;
    this.connection = null;
    this.connected = false;
    this.probePending = false;
    const lost = [...this.pending.values()];
    this.pending.clear();
    if (!this.stopped) this.handlers.onDisconnect(reason);
    for (const pending of lost) pending.handlers.onLost(pending.sent && !ranNothing);
  }

  private receive(frame: LinkFrame): void {
    if (frame.kind === FRAME_KIND.status) {
      this.handlers.onStatus(frame.head as StatusHead);
      return;
    }
    const pending = this.pending.get(frame.stream);
    if (pending === undefined) return;
    this.dispatch(frame, pending.handlers);
    this.watch();
  }

  private dispatch(frame: LinkFrame, handlers: RequestHandlers): void {
    switch (frame.kind) {
      case FRAME_KIND.refusal:
        this.pending.delete(frame.stream);
        handlers.onRefusal(frame.head as RefusalHead);
        break;
      case FRAME_KIND.failure:
        this.pending.delete(frame.stream);
        handlers.onFailure(frame.head as FailureHead);
        break;
      case FRAME_KIND.answer:
        if (!(frame.head as AnswerHead).moreFollows) this.pending.delete(frame.stream);
        handlers.onAnswer(frame.head as AnswerHead, frame.body);
        break;
      case FRAME_KIND.body:
        handlers.onBody(frame.body);
        break;
      case FRAME_KIND.end:
        this.pending.delete(frame.stream);
        handlers.onEnd();
        break;
      default:
        break;
    }
  }
}
