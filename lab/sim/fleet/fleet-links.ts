/** Links between the sidecars of a simulated fleet: the same calls as over TCP, with a delay, cuts and lost peers. */
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

/** Silence after which a peer that owes an answer counts as lost, and pause between looks, in ms. */
const SILENCE_MS = 500;
const LOOK_MS = 100;

/** Pause in ms after a failed attempt to connect, in which requests are refused at once. */
const REDIAL_PAUSE_MS = 150;

interface Listening {
  readonly process: SimProcess;
  readonly ports: LinkListenerPorts;
}

/** All links of a fleet. */
export class FleetLinks {
  private readonly listeners = new Map<string, Listening>();

  constructor(private readonly network: SimNetwork) {}

  /** The listener of a process. */
  listener(process: SimProcess, ports: LinkListenerPorts): LinkListener {
    let name = '';
    return {
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

  /** A link of a process to an address. */
  dial(process: SimProcess, address: SocketAddress, handlers: LinkClientHandlers): Link {
    return new FleetLink(this, process, formatAddress(address), handlers);
  }

  /** The listener at an address whose process is alive. */
  at(address: string): Listening | null {
    const listening = this.listeners.get(address);
    return listening?.process.alive === true ? listening : null;
  }

  /** Whether two processes hear each other. */
  passesBothWays(one: string, other: string): boolean {
    return one === other || (this.network.passes(one, other) && this.network.passes(other, one));
  }

  /** Delivers to a process after a delay; never while the way there is cut. */
  deliver(from: SimProcess, to: SimProcess, run: () => void): void {
    const { network } = this;
    to.schedule(from === to ? 0 : network.delay(), () => {
      if (from === to || network.passes(from.name, to.name)) run();
    });
  }
}

class FleetLink implements Link {
  private readonly underWay = new Set<FleetRequest>();
  private refuseUntilMs = -Infinity;
  private stopped = false;

  constructor(
    private readonly links: FleetLinks,
    private readonly process: SimProcess,
    private readonly address: string,
    private readonly handlers: LinkClientHandlers,
  ) {}

  get unreachable(): boolean {
    return this.process.steadyMs() < this.refuseUntilMs;
  }

  get outstanding(): number {
    return this.underWay.size;
  }

  request(head: RequestHead, body: Buffer, handlers: RequestHandlers): LinkRequest {
    const peer = this.stopped ? null : this.links.at(this.address);
    const request = new FleetRequest(this.links, this.process, peer, handlers, () => {
      this.underWay.delete(request);
    });
    this.underWay.add(request);
    if (peer === null) {
      this.process.schedule(0, () => {
        this.refuseUntilMs = this.process.steadyMs() + REDIAL_PAUSE_MS;
        request.lost(false);
      });
    } else request.send(head, body);
    return request;
  }

  probe(): void {
    const peer = this.links.at(this.address);
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
    for (const request of [...this.underWay]) request.lost(true);
  }
}

/** One request on a link. */
class FleetRequest implements LinkRequest {
  private accepted: AcceptedRequest | null = null;
  private ended = false;
  private heardMs: number;

  constructor(
    private readonly links: FleetLinks,
    private readonly process: SimProcess,
    private readonly peer: Listening | null,
    private readonly handlers: RequestHandlers,
    private readonly forget: () => void,
  ) {
    this.heardMs = process.steadyMs();
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
    this.tellPeer(() => this.accepted?.cancel());
  }

  withdraw(): void {
    this.tellPeer(() => this.accepted?.withdraw());
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

  private tellPeer(run: () => void): void {
    if (this.peer !== null) this.links.deliver(this.process, this.peer.process, run);
  }

  /** A peer that has died or cannot be heard answers nothing; its signs of life are not simulated one by one. */
  private watch(peer: Listening): void {
    const { alive, frozen, name } = peer.process;
    if (alive && !frozen && this.links.passesBothWays(this.process.name, name))
      this.heardMs = this.process.steadyMs();
    if (!alive || this.process.steadyMs() - this.heardMs > SILENCE_MS) {
      this.lost(true);
      return;
    }
    this.process.schedule(LOOK_MS, () => {
      if (!this.ended) this.watch(peer);
    });
  }

  private reply(peer: Listening): RequestReply {
    const back = (run: () => void): void => {
      this.links.deliver(peer.process, this.process, run);
    };
    const final = (run: () => void): void => {
      back(() => {
        if (this.end()) run();
      });
    };
    return {
      refuse: (head) => {
        final(() => {
          this.handlers.onRefusal(head);
        });
      },
      fail: (head) => {
        final(() => {
          this.handlers.onFailure(head);
        });
      },
      answer: (head, body) => {
        if (head.moreFollows) back(() => !this.ended && this.handlers.onAnswer(head, body));
        else
          final(() => {
            this.handlers.onAnswer(head, body);
          });
      },
      body: (chunk) => {
        back(() => !this.ended && this.handlers.onBody(chunk));
        return true;
      },
      end: () => {
        final(() => {
          this.handlers.onEnd();
        });
      },
      onDrain: (callback) => {
        peer.process.schedule(0, callback);
      },
    };
  }
}
