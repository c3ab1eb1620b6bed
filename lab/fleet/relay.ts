/**
 * Relays between the processes of a fleet. Each pair of a dialing process and a listener has a relay of its
 * own, so that every direction can be delayed or cut by itself. A cut holds the bytes back, as a network
 * does for TCP: when it heals they arrive.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { DelayedDirection } from '../delayed-direction.js';

/** The two processes that a relay joins. */
export interface RelayLink {
  /** Process that dials. */
  readonly from: string;
  /** Process that listens. */
  readonly to: string;
  /** One way, in ms. */
  readonly delayMs: number;
}

/** Decides whether bytes may pass from one process to another now. */
export type MayPass = (from: string, to: string) => boolean;

/** One relay. */
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

  /** Starts to listen. */
  async listen(address: SocketAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, resolve);
    });
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private join(dialer: Socket): void {
    const { from, to, delayMs } = this.link;
    const listener = connect({ host: this.target.host, port: this.target.port, allowHalfOpen: true });
    const out = new DelayedDirection(dialer, listener, () => ({ delayMs, held: !this.mayPass(from, to) }));
    const back = new DelayedDirection(listener, dialer, () => ({ delayMs, held: !this.mayPass(to, from) }));
    const close = (): void => {
      out.stop();
      back.stop();
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
