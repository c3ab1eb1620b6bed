/** Links to the other daemons, and what is believed of the back ends beside them. */
import type { BackendInstance } from '../directory/directory-state.js';
import { parseAddress } from '../directory/replica-address.js';
import type { Link, LinkClientHandlers, LinkRoute } from '../link/link-client.js';
import type { LinkPacer } from '../link/link-pacer.js';
import type { StatusHead } from '../link/link-messages.js';
import type { SocketAddress } from '../model/socket-address.js';
import { policyIsOn } from '../policy-switches.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import { BackendView } from './backend-view.js';

/** What the peers need of their daemon. */
export interface PeerDaemonsPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  /** Opens a link when it is first used. */
  readonly dialLink: (route: LinkRoute, handlers: LinkClientHandlers) => Link;
  /** Local IP address to dial from; null leaves that to the system. */
  readonly dialFrom: string | null;
  /** Where a daemon is taken to be whose address cannot be read. */
  readonly ownLinks: SocketAddress;
  /** Paces large frames over a slow network link; null where it is fast. */
  readonly pacer: LinkPacer | null;
  /** A back end's daemon has told how busy it is, outside of an answer. */
  readonly onStatus: (instance: string) => void;
}

/** The daemons beside all registered back ends, this one included. */
export class PeerDaemons {
  private readonly links = new Map<string, Link>();
  private readonly views = new Map<string, BackendView>();
  private addressCount = 1;

  constructor(private readonly ports: PeerDaemonsPorts) {}

  /** Daemons beside back ends, this one included. */
  get count(): number {
    return this.addressCount;
  }

  /** What is believed of a back end. */
  viewOf(instance: string): BackendView {
    const known = this.views.get(instance);
    if (known !== undefined) return known;
    const view = new BackendView();
    this.views.set(instance, view);
    return view;
  }

  /** The link to the daemon beside a back end. */
  linkTo({ daemonAddress }: BackendInstance): Link {
    const known = this.links.get(daemonAddress);
    if (known !== undefined) return known;
    const { dialFrom, ownLinks, pacer } = this.ports;
    const address = parseAddress(daemonAddress) ?? ownLinks;
    // What stays on this machine does not pass the network link.
    const isOwn = address.host === ownLinks.host;
    const usedPacer = isOwn || !policyIsOn('link-accounting') ? null : pacer;
    const route = { address, localAddress: dialFrom, pacer: usedPacer };
    const link = this.ports.dialLink(route, {
      onStatus: (status) => {
        this.noteStatus(status);
      },
      onDisconnect: (reason) => {
        this.ports.log.event('link-lost', { daemon: daemonAddress, reason });
      },
    });
    this.links.set(daemonAddress, link);
    return link;
  }

  /** Closes links to daemons that are beside no registered back end, and forgets back ends that are gone. */
  keepOnly(instances: Iterable<BackendInstance>): void {
    const ids = new Set<string>();
    const addresses = new Set<string>();
    for (const { id, daemonAddress } of instances) {
      ids.add(id);
      addresses.add(daemonAddress);
    }
    this.addressCount = Math.max(1, addresses.size);
    for (const [address, link] of this.links) {
      if (addresses.has(address) || link.outstanding > 0) continue;
      link.stop();
      this.links.delete(address);
    }
    for (const [id, view] of this.views) {
      if (!ids.has(id) && view.outstanding === 0) this.views.delete(id);
    }
  }

  /** Closes all links for good. */
  stop(): void {
    for (const link of this.links.values()) link.stop();
  }

  private noteStatus(status: StatusHead): void {
    this.viewOf(status.instance).noteStatus(status, this.ports.runtime.nowMs());
    this.ports.onStatus(status.instance);
  }
}
