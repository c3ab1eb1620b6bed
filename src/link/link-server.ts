/** Server side of links: accepts connections of peer daemons and passes their requests to a handler. */
import { createServer, type Server, type Socket } from 'node:net';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import { LinkConnection, type LinkConnectionHandlers } from './link-connection.js';
import type { ByteMeter } from './link-bytes.js';
import type { LinkPacer } from './link-pacer.js';
import { makeReply, type AcceptedPeer } from './answer-reply.js';
import { openUnsharedHeldBytes, type OpenHeldBytes } from './answer-stream.js';
import { decodeCredit } from './stream-window.js';
import { FRAME_KIND, type LinkFrame } from './link-frame.js';
import type {
  AnswerHead,
  FailureHead,
  HelloHead,
  RefusalHead,
  RequestHead,
  StatusHead,
} from './link-messages.js';

/** Outcome of an answer of which not everything was sent when the daemon stopped. */
const STOPPED: FailureHead = { reason: 'broken', detail: 'the daemon stops', status: null };

/** Sends the outcome of one request to its caller. */
export interface RequestReply {
  refuse(head: RefusalHead): void;
  fail(head: FailureHead): void;
  answer(head: AnswerHead, body: Buffer): void;
  /** Sends a further part of the body; false if sending should pause until `onDrain` calls back. */
  body(chunk: Buffer): boolean;
  end(): void;
  /** Calls back once, when more of the body may be sent. */
  onDrain(callback: () => void): void;
  /** Counts bytes of the answer that are held until its start; missing if nothing bounds them. */
  hold?(bytes: number): void;
  /** Whether the daemon holds so many bytes that a long answer should be started early; missing if never. */
  crowded?(): boolean;
}

/** Handle by which the server cancels a request. */
export interface AcceptedRequest {
  /** Called when the caller has disconnected or given up. */
  cancel(): void;
  /** Called when the caller withdraws the request, which is then refused if its execution has not begun. */
  withdraw(): void;
}

/** Handler of received requests; returns the handle by which the request is cancelled. */
export type AcceptRequest = (head: RequestHead, body: Buffer, reply: RequestReply) => AcceptedRequest;

/** Returns the meter of a connection from a host; the host is null for connections within the machine. */
export type MeterOfHost = (host: string | null) => ByteMeter | null;

/** TCP server for the links of peer daemons. */
export class LinkServer {
  private readonly peers = new Set<AcceptedPeer>();
  private unreadableCreditCount = 0;
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
    /** Counts the bytes of answers that are held here. */
    private readonly openHeldBytes: OpenHeldBytes = openUnsharedHeldBytes,
  ) {
    this.server = createServer((socket) => {
      this.accept(socket);
    });
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
   * more: peers take the goodbye as proof that requests without an answer were not executed, and send them elsewhere,
   * including those that must not be executed twice.
   */
  close(): void {
    this.server.close();
    for (const { connection, unsent } of [...this.peers]) {
      for (const { fail } of [...unsent.values()]) fail(STOPPED);
      connection.closeGracefully();
    }
  }

  /** Number of answers of which not everything was sent. */
  get unsentAnswers(): number {
    let count = 0;
    for (const { unsent } of this.peers) count += unsent.size;
    return count;
  }

  /** Bytes of all connections that are queued for pacing or buffered by their sockets. */
  get unsentBytes(): number {
    let bytes = 0;
    for (const { connection } of this.peers) bytes += connection.unsentBytes;
    return bytes;
  }

  /** Number of credits that could not be read or are impossible. */
  get unreadableCredits(): number {
    return this.unreadableCreditCount;
  }

  private accept(socket: Socket): void {
    const handlers: LinkConnectionHandlers = {
      onFrame: (frame) => {
        this.handleFrame(frame, peer);
      },
      onClose: () => {
        this.peers.delete(peer);
        for (const request of peer.requests.values()) request.cancel();
        peer.requests.clear();
        for (const { stream } of [...peer.unsent.values()]) stream.discard();
      },
    };
    // Connections within the machine do not use the network link.
    const isLocal = socket.remoteAddress === socket.localAddress;
    const pacer = isLocal ? null : this.pacer;
    const meter = this.meterOf(isLocal ? null : (socket.remoteAddress ?? ''));
    const connection = new LinkConnection(socket, this.nowMs, handlers, pacer, meter);
    const { openHeldBytes } = this;
    const peer: AcceptedPeer = {
      connection,
      firstWindowBytes: null,
      requests: new Map(),
      unsent: new Map(),
      openHeldBytes,
    };
    this.peers.add(peer);
    const hello: HelloHead = {
      life: this.life,
      ...(pacer === null ? {} : { compactHeads: true }),
      flowControl: true,
    };
    connection.send(FRAME_KIND.hello, 0, hello);
  }

  private handleFrame(frame: LinkFrame, peer: AcceptedPeer): void {
    const { connection, requests } = peer;
    if (frame.kind === FRAME_KIND.request) {
      const head = frame.head as RequestHead;
      const reply = makeReply(peer, frame.stream, head);
      const accepted = this.acceptRequest(head, frame.body, reply.port);
      if (!reply.finished()) requests.set(frame.stream, accepted);
      return;
    }
    if (frame.kind === FRAME_KIND.probe) {
      const status = this.status();
      if (status !== null) connection.send(FRAME_KIND.status, 0, status);
      return;
    }
    if (frame.kind === FRAME_KIND.credit) this.handleCredit(frame, peer);
    if (frame.kind === FRAME_KIND.compactHeads) connection.enableShortHeads();
    if (frame.kind === FRAME_KIND.withdraw) requests.get(frame.stream)?.withdraw();
    if (frame.kind !== FRAME_KIND.cancel) return;
    requests.get(frame.stream)?.cancel();
    requests.delete(frame.stream);
    peer.unsent.get(frame.stream)?.stream.discard();
    connection.dropStream(frame.stream);
  }

  /** Credit for a stream that has ended or that has no window changes nothing and is not counted as unreadable. */
  private handleCredit(frame: LinkFrame, peer: AcceptedPeer): void {
    const credit = decodeCredit(frame.body);
    if (credit.err) {
      this.unreadableCreditCount += 1;
      return;
    }
    if (frame.stream === 0) {
      peer.firstWindowBytes = credit.val;
      return;
    }
    const added = peer.unsent.get(frame.stream)?.stream.addCredit(credit.val) ?? true;
    if (!added) this.unreadableCreditCount += 1;
  }
}
