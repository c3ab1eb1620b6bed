/**
 * Relays between the processes of a fleet. Each pair of a dialing process and a listener has a relay of its
 * own, so that every direction can be delayed or cut by itself. A cut holds the bytes back, as a network
 * does for TCP: when it heals they arrive.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { SocketAddress } from '../../src/model/socket-address.js';

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

const CUT_POLL_MS = 20;

/** A direction of one connection: chunks leave in order, each not before its time, none during a cut. */
class DelayedDirection {
  private readonly waiting: { readonly chunk: Buffer | null; readonly dueMs: number }[] = [];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly source: Socket,
    private readonly target: Socket,
    private readonly delayMs: number,
    private readonly mayPass: () => boolean,
  ) {
    source.on('data', (chunk: Buffer) => {
      this.push(chunk);
    });
    source.on('end', () => {
      this.push(null);
    });
  }

  stop(): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.waiting.length = 0;
  }

  private push(chunk: Buffer | null): void {
    if (this.delayMs === 0 && this.waiting.length === 0 && this.mayPass()) {
      this.deliver(chunk);
      return;
    }
    this.waiting.push({ chunk, dueMs: performance.now() + this.delayMs });
    this.timer ??= setTimeout(() => {
      this.flush();
    }, this.delayMs);
  }

  private flush(): void {
    this.timer = null;
    const pass = this.mayPass();
    while (pass) {
      const next = this.waiting[0];
      if (next === undefined) return;
      if (next.dueMs > performance.now()) break;
      this.waiting.shift();
      this.deliver(next.chunk);
    }
    const dueMs = this.waiting[0]?.dueMs ?? 0;
    this.timer = setTimeout(
      () => {
        this.flush();
      },
      pass ? Math.max(0, dueMs - performance.now()) : CUT_POLL_MS,
    );
  }

  private deliver(chunk: Buffer | null): void {
    if (chunk === null) {
      this.target.end();
      return;
    }
    if (this.target.write(chunk)) return;
    this.source.pause();
    this.target.once('drain', () => this.source.resume());
  }
}

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
    const out = new DelayedDirection(dialer, listener, delayMs, () => this.mayPass(from, to));
    const back = new DelayedDirection(listener, dialer, delayMs, () => this.mayPass(to, from));
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
