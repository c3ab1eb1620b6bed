/**
 * Relays between the processes of a fleet. Each pair of a dialing and a listening process has its own relay, so that
 * each direction can be delayed or cut separately. A cut holds the bytes back, as a network partition does for TCP:
 * they arrive once the cut has ended.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { DelayedDirection } from '../delayed-direction.js';

/** The two processes that a relay connects. */
export interface RelayLink {
  /** Name of the dialing process. */
  readonly from: string;
  /** Name of the listening process. */
  readonly to: string;
  /** One-way latency, in ms. */
  readonly delayMs: number;
}

/** Whether bytes may currently pass from one process to another. */
export type MayPass = (from: string, to: string) => boolean;

/** TCP relay of one link. */
export class Relay {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(
    private readonly link: RelayLink,
    private readonly target: SocketAddress,
    private readonly mayPass: MayPass,
  ) {
    this.server = createServer({ allowHalfOpen: true }, (socket) => {
      this.join(socket);
    });
  }

  /** Starts listening. */
  async listen(address: SocketAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, resolve);
    });
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private join(dialer: Socket): void {
    const { from, to, delayMs } = this.link;
    const listener = connect({ host: this.target.host, port: this.target.port, allowHalfOpen: true });
    const toListener = new DelayedDirection(dialer, listener, () => ({
      delayMs,
      held: !this.mayPass(from, to),
    }));
    const toDialer = new DelayedDirection(listener, dialer, () => ({
      delayMs,
      held: !this.mayPass(to, from),
    }));
    const close = (): void => {
      toListener.stop();
      toDialer.stop();
      dialer.destroy();
      listener.destroy();
      this.sockets.delete(dialer);
      this.sockets.delete(listener);
    };
    for (const socket of [dialer, listener]) {
      socket.setNoDelay(true);
      this.sockets.add(socket);
      socket.on('error', close);
      socket.on('close', close);
    }
  }
}
