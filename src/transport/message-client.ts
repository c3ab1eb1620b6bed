/** Dials one address and keeps a connection to it, with a growing pause between attempts. */
import { connect, type Socket } from 'node:net';
import { connectOptions, type SocketAddress } from '../model/socket-address.js';
import type { Client, ClientHandlers, ClientIdentity } from '../runtime/runtime.js';
import { PROTOCOL_VERSION } from './hello.js';
import { MessageConnection } from './message-connection.js';

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** A self-reconnecting dialer. */
export class MessageClient implements Client {
  private connection: MessageConnection | null = null;
  private pauseMs = FIRST_PAUSE_MS;
  private timer: NodeJS.Timeout | null = null;
  private stopped = false;
  private closedBytesSent = 0;
  private closedBytesReceived = 0;

  constructor(
    readonly address: SocketAddress,
    private readonly identity: ClientIdentity,
    private readonly handlers: ClientHandlers,
    /** Local IP address to dial from; null leaves that to the system. */
    private readonly localAddress: string | null = null,
  ) {
    this.dial();
  }

  /** Sends when connected; otherwise the message is dropped and `false` returned. */
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

  /** Bytes sent and received over all connections of this client. */
  traffic(): { readonly bytesSent: number; readonly bytesReceived: number } {
    return {
      bytesSent: this.closedBytesSent + (this.connection?.bytesSent ?? 0),
      bytesReceived: this.closedBytesReceived + (this.connection?.bytesReceived ?? 0),
    };
  }

  /** Closes for good; the owner is not told. */
  stop(): void {
    this.stopped = true;
    if (this.timer !== null) clearTimeout(this.timer);
    this.connection?.close('client is stopping');
  }

  private dial(): void {
    const socket = connect(connectOptions(this.address, this.localAddress));
    socket.setTimeout(CONNECT_TIMEOUT_MS);
    const connection = new MessageConnection(socket, {
      onMessage: (message) => {
        this.pauseMs = FIRST_PAUSE_MS;
        this.handlers.onMessage(message);
      },
      onClose: (reason) => {
        this.closedConnection(reason);
      },
    });
    this.connection = connection;
    this.failOnConnectTimeout(socket, connection);
    socket.once('connect', () => {
      socket.setTimeout(0);
      this.greet(connection);
    });
  }

  private failOnConnectTimeout(socket: Socket, connection: MessageConnection): void {
    socket.once('timeout', () => {
      if (socket.connecting) connection.close('connect timed out');
    });
  }

  private greet(connection: MessageConnection): void {
    connection.watchSilence();
    connection.send({ kind: 'hello', version: PROTOCOL_VERSION, ...this.identity });
    this.handlers.onOpen(connection);
  }

  private closedConnection(reason: string): void {
    const connection = this.connection;
    this.connection = null;
    this.closedBytesSent += connection?.bytesSent ?? 0;
    this.closedBytesReceived += connection?.bytesReceived ?? 0;
    if (this.stopped) return;
    this.handlers.onClose(reason);
    this.timer = setTimeout(() => {
      this.dial();
    }, this.pauseMs);
    this.pauseMs = Math.min(this.pauseMs * 2, LONGEST_PAUSE_MS);
  }
}
