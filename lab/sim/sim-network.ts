/**
 * A simulated network. Connections deliver whole messages in order; a cut holds them back until it heals, as
 * a network does for TCP. Between control replicas messages are also lost, repeated and reordered, which TCP
 * does not do within a connection but reconnects can, and which the replicated log must stand.
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
import { decodeFrame } from '../../src/transport/frame-codec.js';
import { checkHello, PROTOCOL_VERSION } from '../../src/transport/hello.js';
import type { Random } from '../random.js';
import type { SimProcess } from './sim-process.js';

/** Behaviour of the network. */
export interface NetworkOptions {
  /** Shortest and longest one-way delay, in ms. */
  readonly delayMs: readonly [number, number];
  /** Share of messages between control replicas that are lost. */
  readonly lossShare: number;
  /** Share of messages between control replicas that arrive twice. */
  readonly duplicateShare: number;
  /** Longest additional delay of a message between control replicas that is overtaken, in ms. */
  readonly reorderMs: number;
  /** Processor time of writing or reading 1,000 characters of a message, in ms. */
  readonly workMsPerKilobyte: number;
}

const BYTES_PER_KILOBYTE = 1_000;

const CUT_POLL_MS = 20;
const FIRST_REDIAL_MS = 50;
const LONGEST_REDIAL_MS = 1_000;
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

  constructor(
    readonly random: Random,
    readonly options: NetworkOptions,
  ) {}

  /** Holds back everything that `from` sends to `to`. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Ends one cut; what was held back arrives. */
  heal(from: string, to: string): void {
    this.cuts.delete(`${from}>${to}`);
  }

  /** Ends all cuts. */
  healAll(): void {
    this.cuts.clear();
  }

  /** Whether messages pass from one process to another now. */
  passes(from: string, to: string): boolean {
    return !this.cuts.has(`${from}>${to}`);
  }

  /** A one-way delay, in ms. */
  delay(): number {
    const [shortest, longest] = this.options.delayMs;
    return shortest + this.random.fraction() * (longest - shortest);
  }

  /** Processor time of writing a message once, or of reading it, in ms. */
  workMs(message: unknown): number {
    const { workMsPerKilobyte } = this.options;
    if (workMsPerKilobyte === 0) return 0;
    return (JSON.stringify(message).length / BYTES_PER_KILOBYTE) * workMsPerKilobyte;
  }

  /** A listener of a process. */
  serve(process: SimProcess, token: string, acceptor: PeerAcceptor): Listener {
    return new SimListener(this, { process, token, acceptor, connections: new Set() });
  }

  /** A client of a process. */
  dial(
    process: SimProcess,
    address: SocketAddress,
    identity: ClientIdentity,
    handlers: ClientHandlers,
  ): Client {
    return new SimClient(this, process, address, identity, handlers);
  }

  /** The listener at an address whose process is alive. */
  listenerAt(address: SocketAddress): OpenListener | undefined {
    const listener = this.listeners.get(formatAddress(address));
    return listener?.process.alive === true ? listener : undefined;
  }

  /** Opens a listener. */
  open(address: SocketAddress, listener: OpenListener): void {
    this.listeners.set(formatAddress(address), listener);
  }

  /** Closes a listener. */
  close(listener: OpenListener): void {
    for (const [address, open] of this.listeners) if (open === listener) this.listeners.delete(address);
  }

  /** A process has crashed: its connections break at the other ends, and its listeners are gone. */
  crashed(process: SimProcess): void {
    for (const [address, listener] of this.listeners) {
      for (const endpoint of listener.connections) {
        if (listener.process === process || endpoint.peerProcess === process) endpoint.breakOff();
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

/** One end of a connection: sends to its peer, receives for its owner. */
class Endpoint implements Connection {
  peer: Endpoint | null = null;
  private open = true;
  private held: unknown[] = [];
  private lastArrivalMs = 0;

  constructor(
    private readonly network: SimNetwork,
    readonly process: SimProcess,
    readonly peerProcess: SimProcess,
    private readonly betweenControl: boolean,
    private readonly handlers: PeerHandlers,
  ) {}

  send(message: unknown): void {
    if (!this.open) return;
    this.process.work(this.network.workMs(message));
    this.pass(message);
  }

  /** What was written once is sent to many without further work. */
  sendEncoded(frame: Buffer): void {
    const message = decodeFrame(frame);
    if (this.open && message.ok) this.pass(message.val);
  }

  private pass(message: unknown): void {
    const { random, options } = this.network;
    if (this.betweenControl && random.fraction() < options.lossShare) return;
    this.transmit(message);
    if (this.betweenControl && random.fraction() < options.duplicateShare) this.transmit(message);
  }

  close(reason: string): void {
    if (!this.open) return;
    this.open = false;
    this.handlers.onClose(reason);
    const { peer } = this;
    peer?.process.schedule(this.network.delay(), () => {
      peer.breakOff();
    });
  }

  /** The other end is gone. */
  breakOff(): void {
    if (!this.open) return;
    this.open = false;
    const { peer } = this;
    this.process.schedule(0, () => {
      this.handlers.onClose('closed by peer');
    });
    peer?.breakOff();
  }

  private transmit(message: unknown): void {
    const { network, peer } = this;
    if (peer === null) return;
    const overtaken = this.betweenControl ? network.random.fraction() * network.options.reorderMs : 0;
    const departure = this.process.nowTrueMs() + this.process.workLeftMs;
    const arrival = departure + network.delay() + overtaken;
    const inOrder = this.betweenControl ? arrival : Math.max(arrival, this.lastArrivalMs);
    this.lastArrivalMs = inOrder;
    peer.arrive(message, inOrder - this.process.nowTrueMs());
  }

  private arrive(message: unknown, afterMs: number): void {
    this.process.schedule(afterMs, () => {
      this.held.push(message);
      if (this.held.length === 1) this.takeHeld();
    });
  }

  private take(message: unknown): void {
    if (!this.open) return;
    this.process.work(this.network.workMs(message));
    this.handlers.onMessage(message);
  }

  /** What a cut holds back arrives in its order once the cut has healed, and before all that was sent later. */
  private takeHeld(): void {
    if (!this.open) return;
    if (this.network.passes(this.peerProcess.name, this.process.name)) {
      for (const message of this.held.splice(0)) this.take(message);
      return;
    }
    this.process.schedule(CUT_POLL_MS, () => {
      this.takeHeld();
    });
  }
}

class SimClient implements Client {
  private endpoint: Endpoint | null = null;
  private pauseMs = FIRST_REDIAL_MS;
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
    this.process.schedule(this.network.delay() * 2, () => {
      if (this.stopped) return;
      const listener = this.network.listenerAt(this.address);
      if (listener === undefined) this.lost('connection refused');
      else if (this.reaches(listener)) this.connect(listener);
      else this.failAfterTimeout();
    });
  }

  private reaches(listener: OpenListener): boolean {
    const there = this.network.passes(this.process.name, listener.process.name);
    return there && this.network.passes(listener.process.name, this.process.name);
  }

  private failAfterTimeout(): void {
    this.process.schedule(CONNECT_TIMEOUT_MS, () => {
      this.lost('connect timed out');
    });
  }

  private connect(listener: OpenListener): void {
    const isControl = this.identity.role === 'control';
    const own = new Endpoint(this.network, this.process, listener.process, isControl, {
      onMessage: (message) => {
        this.pauseMs = FIRST_REDIAL_MS;
        if (!this.stopped) this.handlers.onMessage(message);
      },
      onClose: (reason) => {
        this.lost(reason);
      },
    });
    const accepted = this.accept(listener, isControl);
    own.peer = accepted;
    accepted.peer = own;
    this.endpoint = own;
    const hello = { kind: 'hello', version: PROTOCOL_VERSION, ...this.identity };
    accepted.greet(hello, this.network.delay());
    this.handlers.onOpen(own);
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
    this.process.schedule(this.process.trueMs(this.pauseMs), () => {
      if (!this.stopped) this.dial();
    });
    this.pauseMs = Math.min(this.pauseMs * 2, LONGEST_REDIAL_MS);
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

  /** The hello arrives after `afterMs`; it is never lost, since a connection without it does not exist. */
  greet(hello: unknown, afterMs: number): void {
    this.process.schedule(afterMs, () => {
      const checked = checkHello(hello, this.listener.token);
      if (typeof checked === 'string') this.close(checked);
      else this.receiver.begin(this.listener.acceptor.onPeer(checked, this));
    });
  }
}

/** Keeps what arrives before the hello was taken. */
class DeferredHandlers implements PeerHandlers {
  onEnd: () => void = () => undefined;
  private handlers: PeerHandlers | null = null;
  private early: unknown[] = [];

  begin(handlers: PeerHandlers): void {
    this.handlers = handlers;
    for (const message of this.early.splice(0)) handlers.onMessage(message);
  }

  onMessage(message: unknown): void {
    if (this.handlers === null) this.early.push(message);
    else this.handlers.onMessage(message);
  }

  onClose(reason: string): void {
    this.onEnd();
    this.handlers?.onClose(reason);
  }
}
