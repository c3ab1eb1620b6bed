/**
 * The network of a soak: every port of a machine that others dial is behind a relay on loopback. A relay identifies the
 * dialling machine by its source address, so that each direction between two machines can be delayed, held, silenced or
 * reset separately.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { DelayedDirection, type DirectionState } from '../delayed-direction.js';

/** Interval in ms between checks whether the end of a connection may be passed on. */
const HELD_POLL_MS = 15;

const CLEAR: DirectionState = { delayMs: 0, held: false };

/** A connection that passes through a relay. */
interface RelayedConnection {
  readonly from: string;
  readonly to: string;
  readonly close: (reset: boolean) => void;
  /** Drops all further bytes without notice to either side. */
  readonly blackhole: () => void;
}

/** All relays of a soak. */
export class SoakNetwork {
  private readonly states = new Map<string, DirectionState>();
  private readonly connections = new Set<RelayedConnection>();
  private readonly servers: Server[] = [];

  constructor(
    /** Returns the machine of an IP address; null for callers, the operator and back ends. */
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

  /** Changes the state of the direction from one machine to another. */
  set(from: string, to: string, state: Partial<DirectionState>): void {
    this.states.set(`${from}>${to}`, { ...this.stateOf(from, to), ...state });
  }

  /** Clears the state of all directions. */
  clear(): void {
    this.states.clear();
  }

  /** Resets the connections of a machine. */
  reset(machine: string): void {
    for (const connection of this.connections) {
      if (connection.from === machine || connection.to === machine) connection.close(true);
    }
  }

  /** Drops all further bytes of a machine's present connections; new connections work. */
  silence(machine: string): void {
    for (const connection of this.connections) {
      if (connection.from === machine || connection.to === machine) connection.blackhole();
    }
  }

  /** Closes all relays and connections. */
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
      blackhole: () => {
        out.blackhole();
        back.blackhole();
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
      // While a direction is held, the end of a connection is not passed on either.
      const onEnd = (): void => {
        this.closeWhenClear(connection);
      };
      socket.on('error', onEnd);
      socket.on('close', onEnd);
    }
  }

  private closeWhenClear(connection: RelayedConnection): void {
    if (!this.connections.has(connection)) return;
    const { from, to } = connection;
    if (!this.stateOf(from, to).held && !this.stateOf(to, from).held) {
      connection.close(false);
      return;
    }
    setTimeout(() => {
      this.closeWhenClear(connection);
    }, HELD_POLL_MS);
  }
}
