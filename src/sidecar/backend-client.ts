/** The back end beside this daemon, as its gateway uses it: a place to run requests at. */
import type { RequestHead } from '../link/link-messages.js';
import type { SocketAddress } from '../model/socket-address.js';
import { BackendPool } from './backend-pool.js';
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

/** Runs requests over HTTP/1.1 connections. */
export class HttpBackendClient implements BackendClient {
  private readonly pool: BackendPool;

  constructor(
    address: SocketAddress,
    private readonly dialect: HeaderDialect,
    nowMs: () => number,
    /** No process listens at the back end's address. */
    onRefused: () => void,
  ) {
    const names = { requestId: dialect.requestId, notRun: dialect.notRun };
    this.pool = new BackendPool(address, names, nowMs, onRefused);
  }

  /** See `BackendClient`. */
  get opened(): number {
    return this.pool.opened;
  }

  /** See `BackendClient`. */
  prepare(head: RequestHead, body: Buffer, leftMs: number, ports: RunPorts): PreparedRun {
    return new BackendRun(this.pool, this.dialect, head, body, leftMs, ports);
  }

  /** See `BackendClient`. */
  destroy(): void {
    this.pool.destroy();
  }
}
