/** Links to the sidecars of all back ends, and the estimated state of those back ends. */
import type { BackendInstance } from '../directory/directory-state.js';
import { parseAddress } from '../directory/replica-address.js';
import { IDLE_REASON } from '../link/link-connection.js';
import type { Link, LinkClientHandlers, LinkRoute } from '../link/link-client.js';
import type { ByteMeter } from '../link/link-bytes.js';
import type { LinkPacer } from '../link/link-pacer.js';
import type { StatusHead } from '../link/link-messages.js';
import type { SocketAddress } from '../model/socket-address.js';
import { policyIsOn } from '../policy-switches.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import { BackendView } from './backend-view.js';

/** Dependencies that the sidecar provides. */
export interface PeerDaemonsPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  /** Opens a link; called when a peer is first used. */
  readonly dialLink: (route: LinkRoute, handlers: LinkClientHandlers) => Link;
  /** Local IP address to dial from; null to let the system choose. */
  readonly dialFrom: string | null;
  /** Address of this sidecar's own link server, also used for a peer whose address cannot be parsed. */
  readonly ownLinkAddress: SocketAddress;
  /** Paces large frames on a slow network link; null if the link is fast. */
  readonly pacer: LinkPacer | null;
  /** Returns the meter of the link to an address of the directory table. */
  readonly meterOf: (daemonAddress: string) => ByteMeter;
  /** Called when a peer reports the status of its back end outside of an answer. */
  readonly onStatus: (instance: string) => void;
}

/** The sidecars of all registered back ends, including this one. */
export class PeerDaemons {
  /** Number of links that were closed because they were not used. */
  idleLinks = 0;
  private readonly links = new Map<string, Link>();
  private readonly views = new Map<string, BackendView>();
  private addressCount = 1;

  constructor(private readonly ports: PeerDaemonsPorts) {}

  /** Number of sidecars with a registered back end, including this one; at least 1. */
  get count(): number {
    return this.addressCount;
  }

  /** Returns the estimated state of a back end. */
  viewOf(instance: string): BackendView {
    const existing = this.views.get(instance);
    if (existing !== undefined) return existing;
    const view = new BackendView();
    this.views.set(instance, view);
    return view;
  }

  /** Returns the link to the sidecar of a back end, opened on first use. */
  linkTo({ daemonAddress }: BackendInstance): Link {
    const existing = this.links.get(daemonAddress);
    if (existing !== undefined) return existing;
    const { dialFrom, ownLinkAddress, pacer } = this.ports;
    const address = parseAddress(daemonAddress) ?? ownLinkAddress;
    // Traffic within this machine does not use the network link.
    const isOwn = address.host === ownLinkAddress.host;
    const usedPacer = isOwn || !policyIsOn('link-accounting') ? null : pacer;
    const route = {
      address,
      localAddress: dialFrom,
      pacer: usedPacer,
      meter: this.ports.meterOf(daemonAddress),
    };
    const link = this.ports.dialLink(route, {
      onStatus: (status) => {
        this.recordStatus(status);
      },
      onDisconnect: (reason) => {
        this.recordDisconnect(daemonAddress, reason);
      },
    });
    this.links.set(daemonAddress, link);
    return link;
  }

  /** Closes idle links to sidecars without a registered back end, and discards the state of removed back ends. */
  retainOnly(instances: Iterable<BackendInstance>): void {
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

  /** Closes all links permanently. */
  stop(): void {
    for (const link of this.links.values()) link.stop();
  }

  private recordDisconnect(peer: string, reason: string): void {
    if (reason === IDLE_REASON) this.idleLinks += 1;
    else this.ports.log.event('link-lost', { peer, reason });
  }

  private recordStatus(status: StatusHead): void {
    this.viewOf(status.instance).recordStatus(status, this.ports.runtime.nowMs());
    this.ports.onStatus(status.instance);
  }
}
