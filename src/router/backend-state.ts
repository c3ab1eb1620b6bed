/** Everything that a router holds about one back end: connections, slots, what was seen of it. */
import { Pool } from 'undici';
import type { ServiceConfiguration } from '../config/configuration.js';
import { formatAddress, type SocketAddress } from '../model/socket-address.js';
import { BackendHealth } from './backend-health.js';
import { SlotLimiter } from './slot-limiter.js';

/** Time in ms for opening a connection. */
const CONNECT_TIMEOUT_MS = 500;

/** Time in ms without a byte of a body after which the connection is broken off. */
const BODY_SILENCE_MS = 30_000;

/** One back end as a router sees it. */
export interface BackendState {
  readonly address: SocketAddress;
  readonly pool: Pool;
  readonly limiter: SlotLimiter;
  health: BackendHealth;
  /** Session under which `health` was observed; a new one starts with a clean record. */
  session: number;
}

/** Back ends of all services, made when they are first used. */
export class BackendStates {
  private readonly states = new Map<string, BackendState>();

  constructor(
    private readonly routers: number,
    private readonly maxQueued: number,
    private readonly addressOverrides: Readonly<Record<string, SocketAddress>>,
  ) {}

  /** The state of a back end, or undefined before its first use. */
  peek(backend: string): BackendState | undefined {
    return this.states.get(backend);
  }

  /** All back ends that were used. */
  entries(): IterableIterator<[string, BackendState]> {
    return this.states.entries();
  }

  /** The state of a back end; null when the configuration does not name it. */
  get(service: ServiceConfiguration, backend: string): BackendState | null {
    const configured = service.backends[backend];
    if (configured === undefined) return null;
    const address = this.addressOverrides[backend] ?? configured.address;
    const known = this.states.get(backend);
    if (known !== undefined && formatAddress(known.address) === formatAddress(address)) return known;
    if (known !== undefined) void known.pool.close();
    const created = this.create(service, address);
    this.states.set(backend, created);
    return created;
  }

  /** Fits the slots to a new configuration. */
  resize(services: ReadonlyMap<string, ServiceConfiguration>): void {
    for (const service of services.values()) {
      for (const backend of Object.keys(service.backends)) {
        this.states.get(backend)?.limiter.resize(this.share(service.slots));
      }
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.states.values()].map(({ pool }) => pool.destroy()));
  }

  private create(service: ServiceConfiguration, address: SocketAddress): BackendState {
    const slots = this.share(service.slots);
    const pool = new Pool(`http://${formatAddress(address)}`, {
      connections: Math.min(slots, this.share(service.connections)),
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: BODY_SILENCE_MS,
    });
    const limiter = new SlotLimiter(slots, this.maxQueued);
    return { address, pool, limiter, health: new BackendHealth(), session: 0 };
  }

  /** This router's part of a limit that all routers share. */
  private share(limit: number): number {
    return Math.max(1, Math.floor(limit / this.routers));
  }
}
