/** Connections to one back end: idle ones are used again, the one that rested least first. */
import type { SocketAddress } from '../model/socket-address.js';
import {
  BackendConnection,
  type BackendRequest,
  type BackendRequestHandlers,
  type ConnectionHeaders,
} from './backend-connection.js';

/**
 * Longest rest in ms of a connection that is used for a request which must not run twice. Back ends may forget a
 * connection that rests, without a word; such a request would then end with its outcome unknown.
 */
const LONGEST_REST_MS = 200;

/** A request under way. */
export interface RunningRequest {
  /** Breaks the connection off, so that the back end can stop working. */
  cancel(): void;
}

/** Sends requests to one back end. */
export interface RequestPool {
  /** Connections that were opened. */
  readonly opened: number;
  /** Sends a request. */
  run(request: BackendRequest, handlers: BackendRequestHandlers): RunningRequest;
  /** Closes all connections; requests under way are broken off without a word. */
  destroy(): void;
}

/** Connections to one back end. */
export class BackendPool implements RequestPool {
  /** Connections that were opened. */
  opened = 0;
  private readonly connections = new Set<BackendConnection>();
  private idle: BackendConnection[] = [];

  constructor(
    private readonly address: SocketAddress,
    private readonly names: ConnectionHeaders,
    private readonly nowMs: () => number,
    /** The back end's address refused a connection: no process listens there. */
    private readonly onRefused: () => void,
  ) {}

  /** Sends a request on an idle connection or a new one. */
  run(request: BackendRequest, handlers: BackendRequestHandlers): RunningRequest {
    const connection = this.takeIdle(request.repeatable ? Infinity : LONGEST_REST_MS) ?? this.open();
    connection.run(request, {
      ...handlers,
      onAnswer: (answer) => {
        handlers.onAnswer(answer);
      },
      onBody: (chunk) => {
        handlers.onBody(chunk);
      },
      onEnd: () => {
        if (connection.usable) this.idle.push(connection);
        else connection.destroy();
        handlers.onEnd();
      },
      onBroken: (reason, detail, sent) => {
        handlers.onBroken(reason, detail, sent);
      },
    });
    return {
      cancel: () => {
        connection.destroy();
      },
    };
  }

  /** Closes all connections; requests under way are broken off without a word. */
  destroy(): void {
    for (const connection of [...this.connections]) connection.destroy();
    this.idle = [];
  }

  /** The one that was used last; the others have rested for longer. */
  private takeIdle(longestRestMs: number): BackendConnection | null {
    for (;;) {
      const connection = this.idle.at(-1);
      if (connection === undefined) return null;
      if (connection.usable && connection.restedMs > longestRestMs) return null;
      this.idle.pop();
      if (connection.usable) return connection;
      connection.destroy();
    }
  }

  private open(): BackendConnection {
    this.opened += 1;
    const connection = new BackendConnection(this.address, this.names, this.nowMs, (closed, refused) => {
      this.connections.delete(closed);
      this.idle = this.idle.filter((idle) => idle !== closed);
      if (refused) this.onRefused();
    });
    this.connections.add(connection);
    return connection;
  }
}
