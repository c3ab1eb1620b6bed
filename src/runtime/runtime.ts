/**
 * Everything that a daemon needs of its machine beside its disk: clocks, timers, chance, connections.
 * The daemons take it as an argument, so that the simulator can run the same code on virtual time and a
 * virtual network.
 */
import type { SocketAddress } from '../model/socket-address.js';
import type { Result } from '../result.js';
import type { Hello, PeerRole } from '../transport/hello.js';

/** Ends a timer; calling it again does nothing. */
export type CancelTimer = () => void;

/** Who dials. */
export interface ClientIdentity {
  readonly role: PeerRole;
  readonly name: string;
  readonly zone: string;
  /** The cluster's shared secret; never logged. */
  readonly token: string;
}

/** One connection that carries whole messages both ways, in order. */
export interface Connection {
  /** Queues one message; dropped without a word when the connection is already closed. */
  send(message: unknown): void;
  /** Queues a frame that was encoded once for many receivers. */
  sendEncoded(frame: Buffer): void;
  /** Closes at once and reports `reason`; later calls do nothing. */
  close(reason: string): void;
}

/** Bytes over all connections of a client. */
export interface Traffic {
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** What the owner of a client is told. */
export interface ClientHandlers {
  onOpen(connection: Connection): void;
  onMessage(message: unknown): void;
  onClose(reason: string): void;
}

/** Keeps a connection to one address, dialing again when it breaks. */
export interface Client {
  /** Sends when connected; otherwise the message is dropped and `false` returned. */
  send(message: unknown): boolean;
  /** The same for a frame that was encoded before. */
  sendEncoded(frame: Buffer): boolean;
  traffic(): Traffic;
  /** Closes for good; the owner is not told. */
  stop(): void;
}

/** Receiver of one accepted peer's messages. */
export interface PeerHandlers {
  onMessage(message: unknown): void;
  onClose(reason: string): void;
}

/** Owner of the accepted peers. */
export interface PeerAcceptor {
  /** A peer has proved that it belongs to the cluster; returns where its messages go. */
  onPeer(hello: Hello, connection: Connection): PeerHandlers;
  /** A connection ended before it became a peer. `reason` is for counters. */
  onRefused(reason: string): void;
}

/** A listener for internal connections. */
export interface Listener {
  /** Bytes sent over all connections that were ever accepted. */
  readonly bytesSent: number;
  /** Starts listening; the error names the address. */
  listen(address: SocketAddress): Promise<Result<void, string>>;
  /** Stops listening and closes every connection. */
  close(): void;
}

/** The machine as a daemon sees it. */
export interface Runtime {
  /** Time that may have passed, in ms: what this process may do ends by it. It counts suspended time. */
  nowMs(): number;
  /** Time that certainly has passed, in ms: what others may do ends by it. It stands still in suspension. */
  steadyMs(): number;
  /** Wall clock, in ms since 1970. */
  wallMs(): number;
  /** Calls back once after `ms`. */
  after(ms: number, callback: () => void): CancelTimer;
  /** Calls back every `ms`. */
  every(ms: number, callback: () => void): CancelTimer;
  /** Calls back as soon as everything that waits to be read has been read; a timer would come before that. */
  afterInput(callback: () => void): void;
  /** A string that nobody else gets. */
  randomId(): string;
  dial(address: SocketAddress, identity: ClientIdentity, handlers: ClientHandlers): Client;
  serve(token: string, acceptor: PeerAcceptor): Listener;
}
