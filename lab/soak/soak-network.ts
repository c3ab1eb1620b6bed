/**
 * The network of a soak: every port of a machine that others reach stands behind a relay on loopback. A relay knows
 * the machine that dials by its source address, so that each direction between two machines can be delayed, cut,
 * silenced or reset by itself.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { DelayedDirection, type DirectionState } from '../delayed-direction.js';

/** Pause between looks at whether an end may be told, in ms. */
const HELD_POLL_MS = 15;

const CLEAR: DirectionState = { delayMs: 0, held: false };

/** A connection that passes through a relay. */
interface RelayedConnection {
  readonly from: string;
  readonly to: string;
  readonly close: (reset: boolean) => void;
  /** Passes nothing any more, and tells neither side. */
  readonly swallow: () => void;
}

/** All relays of a soak. */
export class SoakNetwork {
  private readonly states = new Map<string, DirectionState>();
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
  set(from: string, to: string, state: Partial<DirectionState>): void {
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

  /** The connections of a machine that stand now carry nothing any more, for good; new ones work. */
  silence(machine: string): void {
    for (const connection of this.connections) {
      if (connection.from === machine || connection.to === machine) connection.swallow();
    }
  }

  /** Closes everything. */
  close(): void {
    for (const server of this.servers) server.close();
    for (const connection of this.connections) connection.close(false);
  }

  private stateOf(from: string, to: string): DirectionState {
    return this.states.get(`${from}>${to}`) ?? CLEAR;
  }

  private join(dialer: Socket, from: string, to: string, ip: string, port: number): void {
    const listener = connect({ host: ip, port, allowHalfOpen: true });
    const out = new DelayedDirection(dialer, listener, () => this.stateOf(from, to));
    const back = new DelayedDirection(listener, dialer, () => this.stateOf(to, from));
    const sockets = [dialer, listener];
    const connection: RelayedConnection = {
      from,
      to,
      swallow: () => {
        out.swallow();
        back.swallow();
      },
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
