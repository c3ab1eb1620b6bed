/** Server side of links: accepts connections of peer daemons and passes their requests to a handler. */
import { createServer, type Server, type Socket } from 'node:net';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import { ClientMemory, type MemoryShare } from '../runtime/client-memory.js';
import { InputTurns } from '../runtime/input-turns.js';
import { LINK_TIMINGS, LinkConnection, type LinkConnectionHandlers } from './link-connection.js';
import type { ByteMeter } from './link-bytes.js';
import type { LinkPacer } from './link-pacer.js';
import { AnswerStream } from './answer-stream.js';
import { isCreditHead, isRequestHead } from './head-checks.js';
import { withoutRequestId } from './head-parts.js';
import { FRAME_KIND, type LinkFrame } from './link-frame.js';
import type {
  AnswerHead,
  FailureHead,
  HelloHead,
  RefusalHead,
  RequestHead,
  StatusHead,
} from './link-messages.js';

/** Buffered bytes of a connection from which on the answers on it wait, also those to peers that state no room. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Answer to a request whose head is not readable; nothing of it is executed. */
const UNREADABLE_REFUSAL: RefusalHead = {
  reason: 'unreadable',
  arrived: false,
  retryAfterMs: 0,
  status: null,
};

/** Answer to a request for whose body there is no memory; nothing of it is executed. */
const NO_MEMORY_REFUSAL: Omit<RefusalHead, 'status'> = {
  reason: 'busy',
  arrived: false,
  retryAfterMs: 1_000,
};

/** Sends the outcome of one request to its caller. */
export interface RequestReply {
  refuse(head: RefusalHead): void;
  fail(head: FailureHead): void;
  answer(head: AnswerHead, body: Buffer): void;
  /** Sends a further part of the body; false if sending should pause until `onDrain` calls back. */
  body(chunk: Buffer): boolean;
  end(): void;
  /** Calls back once, when everything that was passed has been sent, or discarded because nobody waits for it. */
  onDrain(callback: () => void): void;
}

/** How it became known that nobody waits for a request any more. */
export type CancelCause = 'cancelled' | 'link-lost';

/** Handle by which the server cancels a request. */
export interface AcceptedRequest {
  /** Called when the caller has disconnected or given up. */
  cancel(cause: CancelCause): void;
  /** Called when the caller withdraws the request, which is then refused if its execution has not begun. */
  withdraw(): void;
}

/** Handler of received requests; returns the handle by which the request is cancelled. */
export type AcceptRequest = (head: RequestHead, body: Buffer, reply: RequestReply) => AcceptedRequest;

/** Returns the meter of a connection from a host; the host is null for connections within the machine. */
export type MeterOfHost = (host: string | null) => ByteMeter | null;

/** TCP server for the links of peer daemons. */
export class LinkServer {
  private readonly connections = new Set<LinkConnection>();
  /** Answers that have begun and not ended. */
  private readonly streams = new Set<AnswerStream>();
  private readonly server: Server;

  constructor(
    private readonly nowMs: () => number,
    private readonly life: string,
    private readonly acceptRequest: AcceptRequest,
    /** Returns the load of the back end, for probes; null while it is unknown. */
    private readonly status: () => StatusHead | null,
    /** Paces answers on a slow network link; null if the link is fast. */
    private readonly pacer: LinkPacer | null = null,
    /** Returns the meter of a connection; null if its frames are not counted. */
    private readonly meterOf: MeterOfHost = () => null,
    private readonly turns = new InputTurns(nowMs),
    /** Called when a request is dropped before it was passed on, because nobody waits for it any more. */
    private readonly onDropped: () => void = () => undefined,
    /** Accounts for the bodies of the requests that are being executed. */
    private readonly memory = new ClientMemory(),
  ) {
    this.server = createServer((socket) => {
      this.accept(socket);
    });
  }

  /** Number of answers that wait for room at their receivers. */
  get waitingAnswers(): number {
    let waiting = 0;
    for (const { isDrained } of this.streams) if (!isDrained) waiting += 1;
    return waiting;
  }

  /** Starts listening; an error contains the address. */
  async listen(address: SocketAddress): Promise<Result<void, string>> {
    return await new Promise((resolve) => {
      this.server.once('error', (error) => {
        resolve(Err(`cannot listen on ${address.host}:${address.port}: ${error.message}`));
      });
      this.server.listen(address.port, address.host, () => {
        resolve(Ok(undefined));
      });
    });
  }

  /**
   * Stops listening and ends every connection with a goodbye. To be called only when no request is being executed any
   * more: peers take the goodbye as proof that requests whose answer has not begun were not executed, and send them elsewhere,
   * including those that must not be executed twice.
   */
  close(): void {
    this.server.close();
    for (const connection of this.connections) connection.closeGracefully();
  }

  private accept(socket: Socket): void {
    this.turns.connectionAccepted();
    const requests = new Map<number, OpenRequest>();
    const handlers: LinkConnectionHandlers = {
      onFrame: (frame) => {
        this.handleFrame(frame, connection, requests);
        watch(connection, requests);
      },
      onClose: () => {
        this.connections.delete(connection);
        for (const { accepted, answer } of [...requests.values()]) {
          accepted.cancel('link-lost');
          answer.discard();
        }
        requests.clear();
      },
      onSuspicion: () => {
        for (const { accepted } of requests.values()) accepted.withdraw();
      },
    };
    // Connections within the machine do not use the network link.
    const isLocal = socket.remoteAddress === socket.localAddress;
    const pacer = isLocal ? null : this.pacer;
    const meter = this.meterOf(isLocal ? null : (socket.remoteAddress ?? ''));
    const connection: LinkConnection = new LinkConnection(
      socket,
      this.nowMs,
      handlers,
      pacer,
      meter,
      () => pacer?.isCongested === true,
      (callback) => {
        this.turns.atEnd(callback);
      },
    );
    this.connections.add(connection);
    const hello: HelloHead = { life: this.life, ...(pacer === null ? {} : { compactHeads: true }) };
    connection.send(FRAME_KIND.hello, 0, hello);
    watch(connection, requests);
  }

  private handleFrame(
    frame: LinkFrame,
    connection: LinkConnection,
    requests: Map<number, OpenRequest>,
  ): void {
    if (frame.kind === FRAME_KIND.request) {
      const { head } = frame;
      if (!isRequestHead(head)) {
        connection.send(FRAME_KIND.refusal, frame.stream, UNREADABLE_REFUSAL);
        return;
      }
      if (requests.has(frame.stream)) {
        connection.close('a stream number is in use');
        return;
      }
      const share = this.shareFor(frame.body.length);
      if (share === 'none') {
        connection.send(FRAME_KIND.refusal, frame.stream, { ...NO_MEMORY_REFUSAL, status: this.status() });
        return;
      }
      const room = head.windowBytes ?? Infinity;
      const answer = new AnswerStream(connection, frame.stream, room, () => {
        share?.release();
        requests.delete(frame.stream);
        this.streams.delete(answer);
        watch(connection, requests);
      });
      this.streams.add(answer);
      const reply = makeReply(connection, frame.stream, head.requestId, answer);
      const accepted = this.acceptAfterInput(head, frame.body, reply);
      if (this.streams.has(answer)) requests.set(frame.stream, { accepted, answer });
      return;
    }
    if (frame.kind === FRAME_KIND.probe) {
      const status = this.status();
      if (status !== null) connection.send(FRAME_KIND.status, 0, status);
      return;
    }
    if (frame.kind === FRAME_KIND.compactHeads) connection.enableShortHeads();
    const request = requests.get(frame.stream);
    if (frame.kind === FRAME_KIND.withdraw) request?.accepted.withdraw();
    if (frame.kind === FRAME_KIND.credit && isCreditHead(frame.head)) request?.answer.grant(frame.head.bytes);
    if (frame.kind !== FRAME_KIND.cancel) return;
    request?.accepted.cancel('cancelled');
    request?.answer.discard();
    connection.dropStream(frame.stream);
  }

  /** Returns what holds a body; null if there is nothing to be held, 'none' if there is no room. */
  private shareFor(bodyBytes: number): MemoryShare | null | 'none' {
    if (bodyBytes === 0) return null;
    const share = this.memory.open(() => undefined);
    share.keep();
    return share.resize(bodyBytes) ? share : 'none';
  }

  /** Passes a request on once pending input has been read, unless that cancels it. */
  private acceptAfterInput(head: RequestHead, body: Buffer, reply: TrackedReply): AcceptedRequest {
    let accepted: AcceptedRequest | null = null;
    let dropped = false;
    let withdrawn = false;
    this.turns.afterInput(() => {
      if (dropped) return;
      accepted = this.acceptRequest(head, body, reply.port);
      if (withdrawn && !reply.finished()) accepted.withdraw();
    });
    return {
      cancel: (cause) => {
        if (accepted !== null) accepted.cancel(cause);
        else this.onDropped();
        dropped = true;
      },
      withdraw: () => {
        if (accepted !== null) accepted.withdraw();
        else withdrawn = true;
      },
    };
  }
}

/** A request whose answer has not ended. */
interface OpenRequest {
  readonly accepted: AcceptedRequest;
  readonly answer: AnswerStream;
}

/** Watches the caller's daemon: without it, requests over a dead connection would be run for nobody. */
function watch(connection: LinkConnection, requests: ReadonlyMap<number, OpenRequest>): void {
  connection.watchSilence(requests.size > 0 ? LINK_TIMINGS.serverActive : LINK_TIMINGS.serverIdle);
}

/** Reply of one request, and whether its final outcome was sent. */
interface TrackedReply {
  readonly port: RequestReply;
  readonly finished: () => boolean;
}

function makeReply(
  connection: LinkConnection,
  stream: number,
  requestId: string,
  answer: AnswerStream,
): TrackedReply {
  let finished = false;
  // The caller's daemon discards the parts of an answer that is refused or fails, so they need not use the link in front of that.
  const finish = (): void => {
    finished = true;
    answer.discard();
    connection.dropStream(stream);
  };
  const port: RequestReply = {
    refuse(head) {
      finish();
      connection.send(FRAME_KIND.refusal, stream, head);
    },
    fail(head) {
      finish();
      connection.send(FRAME_KIND.failure, stream, head);
    },
    answer(head, body) {
      finished = !head.moreFollows;
      answer.answer(connection.sendsShortHeads ? withoutRequestId(head, requestId) : head, body);
    },
    body(chunk) {
      answer.push(chunk);
      return answer.isDrained && connection.bufferedBytes < MAX_BUFFERED_BYTES;
    },
    end() {
      finished = true;
      answer.end();
    },
    onDrain(callback) {
      answer.onDrain(() => {
        if (connection.open && connection.bufferedBytes >= MAX_BUFFERED_BYTES) connection.onDrain(callback);
        else callback();
      });
    },
  };
  return { port, finished: () => finished };
}
