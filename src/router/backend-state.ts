/** Per-back-end state of a router: connection pool, slots and health. */
import { Pool } from 'undici';
import type { ServiceConfiguration } from '../config/configuration.js';
import { formatAddress, type SocketAddress } from '../model/socket-address.js';
import { clockMs } from '../runtime/clock.js';
import { BackendHealth } from './backend-health.js';
import { BackendStatements, type StatementLog } from './backend-statements.js';
import { SlotLimiter } from './slot-limiter.js';

/** Maximum time to open a connection, in ms. */
const CONNECT_TIMEOUT_MS = 500;

/** Time in ms without a byte of a response body after which the connection is closed. */
const BODY_IDLE_TIMEOUT_MS = 30_000;

/** State of one back end. */
export interface BackendState {
  readonly address: SocketAddress;
  readonly pool: Pool;
  readonly limiter: SlotLimiter;
  readonly statements: BackendStatements;
  health: BackendHealth;
  /** Session under which `health` was observed; health is reset with each new session. */
  session: number;
}

/** States of the back ends of all services, created on first use. */
export class BackendStates {
  private readonly states = new Map<string, BackendState>();

  constructor(
    private readonly routers: number,
    private readonly maxQueued: number,
    private readonly addressOverrides: Readonly<Record<string, SocketAddress>>,
    private readonly log: StatementLog,
    /** Returns the session of a back end; 0 while it has none. */
    private readonly sessionOf: (backend: string) => number,
  ) {}

  /** Returns the state of a back end, or undefined before its first use. */
  peek(backend: string): BackendState | undefined {
    return this.states.get(backend);
  }

  /** Iterates over all back ends used so far. */
  entries(): IterableIterator<[string, BackendState]> {
    return this.states.entries();
  }

  /** Returns the state of a back end, creating it if needed; null if the configuration does not contain it. */
  get(service: ServiceConfiguration, backend: string): BackendState | null {
    const configured = service.backends[backend];
    if (configured === undefined) return null;
    const address = this.addressOverrides[backend] ?? configured.address;
    const existing = this.states.get(backend);
    if (existing !== undefined && formatAddress(existing.address) === formatAddress(address)) return existing;
    if (existing !== undefined) void existing.pool.close();
    const created = this.create(backend, service, address);
    this.states.set(backend, created);
    return created;
  }

  /** Adjusts the slots to a new configuration. */
  resize(services: ReadonlyMap<string, ServiceConfiguration>): void {
    for (const service of services.values()) {
      for (const backend of Object.keys(service.backends)) {
        this.states.get(backend)?.limiter.resize(this.shareOf(service.slots));
      }
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.states.values()].map(({ pool }) => pool.destroy()));
  }

  private create(backend: string, service: ServiceConfiguration, address: SocketAddress): BackendState {
    const slots = this.shareOf(service.slots);
    const pool = new Pool(`http://${formatAddress(address)}`, {
      connections: Math.min(slots, this.shareOf(service.connections)),
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: BODY_IDLE_TIMEOUT_MS,
    });
    const statements = new BackendStatements(backend, clockMs, 1 / this.routers, this.log);
    const limiter = new SlotLimiter(slots, this.maxQueued, statements);
    const session = this.sessionOf(backend);
    return { address, pool, limiter, statements, health: new BackendHealth(), session };
  }

  /** Returns this router's share of a limit that applies to all routers together. */
  private shareOf(limit: number): number {
    return Math.max(1, Math.floor(limit / this.routers));
  }
}
