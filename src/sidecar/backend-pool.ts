/** Connection pool of one back end. Idle connections are reused, the most recently used one first. */
import { InputTurns } from '../runtime/input-turns.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { SurplusBytes } from './answer-trace.js';
import {
  BackendConnection,
  type BackendRequest,
  type BackendRequestHandlers,
  type ConnectionHeaders,
} from './backend-connection.js';

/**
 * Maximum idle time in ms of a connection that is reused for a request which must not run twice. A back end may drop an
 * idle connection without closing it; the outcome of such a request would then be unknown.
 */
const MAX_IDLE_NON_REPEATABLE_MS = 200;

/** A request in flight. */
export interface InFlightRequest {
  /** Closes the connection, so that the back end can stop processing the request. */
  cancel(): void;
  /** Stops reading the answer, or goes on; the back end then waits once the buffers between are full. */
  setPaused(paused: boolean): void;
}

/** Sends requests to one back end. */
export interface RequestPool {
  /** Number of connections opened so far. */
  readonly opened: number;
  /** Sends a request. */
  run(request: BackendRequest, handlers: BackendRequestHandlers): InFlightRequest;
  /** Closes all connections; requests in flight end without a callback. */
  destroy(): void;
}

/** Connection pool of one back end. */
export class BackendPool implements RequestPool {
  /** Number of connections opened so far. */
  opened = 0;
  private readonly connections = new Set<BackendConnection>();
  private idle: BackendConnection[] = [];
  private destroyed = false;

  constructor(
    private readonly address: SocketAddress,
    private readonly names: ConnectionHeaders,
    private readonly nowMs: () => number,
    /** Called when the back end's address refuses a connection, that is, no process listens there. */
    private readonly onRefused: () => void,
    private readonly turns = new InputTurns(nowMs),
    /** Called when bytes arrive on a connection without a request in flight. */
    private readonly onSurplus: (surplus: SurplusBytes) => void = () => undefined,
  ) {}

  /** Sends a request on an idle connection or a new one, unless pending input cancels it. */
  run(request: BackendRequest, handlers: BackendRequestHandlers): InFlightRequest {
    let connection: BackendConnection | null = null;
    let cancelled = false;
    this.turns.afterInput(() => {
      if (cancelled || this.destroyed) return;
      connection = this.send(request, handlers);
    });
    return {
      cancel: () => {
        cancelled = true;
        connection?.destroy();
      },
      setPaused: (paused) => {
        // The connection may carry another request by now.
        if (connection?.carries(request) === true) connection.setPaused(paused);
      },
    };
  }

  private send(request: BackendRequest, handlers: BackendRequestHandlers): BackendConnection {
    const connection =
      this.acquireIdle(request.repeatable ? Infinity : MAX_IDLE_NON_REPEATABLE_MS, request.requestId) ??
      this.open();
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
    return connection;
  }

  /** Closes all connections; requests in flight end without a callback. */
  destroy(): void {
    this.destroyed = true;
    for (const connection of [...this.connections]) connection.destroy();
    this.idle = [];
  }

  /**
   * Returns the most recently used idle connection that was not idle for longer than `maxIdleMs` and has not carried the
   * request before; null if there is none.
   */
  private acquireIdle(maxIdleMs: number, requestId: string): BackendConnection | null {
    for (const connection of this.idle.filter(({ usable }) => !usable)) connection.destroy();
    const at = this.idle.findLastIndex((connection) => {
      return connection.idleForMs <= maxIdleMs && !connection.hasCarried(requestId);
    });
    return at < 0 ? null : (this.idle.splice(at, 1)[0] ?? null);
  }

  private open(): BackendConnection {
    this.opened += 1;
    const onClosed = (closed: BackendConnection, refused: boolean): void => {
      this.connections.delete(closed);
      this.idle = this.idle.filter((idle) => idle !== closed);
      if (refused) this.onRefused();
    };
    const connection = new BackendConnection(this.address, this.names, this.nowMs, onClosed, this.onSurplus);
    this.connections.add(connection);
    return connection;
  }
}
