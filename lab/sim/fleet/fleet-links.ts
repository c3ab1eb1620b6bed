/** Links between the sidecars of a simulated fleet: the same interface as over TCP, with delays, cuts and lost peers. */
import type {
  Link,
  LinkClientHandlers,
  LinkRequest,
  RequestHandlers,
} from '../../../src/link/link-client.js';
import type { RequestHead } from '../../../src/link/link-messages.js';
import type { AcceptedRequest, RequestReply } from '../../../src/link/link-server.js';
import { formatAddress, type SocketAddress } from '../../../src/model/socket-address.js';
import { Ok } from '../../../src/result.js';
import type { LinkListener, LinkListenerPorts } from '../../../src/sidecar/sidecar-transport.js';
import type { SimNetwork } from '../sim-network.js';
import type { SimProcess } from '../sim-process.js';

/** Time in ms without contact after which a peer that owes an answer counts as lost, and interval between checks. */
const PEER_TIMEOUT_MS = 500;
const CHECK_INTERVAL_MS = 100;

/** Time in ms after a failed connection attempt in which the peer counts as unreachable and requests are refused at once. */
const REDIAL_DELAY_MS = 150;

interface OpenListener {
  readonly process: SimProcess;
  readonly ports: LinkListenerPorts;
}

/** All links and link listeners of a fleet. */
export class FleetLinks {
  private readonly listeners = new Map<string, OpenListener>();

  constructor(private readonly network: SimNetwork) {}

  /** Creates a link listener of a process. */
  listener(process: SimProcess, ports: LinkListenerPorts): LinkListener {
    let name = '';
    return {
      waitingAnswers: 0,
      listen: (address) => {
        name = formatAddress(address);
        this.listeners.set(name, { process, ports });
        return Promise.resolve(Ok(undefined));
      },
      close: () => {
        if (this.listeners.get(name)?.ports === ports) this.listeners.delete(name);
      },
    };
  }

  /** Creates a link from a process to an address. */
  dial(process: SimProcess, address: SocketAddress, handlers: LinkClientHandlers): Link {
    return new FleetLink(this, process, formatAddress(address), handlers);
  }

  /** Returns the listener at an address if its process is alive, otherwise null. */
  listenerAt(address: string): OpenListener | null {
    const listening = this.listeners.get(address);
    return listening?.process.alive === true ? listening : null;
  }

  /** Whether messages pass between two processes in both directions. */
  areConnected(one: string, other: string): boolean {
    return one === other || (this.network.canDeliver(one, other) && this.network.canDeliver(other, one));
  }

  /** Delivers to a process after a delay; drops the message if the connection is cut then. */
  deliver(from: SimProcess, to: SimProcess, run: () => void): void {
    const { network } = this;
    to.schedule(from === to ? 0 : network.drawDelayMs(), () => {
      if (from === to || network.canDeliver(from.name, to.name)) run();
    });
  }
}

class FleetLink implements Link {
  private readonly inFlight = new Set<FleetRequest>();
  private unreachableUntilMs = -Infinity;
  private stopped = false;

  constructor(
    private readonly links: FleetLinks,
    private readonly process: SimProcess,
    private readonly address: string,
    private readonly handlers: LinkClientHandlers,
  ) {}

  get unreachable(): boolean {
    return this.process.steadyMs() < this.unreachableUntilMs;
  }

  get outstanding(): number {
    return this.inFlight.size;
  }

  request(head: RequestHead, body: Buffer, handlers: RequestHandlers): LinkRequest {
    const peer = this.stopped ? null : this.links.listenerAt(this.address);
    const request = new FleetRequest(this.links, this.process, peer, handlers, () => {
      this.inFlight.delete(request);
    });
    this.inFlight.add(request);
    if (peer === null) {
      this.process.schedule(0, () => {
        this.unreachableUntilMs = this.process.steadyMs() + REDIAL_DELAY_MS;
        request.lost(false);
      });
    } else request.send(head, body);
    return request;
  }

  probe(): void {
    const peer = this.links.listenerAt(this.address);
    if (peer === null) return;
    this.links.deliver(this.process, peer.process, () => {
      const status = peer.ports.status();
      if (status === null) return;
      this.links.deliver(peer.process, this.process, () => {
        this.handlers.onStatus(status);
      });
    });
  }

  stop(): void {
    this.stopped = true;
    for (const request of [...this.inFlight]) request.lost(true);
  }
}

/** One request on a link. */
class FleetRequest implements LinkRequest {
  private accepted: AcceptedRequest | null = null;
  private ended = false;
  private lastContactMs: number;

  constructor(
    private readonly links: FleetLinks,
    private readonly process: SimProcess,
    private readonly peer: OpenListener | null,
    private readonly handlers: RequestHandlers,
    private readonly forget: () => void,
  ) {
    this.lastContactMs = process.steadyMs();
  }

  send(head: RequestHead, body: Buffer): void {
    const { peer, links, process } = this;
    if (peer === null) return;
    links.deliver(process, peer.process, () => {
      if (!this.ended) this.accepted = peer.ports.take(head, body, this.reply(peer));
    });
    this.watch(peer);
  }

  cancel(): void {
    this.end();
    this.sendToPeer(() => this.accepted?.cancel('cancelled'));
  }

  withdraw(): void {
    this.sendToPeer(() => this.accepted?.withdraw());
  }

  /** The simulated link has room for whole answers. */
  grant(): void {
    return;
  }

  lost(sent: boolean): void {
    if (this.end()) this.handlers.onLost(sent);
  }

  private end(): boolean {
    const wasOpen = !this.ended;
    this.ended = true;
    this.forget();
    return wasOpen;
  }

  private sendToPeer(run: () => void): void {
    if (this.peer !== null) this.links.deliver(this.process, this.peer.process, run);
  }

  /** Polls whether the peer is reachable, in place of simulated heartbeats; an ended or silent peer fails the request. */
  private watch(peer: OpenListener): void {
    const { alive, frozen, name } = peer.process;
    if (alive && !frozen && this.links.areConnected(this.process.name, name))
      this.lastContactMs = this.process.steadyMs();
    if (!alive || this.process.steadyMs() - this.lastContactMs > PEER_TIMEOUT_MS) {
      this.lost(true);
      return;
    }
    this.process.schedule(CHECK_INTERVAL_MS, () => {
      if (!this.ended) this.watch(peer);
    });
  }

  private reply(peer: OpenListener): RequestReply {
    const deliverBack = (run: () => void): void => {
      this.links.deliver(peer.process, this.process, run);
    };
    const deliverFinal = (run: () => void): void => {
      deliverBack(() => {
        if (this.end()) run();
      });
    };
    return {
      refuse: (head) => {
        deliverFinal(() => {
          this.handlers.onRefusal(head);
        });
      },
      fail: (head) => {
        deliverFinal(() => {
          this.handlers.onFailure(head);
        });
      },
      answer: (head, body) => {
        if (head.moreFollows) deliverBack(() => !this.ended && this.handlers.onAnswer(head, body));
        else
          deliverFinal(() => {
            this.handlers.onAnswer(head, body);
          });
      },
      body: (chunk) => {
        deliverBack(() => !this.ended && this.handlers.onBody(chunk));
        return true;
      },
      end: () => {
        deliverFinal(() => {
          this.handlers.onEnd();
        });
      },
      onDrain: (callback) => {
        peer.process.schedule(0, callback);
      },
    };
  }
}
