/** Zones of other daemons, as far as the registered back ends tell them. */
import { isIPv4 } from 'node:net';
import type { BackendInstance } from '../directory/directory-state.js';
import { parseAddress } from '../directory/replica-address.js';
import type { ByteScope } from '../link/link-bytes.js';

/** Prefix of an IPv4 address in the form of IPv6 (RFC 4291, 2.5.5.2), in which a dual-stack listener reports it. */
const MAPPED_IPV4_PREFIX = '::ffff:';

/** Finds out whether traffic with a daemon crosses a zone. */
export class PeerZones {
  private byAddress = new Map<string, string>();
  /** Zone of the daemons on a host; null if they are in several zones. */
  private byHost = new Map<string, string | null>();

  constructor(
    private readonly ownZone: string,
    private readonly ownAddress: string,
  ) {}

  /** Replaces the known daemons by those of the registered back ends. */
  update(instances: Iterable<BackendInstance>): void {
    this.byAddress = new Map();
    this.byHost = new Map();
    for (const { daemonAddress, zone } of instances) {
      this.byAddress.set(daemonAddress, zone);
      const host = parseAddress(daemonAddress)?.host ?? daemonAddress;
      const known = this.byHost.get(host);
      this.byHost.set(host, known === undefined || known === zone ? zone : null);
    }
  }

  /** Returns the scope of traffic with the daemon at an address of the directory table. */
  scopeOf(daemonAddress: string): ByteScope {
    if (daemonAddress === this.ownAddress) return 'machine';
    return this.scopeOfZone(this.byAddress.get(daemonAddress) ?? null);
  }

  /** Returns the scope of traffic with a daemon that has connected from a host. */
  scopeOfHost(host: string): ByteScope {
    const mapped = host.startsWith(MAPPED_IPV4_PREFIX) ? host.slice(MAPPED_IPV4_PREFIX.length) : host;
    return this.scopeOfZone(this.byHost.get(isIPv4(mapped) ? mapped : host) ?? null);
  }

  private scopeOfZone(zone: string | null): ByteScope {
    if (zone === null) return 'unknown';
    return zone === this.ownZone ? 'zone' : 'cross-zone';
  }
}
