/**
 * Transport between a sidecar and its callers, other daemons and back end: sockets in a daemon, simulated
 * connections in a simulation. It makes no decisions of its own.
 */
import { LinkClient, type Link, type LinkClientHandlers, type LinkRoute } from '../link/link-client.js';
import type { StatusHead } from '../link/link-messages.js';
import type { LinkPacer } from '../link/link-pacer.js';
import { LinkServer, type AcceptRequest, type MeterOfHost } from '../link/link-server.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { Result } from '../result.js';
import { createProcessMemory, type ProcessMemory } from '../runtime/client-memory.js';
import { InputTurns } from '../runtime/input-turns.js';
import type { Runtime } from '../runtime/runtime.js';
import type { SurplusBytes } from './answer-trace.js';
import { httpBackendClient, type BackendClient } from './backend-client.js';
import { CallerServer, type CallerServerPorts } from './caller-server.js';
import type { SidecarSettings } from './sidecar-settings.js';

/** Listener for callers. */
export interface CallerListener {
  /** Number of requests whose answer is not complete. */
  readonly activeRequests: number;
  /** Number of connections that are not closed yet. */
  readonly openConnections: number;
  /** Applies changed limits. */
  applyLimits(): void;
  /** Starts listening; the error names the address. */
  listen(address: SocketAddress): Promise<Result<void, string>>;
  /** Stops accepting connections, and closes each one when it owes no answer and is quiet. */
  stopListening(): void;
  /** Ends every connection behind what was written to it. */
  endConnections(): void;
  /** Stops listening and closes every connection at once. */
  close(): void;
}

/** Listener for other daemons. */
export interface LinkListener {
  /** Number of answers that wait for room at their receivers. */
  readonly waitingAnswers: number;
  /** Starts listening; the error names the address. */
  listen(address: SocketAddress): Promise<Result<void, string>>;
  /** Stops listening and closes every connection. */
  close(): void;
}

/** Handlers of a listener for other daemons. */
export interface LinkListenerPorts {
  readonly take: AcceptRequest;
  /** Load of the back end, reported to probes; null while it is unknown. */
  readonly status: () => StatusHead | null;
  /** Paces answers over a slow network link; null if the link is fast. */
  readonly pacer: LinkPacer | null;
  readonly meterOf: MeterOfHost;
  /** Called when a request is dropped before it was taken, because nobody waits for it any more. */
  readonly onDropped?: () => void;
}

/** Factory of a sidecar's listeners and clients. */
export interface SidecarTransport {
  callers(ports: CallerServerPorts): CallerListener;
  links(ports: LinkListenerPorts): LinkListener;
  dialLink(route: LinkRoute, handlers: LinkClientHandlers): Link;
  /**
   * Creates the back end's client; `onRefused` is called when no process listens at the back end's address, `onSurplus` when
   * it sends bytes that answer no request.
   */
  backend(onRefused: () => void, onSurplus: (surplus: SurplusBytes) => void): BackendClient;
}

/** Transport of a daemon: TCP and HTTP/1.1. */
export function socketTransport(
  settings: SidecarSettings,
  runtime: Runtime,
  memory: ProcessMemory = createProcessMemory(),
): SidecarTransport {
  const nowMs = (): number => runtime.nowMs();
  const turns = new InputTurns(nowMs);
  return {
    callers: (ports) => new CallerServer(ports, turns, memory.clients),
    links: ({ take, status, pacer, meterOf, onDropped }) =>
      new LinkServer(
        nowMs,
        runtime.randomId(),
        take,
        status,
        pacer,
        meterOf,
        turns,
        onDropped,
        memory.forwarded,
      ),
    dialLink: (route, handlers) => new LinkClient(route, nowMs, handlers, turns),
    backend: (onRefused, onSurplus) =>
      httpBackendClient(settings.backend, settings.dialect, runtime, onRefused, turns, onSurplus),
  };
}
