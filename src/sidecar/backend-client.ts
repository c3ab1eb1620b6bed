/** The back end beside this daemon, as its gateway uses it: a place to run requests at. */
import type { RequestHead } from '../link/link-messages.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { Runtime } from '../runtime/runtime.js';
import { BackendPool, type RequestPool } from './backend-pool.js';
import { BackendRun, type RunPorts } from './backend-run.js';
import type { HeaderDialect } from './header-dialect.js';

/** A request that was prepared for the back end. */
export interface PreparedRun {
  /** Sends it. */
  start(): void;
  /** Breaks it off; nothing more is told of it. */
  cancel(): void;
}

/** Runs requests at one back end. */
export interface BackendClient {
  /** Connections that were opened so far. */
  readonly opened: number;
  /** Prepares a request that may take `leftMs`. */
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

/** Runs requests over HTTP/1.1 connections. `onRefused`: no process listens at the back end's address. */
export function httpBackendClient(
  address: SocketAddress,
  dialect: HeaderDialect,
  runtime: Runtime,
  onRefused: () => void,
): BackendClient {
  const names = { requestId: dialect.requestId, notRun: dialect.notRun };
  return new PooledBackendClient(
    new BackendPool(address, names, () => runtime.nowMs(), onRefused),
    dialect,
    runtime,
  );
}
