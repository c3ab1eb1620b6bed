/**
 * How a sidecar meets its callers, other daemons and its back end: over sockets in a daemon, over simulated ones in a
 * simulation. Everything that is decided stands above it.
 */
import { LinkClient, type Link, type LinkClientHandlers, type LinkRoute } from '../link/link-client.js';
import type { StatusHead } from '../link/link-messages.js';
import type { LinkPacer } from '../link/link-pacer.js';
import { LinkServer, type AcceptRequest } from '../link/link-server.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { Result } from '../result.js';
import type { Runtime } from '../runtime/runtime.js';
import { httpBackendClient, type BackendClient } from './backend-client.js';
import { CallerServer, type CallerServerPorts } from './caller-server.js';
import type { SidecarSettings } from './sidecar-settings.js';

/** A listener for callers, as its daemon uses it. */
export interface CallerListener {
  /** Requests that have no whole answer yet. */
  readonly activeRequests: number;
  /** Takes over limits that have changed. */
  applyLimits(): void;
  /** Starts listening; the error names the address. */
  listen(address: SocketAddress): Promise<Result<void, string>>;
  /** Takes no more connections, and closes those that no request is on. */
  stopListening(): void;
  /** Stops listening and closes every connection. */
  close(): void;
}

/** A listener for other daemons, as its daemon uses it. */
export interface LinkListener {
  /** Starts listening; the error names the address. */
  listen(address: SocketAddress): Promise<Result<void, string>>;
  /** Stops listening and ends every connection. */
  close(): void;
}

/** What a listener for other daemons hands on. */
export interface LinkListenerPorts {
  readonly take: AcceptRequest;
  /** How busy the back end is, for probes; null while nothing is known of it. */
  readonly status: () => StatusHead | null;
  /** Paces answers over a slow network link; null where it is fast. */
  readonly pacer: LinkPacer | null;
}

/** The ways in and out of a sidecar. */
export interface SidecarTransport {
  callers(ports: CallerServerPorts): CallerListener;
  links(ports: LinkListenerPorts): LinkListener;
  dialLink(route: LinkRoute, handlers: LinkClientHandlers): Link;
  /** `onRefused`: no process listens at the back end's address. */
  backend(onRefused: () => void): BackendClient;
}

/** The transport of a daemon: TCP and HTTP/1.1. */
export function socketTransport(settings: SidecarSettings, runtime: Runtime): SidecarTransport {
  const nowMs = (): number => runtime.nowMs();
  return {
    callers: (ports) => new CallerServer(ports),
    links: ({ take, status, pacer }) => new LinkServer(nowMs, runtime.randomId(), take, status, pacer),
    dialLink: (route, handlers) => new LinkClient(route, nowMs, handlers),
    backend: (onRefused) => httpBackendClient(settings.backend, settings.dialect, runtime, onRefused),
  };
}
