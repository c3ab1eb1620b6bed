/** Client through which a gateway runs requests at its local back end. */
import type { RequestHead } from '../link/link-messages.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { InputTurns } from '../runtime/input-turns.js';
import type { Runtime } from '../runtime/runtime.js';
import type { SurplusBytes } from './answer-trace.js';
import { BackendPool, type RequestPool } from './backend-pool.js';
import { BackendRun, type RunPorts } from './backend-run.js';
import type { HeaderDialect } from './header-dialect.js';

/** A request that is ready to be sent to the back end. */
export interface PreparedRun {
  /** Sends the request. */
  start(): void;
  /** Cancels the request; its callbacks are no longer called. */
  cancel(): void;
}

/** Runs requests at one back end. */
export interface BackendClient {
  /** Number of connections opened so far. */
  readonly opened: number;
  /** Prepares a request that must complete within `leftMs`. */
  prepare(head: RequestHead, body: Buffer, leftMs: number, ports: RunPorts): PreparedRun;
  /** Closes all connections. */
  destroy(): void;
}

/** Runs requests over the connections of a pool. */
export class PooledBackendClient implements BackendClient {
  constructor(
    private readonly pool: RequestPool,
    private readonly dialect: HeaderDialect,
    private readonly runtime: Runtime,
  ) {}

  /** See `BackendClient`. */
  get opened(): number {
    return this.pool.opened;
  }

  /** See `BackendClient`. */
  prepare(head: RequestHead, body: Buffer, leftMs: number, ports: RunPorts): PreparedRun {
    const { pool, dialect, runtime } = this;
    return new BackendRun(
      pool,
      (ms, callback) => runtime.after(ms, callback),
      dialect,
      head,
      body,
      leftMs,
      ports,
    );
  }

  /** See `BackendClient`. */
  destroy(): void {
    this.pool.destroy();
  }
}

/**
 * Creates a client that uses HTTP/1.1. `onRefused` is called when no process listens at the back end's address, `onSurplus`
 * when it sends bytes that answer no request.
 */
export function httpBackendClient(
  address: SocketAddress,
  dialect: HeaderDialect,
  runtime: Runtime,
  onRefused: () => void,
  turns?: InputTurns,
  onSurplus?: (surplus: SurplusBytes) => void,
): BackendClient {
  const names = { requestId: dialect.requestId };
  return new PooledBackendClient(
    new BackendPool(address, names, () => runtime.nowMs(), onRefused, turns, onSurplus),
    dialect,
    runtime,
  );
}
