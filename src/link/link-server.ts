/** The called side of links: accepts connections of other daemons and hands their requests to an owner. */
import { createServer, type Server, type Socket } from 'node:net';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import { LinkConnection, type LinkConnectionHandlers } from './link-connection.js';
import type { LinkPacer } from './link-pacer.js';
import { FRAME_KIND, type LinkFrame } from './link-frame.js';
import type { AnswerHead, FailureHead, RefusalHead, RequestHead, StatusHead } from './link-messages.js';

/** Bytes of one connection that may wait to be sent before the answers on it are held back. */
const MAX_WAITING_BYTES = 1024 * 1024;

/** Where the owner of a request says what became of it. */
export interface RequestReply {
  refuse(head: RefusalHead): void;
  fail(head: FailureHead): void;
  answer(head: AnswerHead, body: Buffer): void;
  /** Sends more of the body; false when the caller should be waited for with `onRoom`. */
  body(chunk: Buffer): boolean;
  end(): void;
  /** Calls back when more of the body may be sent. */
  onRoom(callback: () => void): void;
}

/** A request as its owner keeps it. */
export interface AcceptedRequest {
  /** The caller has gone or has given up. */
  cancel(): void;
  /** The request is not wanted any more; it is refused if it has not begun. */
  withdraw(): void;
}

/** Takes a request; returns how it is cancelled. */
export type TakeRequest = (head: RequestHead, body: Buffer, reply: RequestReply) => AcceptedRequest;

/** A listener for links. */
export class LinkServer {
  private readonly connections = new Set<LinkConnection>();
  private readonly server: Server;

  constructor(
    private readonly nowMs: () => number,
    private readonly life: string,
    private readonly takeRequest: TakeRequest,
    /** How busy the back end is, for probes; null while nothing is known of it. */
    private readonly status: () => StatusHead | null,
    /** Paces answers over a slow network link; null where it is fast. */
    private readonly pacer: LinkPacer | null = null,
  ) {
    this.server = createServer((socket) => {
      this.accept(socket);
    });
  }

  /** Starts listening; the error names the address. */
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
   * Stops listening and ends every connection. Nothing runs any more, so callers' daemons are told that what has no
   * answer was not run: they may send it elsewhere, also what must not run twice.
   */
  close(): void {
    this.server.close();
    for (const connection of this.connections) connection.sayGoodbye();
  }

  private accept(socket: Socket): void {
    const requests = new Map<number, AcceptedRequest>();
    const handlers: LinkConnectionHandlers = {
      onFrame: (frame) => {
        this.receive(frame, connection, requests);
      },
      onClose: () => {
        this.connections.delete(connection);
        for (const request of requests.values()) request.cancel();
        requests.clear();
      },
    };
    // What stays on this machine does not pass the network link.
    const pacer = socket.remoteAddress === socket.localAddress ? null : this.pacer;
    const connection: LinkConnection = new LinkConnection(socket, this.nowMs, handlers, pacer);
    this.connections.add(connection);
    connection.send(FRAME_KIND.hello, 0, { life: this.life });
  }

  private receive(
    frame: LinkFrame,
    connection: LinkConnection,
    requests: Map<number, AcceptedRequest>,
  ): void {
    if (frame.kind === FRAME_KIND.request) {
      const forget = (): void => {
        requests.delete(frame.stream);
      };
      const reply = makeReply(connection, frame.stream, forget);
      const accepted = this.takeRequest(frame.head as RequestHead, frame.body, reply.port);
      if (!reply.finished()) requests.set(frame.stream, accepted);
      return;
    }
    if (frame.kind === FRAME_KIND.probe) {
      const status = this.status();
      if (status !== null) connection.send(FRAME_KIND.status, 0, status);
      return;
    }
    if (frame.kind === FRAME_KIND.withdraw) requests.get(frame.stream)?.withdraw();
    if (frame.kind !== FRAME_KIND.cancel) return;
    requests.get(frame.stream)?.cancel();
    requests.delete(frame.stream);
    connection.dropStream(frame.stream);
  }
}

function makeReply(
  connection: LinkConnection,
  stream: number,
  forget: () => void,
): { readonly port: RequestReply; readonly finished: () => boolean } {
  let finished = false;
  const finish = (): void => {
    finished = true;
    forget();
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
      if (!head.moreFollows) finish();
      connection.send(FRAME_KIND.answer, stream, head, body);
    },
    body(chunk) {
      connection.send(FRAME_KIND.body, stream, undefined, chunk);
      return connection.waitingBytes < MAX_WAITING_BYTES;
    },
    end() {
      finish();
      connection.send(FRAME_KIND.end, stream, undefined);
    },
    onRoom(callback) {
      connection.onDrain(callback);
    },
  };
  return { port, finished: () => finished };
}
