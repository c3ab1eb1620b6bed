/** Accepts internal connections: checks the hello, then passes the peer to the owner of the server. */
import { createServer, type Server, type Socket } from 'node:net';
import { Err, Ok, type Result } from '../result.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { Listener, PeerAcceptor, PeerHandlers } from '../runtime/runtime.js';
import { checkHello } from './hello.js';
import { MessageConnection } from './message-connection.js';

/** Time in ms after which a connection without a hello is closed. */
const HELLO_TIMEOUT_MS = 2_000;

/** A listener for internal connections. */
export class MessageServer implements Listener {
  private readonly connections = new Set<MessageConnection>();
  private readonly server: Server;
  private closedBytesSent = 0;

  constructor(
    private readonly token: string,
    private readonly acceptor: PeerAcceptor,
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

  /** Bytes sent over all connections since the start, including closed ones. */
  get bytesSent(): number {
    return [...this.connections].reduce(
      (sum, connection) => sum + connection.bytesSent,
      this.closedBytesSent,
    );
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    for (const connection of this.connections) connection.close('server is stopping');
  }

  private accept(socket: Socket): void {
    let handlers: PeerHandlers | null = null;
    const connection: MessageConnection = new MessageConnection(socket, {
      onMessage: (message) => {
        if (handlers !== null) {
          handlers.onMessage(message);
          return;
        }
        handlers = this.acceptHello(connection, message);
        if (handlers !== null) clearTimeout(helloTimer);
      },
      onClose: (reason) => {
        clearTimeout(helloTimer);
        this.connections.delete(connection);
        this.closedBytesSent += connection.bytesSent;
        if (handlers === null) this.acceptor.onRefused(reason);
        else handlers.onClose(reason);
      },
    });
    const helloTimer = setTimeout(() => {
      connection.close('no hello in time');
    }, HELLO_TIMEOUT_MS);
    this.connections.add(connection);
  }

  private acceptHello(connection: MessageConnection, message: unknown): PeerHandlers | null {
    const hello = checkHello(message, this.token);
    if (typeof hello === 'string') {
      connection.close(hello);
      return null;
    }
    return this.acceptor.onPeer(hello, connection);
  }
}
