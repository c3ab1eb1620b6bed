/**
 * The network of a soak: every port of a machine that others reach stands behind a relay on loopback. A relay knows
 * the machine that dials by its source address, so that each direction between two machines can be delayed, cut,
 * silenced or reset by itself.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { connectOptions } from '../../src/model/socket-address.js';

/** Pause between looks at a direction that is held back, in ms. */
const HELD_POLL_MS = 15;

/** What happens to the bytes from one machine to another. */
export interface LinkState {
  readonly delayMs: number;
  /** Nothing passes; what was sent arrives when that ends, unless the connection has gone. */
  readonly held: boolean;
}

const CLEAR: LinkState = { delayMs: 0, held: false };

/** Chunks in order, none before its time, none while the direction is held. */
class Direction {
  private readonly waiting: { readonly chunk: Buffer | null; readonly dueMs: number }[] = [];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    source: Socket,
    private readonly target: Socket,
    private readonly state: () => LinkState,
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
    this.waiting.push({ chunk, dueMs: performance.now() + this.state().delayMs });
    if (this.timer === null) this.flush();
  }

  private flush(): void {
    this.timer = null;
    for (;;) {
      const next = this.waiting[0];
      if (next === undefined) return;
      const leftMs = next.dueMs - performance.now();
      if (this.state().held || leftMs > 0) {
        this.timer = setTimeout(
          () => {
            this.flush();
          },
          this.state().held ? HELD_POLL_MS : Math.max(1, leftMs),
        );
        return;
      }
      this.waiting.shift();
      if (next.chunk === null) this.target.end();
      else this.target.write(next.chunk);
    }
  }
}

/** A connection that passes through a relay. */
interface RelayedConnection {
  readonly from: string;
  readonly to: string;
  readonly close: (reset: boolean) => void;
}

/** All relays of a soak. */
export class SoakNetwork {
  private readonly states = new Map<string, LinkState>();
  private readonly connections = new Set<RelayedConnection>();
  private readonly servers: Server[] = [];

  constructor(
    /** Machine that an IP address belongs to; null for callers, the operator and back ends. */
    private readonly machineOf: (ip: string) => string | null,
  ) {}

  /** Starts a relay in front of one port of a machine. */
  async relay(machine: string, advertisedIp: string, ip: string, port: number): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, (dialer) => {
      const from = this.machineOf(dialer.remoteAddress ?? '') ?? 'outside';
      this.join(dialer, from, machine, ip, port);
    });
    this.servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, advertisedIp, resolve);
    });
  }

  /** Sets what happens to bytes from one machine to another. */
  set(from: string, to: string, state: Partial<LinkState>): void {
    this.states.set(`${from}>${to}`, { ...this.stateOf(from, to), ...state });
  }

  /** Everything passes again. */
  clear(): void {
    this.states.clear();
  }

  /** Resets the connections of a machine. */
  reset(machine: string): void {
    for (const connection of this.connections) {
      if (connection.from === machine || connection.to === machine) connection.close(true);
    }
  }

  /** Closes everything. */
  close(): void {
    for (const server of this.servers) server.close();
    for (const connection of this.connections) connection.close(false);
  }

  private stateOf(from: string, to: string): LinkState {
    return this.states.get(`${from}>${to}`) ?? CLEAR;
  }

  private join(dialer: Socket, from: string, to: string, ip: string, port: number): void {
    const listener = connect({ ...connectOptions({ host: ip, port }, null), allowHalfOpen: true });
    const out = new Direction(dialer, listener, () => this.stateOf(from, to));
    const back = new Direction(listener, dialer, () => this.stateOf(to, from));
    const sockets = [dialer, listener];
    const connection: RelayedConnection = {
      from,
      to,
      close: (reset) => {
        out.stop();
        back.stop();
        this.connections.delete(connection);
        for (const socket of sockets) {
          if (reset && !socket.connecting) socket.resetAndDestroy();
          else socket.destroy();
        }
      },
    };
    this.connections.add(connection);
    for (const socket of sockets) {
      socket.setNoDelay(true);
      // While a direction is held nobody learns of an end: the network says nothing.
      const ended = (): void => {
        this.endWhenClear(connection);
      };
      socket.on('error', ended);
      socket.on('close', ended);
    }
  }

  private endWhenClear(connection: RelayedConnection): void {
    if (!this.connections.has(connection)) return;
    const { from, to } = connection;
    if (!this.stateOf(from, to).held && !this.stateOf(to, from).held) {
      connection.close(false);
      return;
    }
    setTimeout(() => {
      this.endWhenClear(connection);
    }, HELD_POLL_MS);
  }
}
