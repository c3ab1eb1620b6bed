/** The connections of all callers of one router. */
import { STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import { clockMs } from '../runtime/clock.js';
import { costlyInput } from '../runtime/costly-input.js';
import { InputTurns } from '../runtime/input-turns.js';
import { nodeRuntime } from '../runtime/node-runtime.js';
import { pause } from '../runtime/pause.js';
import { AnswerWindows } from '../sidecar/answer-windows.js';
import type { CallerAnswer } from './caller-answer.js';
import { CallerConnection, type CallerConnectionPorts } from './caller-connection.js';

/**
 * Time in ms without input after which a connection closes while the router stops. A caller that has just got an answer may already
 * have sent its next request.
 */
const QUIET_BEFORE_CLOSE_MS = 200;

/** Interval in ms between checks for connections that are to be closed while the router stops. */
const CLOSE_CHECK_INTERVAL_MS = 25;

const BAD_REQUEST = 400;

/** Statuses of bytes that are no request, by the code of the error. */
const REJECTION_STATUSES: ReadonlyMap<string, number> = new Map([
  ['HPE_HEADER_OVERFLOW', 431],
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

/** Connections by their sockets. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly turns = new InputTurns(clockMs);
  private readonly ports: CallerConnectionPorts;
  private stopping = false;

  constructor(log: CallerConnectionPorts['log']) {
    this.ports = {
      log,
      windows: new AnswerWindows(),
      isStopping: () => this.stopping,
      afterInput: (callback) => {
        this.turns.afterClose(callback);
      },
    };
  }

  /** Follows the connections of a server and all its answers, before any request is handled. */
  attach(server: Server): void {
    server.on('connection', (socket) => {
      this.turns.connectionAccepted();
      costlyInput.follow(socket);
      this.connectionOf(socket);
    });
    server.prependListener('request', (request, response) => {
      this.answerTo(request, response);
    });
    // Without a listener, Node destroys an idle connection; a request on it may have arrived while this process ran late.
    server.on('timeout', (socket) => {
      this.closeIfQuiet(this.connectionOf(socket), 0);
    });
  }

  /** Stops accepting connections, behind those that wait to be accepted: they may carry requests already. */
  stopListening(server: Server): void {
    this.turns.afterClose(() => {
      // The server's own `close` destroys idle connections, on which a request may have arrived or an answer may still be on the way.
      NetServer.prototype.close.call(server);
    });
  }

  /**
   * Ends every connection once it owes no answer and is quiet, and those that are left after `ms` in any case. Resolves with the
   * number of requests that were left without a complete answer.
   */
  async endAll(ms: number): Promise<number> {
    this.stopping = true;
    const untilMs = clockMs() + ms;
    while (this.connections.size > 0 && clockMs() < untilMs) {
      for (const connection of this.connections.values())
        this.closeIfQuiet(connection, QUIET_BEFORE_CLOSE_MS);
      await pause(nodeRuntime, CLOSE_CHECK_INTERVAL_MS);
    }
    const left = [...this.connections.values()];
    const unanswered = left.reduce((sum, connection) => sum + connection.openAnswers, 0);
    for (const connection of left) connection.cutOff('the router stops');
    while (this.connections.size > 0) await pause(nodeRuntime, CLOSE_CHECK_INTERVAL_MS);
    return unanswered;
  }

  private closeIfQuiet(connection: CallerConnection, quietMs: number): void {
    if (!connection.isQuietFor(quietMs)) return;
    this.turns.afterClose(() => {
      if (connection.isQuietFor(quietMs)) connection.close();
    });
  }

  /** Returns the answer to a request; null if its connection ends and the request is discarded. */
  answerTo(request: IncomingMessage, response: ServerResponse): CallerAnswer | null {
    return this.connectionOf(request.socket).answerTo(request, response);
  }

  /** Handles bytes that are no request; nothing is written into the answers to the requests in front of them. */
  rejectUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable || socket.readableEnded) {
      socket.destroy();
      return;
    }
    this.connectionOf(socket).rejectUnreadable(rejectionOf(error.code));
  }

  private connectionOf(socket: Socket): CallerConnection {
    const existing = this.connections.get(socket);
    if (existing !== undefined) return existing;
    const connection = new CallerConnection(socket, this.ports);
    if (socket.destroyed) return connection;
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
    });
    return connection;
  }
}

/** Returns the answer to bytes that are no request; none to those behind a request that has announced the end of its connection. */
function rejectionOf(code: string | undefined): string {
  if (code === 'HPE_CLOSED_CONNECTION') return '';
  const status = REJECTION_STATUSES.get(code ?? '') ?? BAD_REQUEST;
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
