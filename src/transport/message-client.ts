/** Maintains a connection to one address, with exponential backoff between attempts. */
import { connect, type Socket } from 'node:net';
import { connectOptions, type SocketAddress } from '../model/socket-address.js';
import type { Client, ClientHandlers, ClientIdentity } from '../runtime/runtime.js';
import { PROTOCOL_VERSION } from './hello.js';
import { MessageConnection } from './message-connection.js';

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;
/**
 * Time in ms after which an attempt to connect fails. A machine that is starting drops the first packet of a connection,
 * which is sent again only after 1 s; a new attempt gets through sooner, and an election may wait for it.
 */
const CONNECT_TIMEOUT_MS = 200;

/** Client that reconnects automatically. */
export class MessageClient implements Client {
  private connection: MessageConnection | null = null;
  private backoffMs = INITIAL_BACKOFF_MS;
  private reconnectTimer: NodeJS.Timeout | null = null;
  private stopped = false;
  private closedBytesSent = 0;
  private closedBytesReceived = 0;

  constructor(
    readonly address: SocketAddress,
    private readonly identity: ClientIdentity,
    private readonly handlers: ClientHandlers,
    /** Local IP address to dial from; null lets the system choose. */
    private readonly localAddress: string | null = null,
  ) {
    this.dial();
  }

  /** Sends if connected; otherwise drops the message and returns `false`. */
  send(message: unknown): boolean {
    if (this.connection?.open !== true) return false;
    this.connection.send(message);
    return true;
  }

  /** See `Client`. */
  sendEncoded(frame: Buffer): boolean {
    if (this.connection?.open !== true) return false;
    this.connection.sendEncoded(frame);
    return true;
  }

  /** Returns the bytes sent and received over all connections of this client. */
  traffic(): { readonly bytesSent: number; readonly bytesReceived: number } {
    return {
      bytesSent: this.closedBytesSent + (this.connection?.bytesSent ?? 0),
      bytesReceived: this.closedBytesReceived + (this.connection?.bytesReceived ?? 0),
    };
  }

  /** Closes permanently, without a callback to the owner. */
  stop(): void {
    this.stopped = true;
    if (this.reconnectTimer !== null) clearTimeout(this.reconnectTimer);
    this.connection?.close('client is stopping');
  }

  private dial(): void {
    const socket = connect(connectOptions(this.address, this.localAddress));
    socket.setTimeout(CONNECT_TIMEOUT_MS);
    const connection = new MessageConnection(socket, {
      onMessage: (message) => {
        this.backoffMs = INITIAL_BACKOFF_MS;
        this.handlers.onMessage(message);
      },
      onClose: (reason) => {
        this.handleClose(reason);
      },
    });
    this.connection = connection;
    this.failOnConnectTimeout(socket, connection);
    socket.once('connect', () => {
      socket.setTimeout(0);
      this.sendHello(connection);
    });
  }

  private failOnConnectTimeout(socket: Socket, connection: MessageConnection): void {
    socket.once('timeout', () => {
      if (socket.connecting) connection.close('connect timed out');
    });
  }

  private sendHello(connection: MessageConnection): void {
    connection.watchSilence();
    connection.send({ kind: 'hello', version: PROTOCOL_VERSION, ...this.identity });
    this.handlers.onOpen(connection);
  }

  private handleClose(reason: string): void {
    const connection = this.connection;
    this.connection = null;
    this.closedBytesSent += connection?.bytesSent ?? 0;
    this.closedBytesReceived += connection?.bytesReceived ?? 0;
    if (this.stopped) return;
    this.handlers.onClose(reason);
    this.reconnectTimer = setTimeout(() => {
      this.dial();
    }, this.backoffMs);
    this.backoffMs = Math.min(this.backoffMs * 2, MAX_BACKOFF_MS);
  }
}
