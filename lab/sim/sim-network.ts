/**
 * A simulated network. Connections deliver whole messages in order; a partition delays them until it heals, as with TCP
 * retransmission. Between control replicas messages are also lost, duplicated and reordered: TCP does not do this within a
 * connection, but reconnecting can, and the replicated log must tolerate it.
 */
import { formatAddress, type SocketAddress } from '../../src/model/socket-address.js';
import { Ok, type Result } from '../../src/result.js';
import type {
  Client,
  ClientHandlers,
  ClientIdentity,
  Connection,
  Listener,
  PeerAcceptor,
  PeerHandlers,
  Traffic,
} from '../../src/runtime/runtime.js';
import { decodeFrame, encodeFrame } from '../../src/transport/frame-codec.js';
import { checkHello, PROTOCOL_VERSION } from '../../src/transport/hello.js';
import type { Random } from '../random.js';
import type { SimProcess } from './sim-process.js';

/** Parameters of the network. */
export interface NetworkOptions {
  /** Minimum and maximum one-way delay, in ms. */
  readonly delayMs: readonly [number, number];
  /** Fraction of messages between control replicas that are lost. */
  readonly lossShare: number;
  /** Fraction of messages between control replicas that arrive twice. */
  readonly duplicateShare: number;
  /** Maximum additional delay of a message between control replicas, in ms; it lets later messages overtake. */
  readonly maxReorderDelayMs: number;
  /** Processor time for writing or reading 1,000 characters of a message, in ms. */
  readonly workMsPerKilobyte: number;
  /**
   * Largest frame between control replicas in bytes; the receiver closes the connection at a larger one. Without it, frames
   * have any size and are not measured.
   */
  readonly maxFrameBytes?: number;
}

/** Largest sizes that a simulation with a limit on frames has seen between control replicas, in bytes. */
export interface NetworkPeaks {
  frameBytes: number;
  /** Frames on their way over one connection. */
  underWayBytes: number;
  /** Connections that were closed for a frame above the limit. */
  closedForSize: number;
}

const BYTES_PER_KILOBYTE = 1_000;

const CUT_POLL_INTERVAL_MS = 20;
const INITIAL_REDIAL_DELAY_MS = 50;
const MAX_REDIAL_DELAY_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;
const NO_TRAFFIC: Traffic = { bytesSent: 0, bytesReceived: 0 };

interface OpenListener {
  readonly process: SimProcess;
  readonly token: string;
  readonly acceptor: PeerAcceptor;
  readonly connections: Set<Endpoint>;
}

/** The network of one simulation. */
export class SimNetwork {
  private readonly listeners = new Map<string, OpenListener>();
  private readonly cuts = new Set<string>();
  readonly peaks: NetworkPeaks = { frameBytes: 0, underWayBytes: 0, closedForSize: 0 };

  constructor(
    readonly random: Random,
    readonly options: NetworkOptions,
  ) {}

  /** Delays everything that `from` sends to `to` until the cut heals. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Removes one cut; the delayed messages arrive. */
  heal(from: string, to: string): void {
    this.cuts.delete(`${from}>${to}`);
  }

  /** Removes all cuts. */
  healAll(): void {
    this.cuts.clear();
  }

  /** Whether messages from one process currently reach another. */
  canDeliver(from: string, to: string): boolean {
    return !this.cuts.has(`${from}>${to}`);
  }

  /** Draws a one-way delay, in ms. */
  drawDelayMs(): number {
    const [minMs, maxMs] = this.options.delayMs;
    return minMs + this.random.fraction() * (maxMs - minMs);
  }

  /** Processor time for writing or reading a message once, in ms. */
  workMs(message: unknown): number {
    const { workMsPerKilobyte } = this.options;
    if (workMsPerKilobyte === 0) return 0;
    return (JSON.stringify(message).length / BYTES_PER_KILOBYTE) * workMsPerKilobyte;
  }

  /** Creates a listener of a process. */
  serve(process: SimProcess, token: string, acceptor: PeerAcceptor): Listener {
    return new SimListener(this, { process, token, acceptor, connections: new Set() });
  }

  /** Creates a client of a process. */
  dial(
    process: SimProcess,
    address: SocketAddress,
    identity: ClientIdentity,
    handlers: ClientHandlers,
  ): Client {
    return new SimClient(this, process, address, identity, handlers);
  }

  /** Returns the listener at an address if its process is alive. */
  listenerAt(address: SocketAddress): OpenListener | undefined {
    const listener = this.listeners.get(formatAddress(address));
    return listener?.process.alive === true ? listener : undefined;
  }

  /** Registers a listener at an address. */
  open(address: SocketAddress, listener: OpenListener): void {
    this.listeners.set(formatAddress(address), listener);
  }

  /** Removes a listener from all its addresses. */
  close(listener: OpenListener): void {
    for (const [address, open] of this.listeners) if (open === listener) this.listeners.delete(address);
  }

  /** Breaks the connections of a crashed process at their remote ends and removes its listeners. */
  breakConnectionsOf(process: SimProcess): void {
    for (const [address, listener] of this.listeners) {
      for (const endpoint of listener.connections) {
        if (listener.process === process || endpoint.peerProcess === process) endpoint.closeByPeer();
      }
      if (listener.process === process) this.listeners.delete(address);
    }
  }
}

class SimListener implements Listener {
  readonly bytesSent = 0;

  constructor(
    private readonly network: SimNetwork,
    private readonly listener: OpenListener,
  ) {}

  listen(address: SocketAddress): Promise<Result<void, string>> {
    this.network.open(address, this.listener);
    return Promise.resolve(Ok(undefined));
  }

  close(): void {
    this.network.close(this.listener);
    for (const endpoint of this.listener.connections) endpoint.close('server is stopping');
  }
}

/** One end of a connection: sends to its peer and passes received messages to its handlers. */
class Endpoint implements Connection {
  peer: Endpoint | null = null;
  private open = true;
  /** Whether the remote process has ended and this end closes once it has read what was sent. */
  private closing = false;
  private delayed: { readonly message: unknown; readonly bytes: number }[] = [];
  private lastArrivalMs = 0;
  /** Bytes of measured frames that are on their way to this end. */
  private underWayBytes = 0;

  constructor(
    private readonly network: SimNetwork,
    readonly process: SimProcess,
    readonly peerProcess: SimProcess,
    private readonly betweenControl: boolean,
    private readonly handlers: PeerHandlers,
  ) {}

  send(message: unknown): void {
    if (!this.open) return;
    this.process.occupy(this.network.workMs(message));
    this.transmitWithFaults(message, this.isMeasured ? encodeFrame(message).length : 0);
  }

  /** Sends a frame that is already encoded; this costs no processor time. */
  sendEncoded(frame: Buffer): void {
    const message = decodeFrame(frame);
    if (this.open && message.ok) this.transmitWithFaults(message.val, this.isMeasured ? frame.length : 0);
  }

  private get isMeasured(): boolean {
    return this.betweenControl && this.network.options.maxFrameBytes !== undefined;
  }

  private transmitWithFaults(message: unknown, bytes: number): void {
    const { random, options, peaks } = this.network;
    peaks.frameBytes = Math.max(peaks.frameBytes, bytes);
    if (bytes > (options.maxFrameBytes ?? Infinity)) {
      peaks.closedForSize += 1;
      this.closeByPeer();
      return;
    }
    if (this.betweenControl && random.fraction() < options.lossShare) return;
    this.transmit(message, bytes);
    if (this.betweenControl && random.fraction() < options.duplicateShare) this.transmit(message, 0);
  }

  close(reason: string): void {
    if (!this.open) return;
    this.open = false;
    this.handlers.onClose(reason);
    const { peer } = this;
    peer?.process.schedule(this.network.drawDelayMs(), () => {
      peer.closeByPeer();
    });
  }

  /**
   * Closes this end after the remote process has ended. What the remote process had sent before is read first: bytes wait in
   * the operating system while this process is frozen or a cut lasts, also when their sender has ended.
   */
  closeByPeer(): void {
    if (!this.open) return;
    if (this.process.frozen || this.delayed.length > 0) {
      if (!this.closing) {
        this.closing = true;
        this.peer?.closeByPeer();
      }
      this.process.schedule(CUT_POLL_INTERVAL_MS, () => {
        this.closeByPeer();
      });
      return;
    }
    this.open = false;
    const { peer } = this;
    this.process.schedule(0, () => {
      this.handlers.onClose('closed by peer');
    });
    peer?.closeByPeer();
  }

  private transmit(message: unknown, bytes: number): void {
    const { network, peer } = this;
    if (peer === null) return;
    const reorderDelayMs = this.betweenControl
      ? network.random.fraction() * network.options.maxReorderDelayMs
      : 0;
    const departureMs = this.process.nowTrueMs() + this.process.remainingWorkMs;
    const arrivalMs = departureMs + network.drawDelayMs() + reorderDelayMs;
    const deliveryMs = this.betweenControl ? arrivalMs : Math.max(arrivalMs, this.lastArrivalMs);
    this.lastArrivalMs = deliveryMs;
    peer.scheduleArrival(message, bytes, deliveryMs - this.process.nowTrueMs());
  }

  private scheduleArrival(message: unknown, bytes: number, afterMs: number): void {
    const { peaks } = this.network;
    this.underWayBytes += bytes;
    peaks.underWayBytes = Math.max(peaks.underWayBytes, this.underWayBytes);
    this.process.schedule(afterMs, () => {
      this.delayed.push({ message, bytes });
      if (this.delayed.length === 1) this.deliverDelayed();
    });
  }

  private receive(message: unknown): void {
    if (!this.open) return;
    this.process.occupy(this.network.workMs(message));
    this.handlers.onMessage(message);
  }

  /** Delivers messages delayed by a cut in their order once it has healed, before any that were sent later. */
  private deliverDelayed(): void {
    if (!this.open) return;
    if (this.network.canDeliver(this.peerProcess.name, this.process.name)) {
      for (const { message, bytes } of this.delayed.splice(0)) {
        this.underWayBytes -= bytes;
        this.receive(message);
      }
      return;
    }
    this.process.schedule(CUT_POLL_INTERVAL_MS, () => {
      this.deliverDelayed();
    });
  }
}

class SimClient implements Client {
  private endpoint: Endpoint | null = null;
  private redialDelayMs = INITIAL_REDIAL_DELAY_MS;
  private stopped = false;

  constructor(
    private readonly network: SimNetwork,
    private readonly process: SimProcess,
    private readonly address: SocketAddress,
    private readonly identity: ClientIdentity,
    private readonly handlers: ClientHandlers,
  ) {
    this.dial();
  }

  send(message: unknown): boolean {
    if (this.endpoint === null) return false;
    this.endpoint.send(message);
    return true;
  }

  sendEncoded(frame: Buffer): boolean {
    if (this.endpoint === null) return false;
    this.endpoint.sendEncoded(frame);
    return true;
  }

  traffic(): Traffic {
    return NO_TRAFFIC;
  }

  stop(): void {
    this.stopped = true;
    const { endpoint } = this;
    this.endpoint = null;
    endpoint?.close('client is stopping');
  }

  private dial(): void {
    this.process.schedule(this.network.drawDelayMs() * 2, () => {
      if (this.stopped) return;
      const listener = this.network.listenerAt(this.address);
      if (listener === undefined) this.lost('connection refused');
      else if (this.canConnect(listener)) this.connect(listener);
      else this.failAfterTimeout();
    });
  }

  private canConnect(listener: OpenListener): boolean {
    const outgoing = this.network.canDeliver(this.process.name, listener.process.name);
    return outgoing && this.network.canDeliver(listener.process.name, this.process.name);
  }

  private failAfterTimeout(): void {
    this.process.schedule(CONNECT_TIMEOUT_MS, () => {
      this.lost('connect timed out');
    });
  }

  private connect(listener: OpenListener): void {
    const isControl = this.identity.role === 'control';
    const endpoint = new Endpoint(this.network, this.process, listener.process, isControl, {
      onMessage: (message) => {
        this.redialDelayMs = INITIAL_REDIAL_DELAY_MS;
        if (!this.stopped) this.handlers.onMessage(message);
      },
      onClose: (reason) => {
        this.lost(reason);
      },
    });
    const accepted = this.accept(listener, isControl);
    endpoint.peer = accepted;
    accepted.peer = endpoint;
    this.endpoint = endpoint;
    const hello = { kind: 'hello', version: PROTOCOL_VERSION, ...this.identity };
    accepted.deliverHello(hello, this.network.drawDelayMs());
    this.handlers.onOpen(endpoint);
  }

  private accept(listener: OpenListener, betweenControl: boolean): AcceptedEndpoint {
    const accepted = new AcceptedEndpoint(this.network, listener, this.process, betweenControl);
    listener.connections.add(accepted);
    return accepted;
  }

  private lost(reason: string): void {
    this.endpoint = null;
    if (this.stopped) return;
    this.handlers.onClose(reason);
    this.process.schedule(this.process.toTrueMs(this.redialDelayMs), () => {
      if (!this.stopped) this.dial();
    });
    this.redialDelayMs = Math.min(this.redialDelayMs * 2, MAX_REDIAL_DELAY_MS);
  }
}

/** The listening side of a connection. */
class AcceptedEndpoint extends Endpoint {
  private readonly receiver: DeferredHandlers;

  constructor(
    network: SimNetwork,
    private readonly listener: OpenListener,
    dialer: SimProcess,
    betweenControl: boolean,
  ) {
    const receiver = new DeferredHandlers();
    super(network, listener.process, dialer, betweenControl, receiver);
    this.receiver = receiver;
    receiver.onEnd = () => listener.connections.delete(this);
  }

  /** Delivers the hello after `afterMs`; it is never lost, since a connection is not established without it. */
  deliverHello(hello: unknown, afterMs: number): void {
    this.process.schedule(afterMs, () => {
      const checked = checkHello(hello, this.listener.token);
      if (typeof checked === 'string') this.close(checked);
      else this.receiver.activate(this.listener.acceptor.onPeer(checked, this));
    });
  }
}

/** Buffers messages that arrive before the hello was accepted. */
class DeferredHandlers implements PeerHandlers {
  onEnd: () => void = () => undefined;
  private handlers: PeerHandlers | null = null;
  private buffered: unknown[] = [];

  activate(handlers: PeerHandlers): void {
    this.handlers = handlers;
    for (const message of this.buffered.splice(0)) handlers.onMessage(message);
  }

  onMessage(message: unknown): void {
    if (this.handlers === null) this.buffered.push(message);
    else this.handlers.onMessage(message);
  }

  onClose(reason: string): void {
    this.onEnd();
    this.handlers?.onClose(reason);
  }
}
