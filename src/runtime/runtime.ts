/**
 * Interface of a daemon to its machine, except the disk: clocks, timers, random ids, connections. Daemons receive it as
 * an argument, so that the simulator can run the same code on virtual time and a virtual network.
 */
import type { SocketAddress } from '../model/socket-address.js';
import type { Result } from '../result.js';
import type { Hello, PeerRole } from '../transport/hello.js';

/** Cancels a timer; further calls have no effect. */
export type CancelTimer = () => void;

/** Identity of the dialing daemon. */
export interface ClientIdentity {
  readonly role: PeerRole;
  readonly name: string;
  readonly zone: string;
  /** The cluster's shared secret; never logged. */
  readonly token: string;
}

/** A connection that carries complete messages in both directions, in order. */
export interface Connection {
  /** Queues one message; silently dropped if the connection is already closed. */
  send(message: unknown): void;
  /** Queues an encoded frame, which may be shared by many receivers. */
  sendEncoded(frame: Buffer): void;
  /** Bytes that are queued and that the network has not yet taken; missing if it takes everything at once. */
  readonly queuedBytes?: number;
  /** Closes at once and reports `reason`; further calls have no effect. */
  close(reason: string): void;
}

/** Bytes transferred over all connections of a client. */
export interface Traffic {
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** Callbacks to the owner of a client. */
export interface ClientHandlers {
  onOpen(connection: Connection): void;
  onMessage(message: unknown): void;
  onClose(reason: string): void;
}

/** Maintains a connection to one address; reconnects when it breaks. */
export interface Client {
  /** Sends if connected; otherwise drops the message and returns `false`. */
  send(message: unknown): boolean;
  /** Like `send`, for an encoded frame. */
  sendEncoded(frame: Buffer): boolean;
  traffic(): Traffic;
  /** Closes permanently, without a callback to the owner. */
  stop(): void;
}

/** Callbacks for one accepted peer. */
export interface PeerHandlers {
  onMessage(message: unknown): void;
  onClose(reason: string): void;
}

/** Accepts peers on behalf of a listener's owner. */
export interface PeerAcceptor {
  /** Called for each authenticated peer; returns the handlers of its messages. */
  onPeer(hello: Hello, connection: Connection): PeerHandlers;
  /** Called when a connection ends before authentication. `reason` is for counters. */
  onRefused(reason: string): void;
}

/** A listener for internal connections. */
export interface Listener {
  /** Bytes sent over all connections since the start, including closed ones. */
  readonly bytesSent: number;
  /** Starts listening; the error names the address. */
  listen(address: SocketAddress): Promise<Result<void, string>>;
  /** Stops listening and closes every connection. */
  close(): void;
}

/** Clocks, timers, random ids and connections of a daemon. */
export interface Runtime {
  /** Time that may have passed, in ms, including suspension; permissions of this process expire by it. */
  nowMs(): number;
  /** Time that has certainly passed, in ms; permissions of other processes expire by it. It stops during suspension. */
  steadyMs(): number;
  /** Wall clock, in ms since 1970. */
  wallMs(): number;
  /** Calls back once after `ms`. */
  after(ms: number, callback: () => void): CancelTimer;
  /** Calls back every `ms`. */
  every(ms: number, callback: () => void): CancelTimer;
  /** Calls back after all pending input has been read; a timer would fire before that. */
  afterInput(callback: () => void): void;
  /** Returns a unique string. */
  randomId(): string;
  dial(address: SocketAddress, identity: ClientIdentity, handlers: ClientHandlers): Client;
  serve(token: string, acceptor: PeerAcceptor): Listener;
}
