/** One machine of a simulated fleet: a real sidecar on virtual time, with its back end. */
import type {
  BackendCalls,
  BackendHeartbeat,
  BackendIdentity,
  GrantResult,
} from '../../../src/sidecar/backend-report.js';
import { PooledBackendClient, type BackendClient } from '../../../src/sidecar/backend-client.js';
import type { BackendRequest, BackendRequestHandlers } from '../../../src/sidecar/backend-connection.js';
import type { RequestPool } from '../../../src/sidecar/backend-pool.js';
import type { CallerServerPorts } from '../../../src/sidecar/caller-server.js';
import { NO_SIGNALS } from '../../../src/sidecar/backend-signals.js';
import { DEFAULT_HEADER_DIALECT } from '../../../src/sidecar/header-dialect.js';
import { SidecarNode } from '../../../src/sidecar/sidecar-node.js';
import type { SidecarSettings } from '../../../src/sidecar/sidecar-settings.js';
import type { SidecarTransport } from '../../../src/sidecar/sidecar-transport.js';
import { Ok } from '../../../src/result.js';
import type { Runtime } from '../../../src/runtime/runtime.js';
import type { EventLog } from '../../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../../src/telemetry/latencies.js';
import { SIM_TOKEN, type SimDirectory } from '../sim-directory.js';
import type { SimProcess } from '../sim-process.js';
import { simRuntime } from '../sim-runtime.js';
import { FleetBackend, type FleetBackendPorts } from './fleet-backend.js';
import type { FleetLinks } from './fleet-links.js';
import type { FleetService } from './fleet-spec.js';

/** Default interval between heartbeats of a back end, and the shorter one while it is releasing keys, in ms. */
export const HEARTBEAT_MS = 500;
const RELEASING_HEARTBEAT_MS = 80;

/** Interval in ms between heartbeats that no daemon acknowledges, of back ends that repeat these. */
const REPEATED_HEARTBEAT_MS = 100;

/** One-way latency in ms between a daemon and its back end. */
const LOCAL_LATENCY_MS = 0.2;

/** Time in ms within which a back end takes the answer to a heartbeat. */
const HEARTBEAT_ANSWER_MS = 1_000;

/** Time in ms after which a call to the back end counts as unanswered. */
const CALL_TIMEOUT_MS = 800;

/** Time in ms after which a probe counts as unanswered. */
const PROBE_TIMEOUT_MS = 300;

const LINKS_PORT = 2;
const CALLERS_PORT = 3;
const BACKEND_PORT = 4;

/** Dependencies of a machine. */
export interface FleetMachinePorts {
  readonly directory: SimDirectory;
  readonly links: FleetLinks;
  readonly log: EventLog;
  readonly slots: number;
  readonly restartDelayMs: number;
  readonly backend: Omit<FleetBackendPorts, 'onEnd'>;
  readonly version: () => string;
}

/** A machine with a sidecar and a back end. */
export class FleetMachine {
  readonly process: SimProcess;
  node: SidecarNode | null = null;
  backend: FleetBackend | null = null;
  /** Entry point for callers on this machine; null while its daemon does not listen. */
  callers: CallerServerPorts | null = null;
  /** Whether incarnations that start from now on share one id. */
  reusesId = false;
  /** Interval between heartbeats of the back end, in ms. */
  heartbeatMs = HEARTBEAT_MS;
  /**
   * How probes are answered: always, only by a back end with another id than the probe names (a busy back end has no slot for
   * others), or never.
   */
  probes: 'answered' | 'busy' | 'unanswered' = 'answered';
  /** Whether heartbeats are repeated at short intervals while the daemon does not run. */
  repeatsHeartbeats = false;
  /** Returns the delay in ms until a call sent now takes effect, without an answer; null for normal delivery. */
  callDelayMs: () => number | null = () => null;
  /** Number of delayed calls. */
  delayedCalls = 0;
  /** Latency of the next heartbeat in ms; null for the normal one. */
  private nextHeartbeatLatencyMs: number | null = null;
  /** Heartbeats of an incarnation that a cut holds back; null while there is no cut. */
  private heldHeartbeats: { readonly of: FleetBackend; readonly deliveries: (() => void)[] } | null = null;
  private lives = 0;
  private heartbeatsScheduled = 0;

  constructor(
    readonly name: string,
    readonly address: string,
    readonly zone: string,
    readonly service: FleetService,
    private readonly ports: FleetMachinePorts,
  ) {
    this.process = ports.directory.createProcess(name);
  }

  /** Starts the daemon; a running back end is unaffected. */
  async start(): Promise<void> {
    this.process.start();
    const { directory, log } = this.ports;
    const runtime = simRuntime(this.process, directory.network, () => directory.nextId());
    const started = await SidecarNode.start({
      settings: this.settings(),
      token: SIM_TOKEN,
      runtime,
      log,
      calls: this.calls(),
      random: () => directory.random.fraction(),
      latencies: NO_LATENCIES,
      backendListens: async () => await this.afterLocalLatency(() => this.backend !== null),
      transport: this.transport(runtime),
    });
    this.node = started.unwrap();
  }

  /** Crashes the daemon. */
  crash(): void {
    this.ports.backend.judge.toldLeaves.excuse(this.name);
    this.process.crash();
    this.ports.directory.network.breakConnectionsOf(this.process);
    this.node = null;
    this.callers = null;
  }

  /** Freezes the daemon; its back end keeps running. */
  freeze(): void {
    this.process.freeze();
  }

  /** Lets a frozen daemon continue. */
  thaw(): void {
    this.ports.backend.judge.toldLeaves.excuse(this.name);
    this.process.thaw();
  }

  /** Starts a new incarnation of the back end, whose heartbeats may be held back from the first on. */
  startBackend({ holdsHeartbeats = false }: { readonly holdsHeartbeats?: boolean } = {}): void {
    this.lives += 1;
    const life = `${this.name}-life-${this.lives}`;
    const id = this.reusesId ? this.name : life;
    const version = this.ports.version();
    const backend = new FleetBackend(id, life, Math.floor(this.process.wallMs()), this.service, version, {
      ...this.ports.backend,
      onEnd: () => {
        if (this.backend === backend) this.endBackend();
      },
    });
    this.backend = backend;
    if (holdsHeartbeats) this.holdHeartbeats();
    this.runHeartbeats(backend);
  }

  /** Makes the back end unresponsive: connections are accepted and get no answers. */
  makeBackendUnresponsive(): void {
    this.backend?.stopResponding();
  }

  /** Replaces the back end by a new incarnation that listens at once, so that no connection is refused. */
  restartBackend(options: { readonly holdsHeartbeats?: boolean } = {}): void {
    this.backend?.end();
    this.startBackend(options);
  }

  /** Makes the back end report that it is draining, and ends it after `afterMs`. */
  drainAndEndBackend(afterMs: number): void {
    const { queue } = this.ports.directory;
    const { backend } = this;
    if (backend === null) return;
    backend.draining = true;
    this.sendHeartbeat(backend);
    queue.at(queue.nowMs + afterMs, () => {
      this.endBackend();
    });
  }

  /** Makes the back end report in its heartbeats that it is draining, and keep serving. */
  startDraining(): void {
    const { backend } = this;
    if (backend === null) return;
    backend.draining = true;
    this.sendHeartbeat(backend);
  }

  /** Makes the back end announce its end, stop its heartbeats, and keep serving. */
  sendLeave(): void {
    const { backend } = this;
    if (backend === null) return;
    this.sendLeaveOf(backend);
  }

  /** Sends the leave message of an incarnation, which may have ended before the message arrives. */
  sendLeaveOf(backend: FleetBackend): void {
    backend.hasAnnouncedLeave = true;
    this.process.schedule(LOCAL_LATENCY_MS, () => {
      if (this.node === null) return;
      const { id, bornMs } = backend;
      void this.node.leave({ id, bornMs }).then(() => {
        this.recordDrainAcknowledged(backend);
      });
    });
  }

  /** Sets the latency of the next heartbeat. */
  delayNextHeartbeat(ms: number): void {
    this.nextHeartbeatLatencyMs = ms;
  }

  /** Whether heartbeats of an incarnation are held back. */
  get holdsHeartbeats(): boolean {
    return this.heldHeartbeats !== null;
  }

  /** Holds back the heartbeats of the present incarnation until `deliverHeldHeartbeats`. */
  holdHeartbeats(): void {
    if (this.backend !== null) this.heldHeartbeats = { of: this.backend, deliveries: [] };
  }

  /** Delivers the heartbeats that were held back, also if their sender has ended; returns their number. */
  deliverHeldHeartbeats(): number {
    const deliveries = this.heldHeartbeats?.deliveries ?? [];
    this.heldHeartbeats = null;
    for (const deliver of deliveries) deliver();
    return deliveries.length;
  }

  /** Ends the back end and restarts it after `restartDelayMs`. */
  endBackend(): void {
    const { queue } = this.ports.directory;
    const { backend } = this;
    if (backend === null) return;
    this.backend = null;
    backend.end();
    queue.at(queue.nowMs + this.ports.restartDelayMs, () => {
      if (this.backend === null) this.startBackend();
    });
  }

  // ---- calls between the daemon and its back end

  private runHeartbeats(backend: FleetBackend): void {
    if (!backend.isRunning || backend.hasAnnouncedLeave) return;
    this.scheduleHeartbeat(backend, this.heartbeatIntervalMs(backend));
    this.sendHeartbeat(backend);
  }

  /** Schedules the next heartbeat in place of the one that was scheduled before. */
  private scheduleHeartbeat(backend: FleetBackend, afterMs: number): void {
    const { queue } = this.ports.directory;
    this.heartbeatsScheduled += 1;
    const number = this.heartbeatsScheduled;
    queue.at(queue.nowMs + afterMs, () => {
      if (number === this.heartbeatsScheduled) this.runHeartbeats(backend);
    });
  }

  private heartbeatIntervalMs({ keys }: FleetBackend): number {
    if (this.repeatsHeartbeats && this.node === null) return REPEATED_HEARTBEAT_MS;
    return keys.leaving().length > 0 ? RELEASING_HEARTBEAT_MS : this.heartbeatMs;
  }

  private sendHeartbeat(backend: FleetBackend): void {
    const { queue } = this.ports.directory;
    const sentMs = queue.nowMs;
    backend.sequence += 1;
    const heartbeat = this.createHeartbeat(backend);
    const deliver = (): void => {
      void this.node?.heartbeat(heartbeat).then((grant) => {
        if (heartbeat.condition === 'draining') this.recordDrainAcknowledged(backend);
        if (!backend.isRunning || queue.nowMs - sentMs > HEARTBEAT_ANSWER_MS) return;
        backend.keys.applyAnswer(grant, sentMs);
        const isCurrent = this.backend === backend && !backend.hasAnnouncedLeave;
        if (isCurrent && backend.keys.isReleasing) this.scheduleHeartbeat(backend, RELEASING_HEARTBEAT_MS);
      });
    };
    if (this.heldHeartbeats?.of === backend) this.heldHeartbeats.deliveries.push(deliver);
    else if (this.nextHeartbeatLatencyMs === null) this.process.schedule(LOCAL_LATENCY_MS, deliver);
    // A delayed heartbeat is not lost when the daemon that it was sent to ends.
    else queue.at(queue.nowMs + this.nextHeartbeatLatencyMs, deliver);
    this.nextHeartbeatLatencyMs = null;
  }

  private recordDrainAcknowledged(backend: FleetBackend): void {
    this.ports.backend.judge.drainAcknowledged(backend.life, this.ports.directory.queue.nowMs);
  }

  private createHeartbeat(backend: FleetBackend): BackendHeartbeat {
    const { holds, released } = backend.keys.report();
    return {
      id: backend.id,
      bornMs: backend.bornMs,
      service: this.service.name,
      zone: this.zone,
      slots: this.ports.slots,
      version: backend.version,
      condition: backend.draining ? 'draining' : 'ready',
      sequence: backend.sequence,
      coldLeftMs: 0,
      holds: this.service.keyed ? holds : null,
      released,
    };
  }

  private calls(): BackendCalls {
    return {
      identify: async (_path, id) => {
        const identity = await this.afterLocalLatency(() => this.identityFor(id));
        if (identity !== null || this.backend === null) return identity;
        return await new Promise((resolve) => {
          this.process.schedule(PROBE_TIMEOUT_MS, () => {
            resolve(null);
          });
        });
      },
      grant: async (id, range, holdMs) =>
        await this.sendCall<GrantResult>('not-sent', 'unanswered', (backend) => {
          if (backend.id !== id) return 'misdirected';
          return backend.keys.grant({ ...range, holdMs }) ? 'granted' : 'superseded';
        }),
      release: async (id, range) =>
        await this.sendCall<string | null>(null, null, (backend) => {
          if (backend.id !== id) return null;
          backend.keys.release({ ...range, holdMs: 0 });
          return backend.keys.nextHandover();
        }),
    };
  }

  /** Returns the answer to a probe for an id; null if there is none. */
  private identityFor(expectedId: string): BackendIdentity | null {
    if (this.backend === null || this.probes === 'unanswered') return null;
    const { id, draining, hasAnnouncedLeave } = this.backend;
    // Probes tell nothing of limits and leaves, so that daemons have to learn them from the answers to requests.
    const common = { bornMs: null, coldLeftMs: 0, signals: NO_SIGNALS };
    if (id !== expectedId) return { ...common, id: null, isOther: true, isHealthy: false };
    const isHealthy = !draining && !hasAnnouncedLeave;
    return this.probes === 'busy' ? null : { ...common, id, isOther: false, isHealthy };
  }

  /** Sends a call that changes the keys of the back end. A delayed call takes effect even if the daemon has ended. */
  private async sendCall<T>(notSent: T, unanswered: T, execute: (backend: FleetBackend) => T): Promise<T> {
    const delayMs = this.callDelayMs();
    const { backend } = this;
    if (delayMs === null || backend === null) {
      return await this.afterLocalLatency(() => (this.backend === null ? notSent : execute(this.backend)));
    }
    this.delayedCalls += 1;
    const { queue } = this.ports.directory;
    queue.at(queue.nowMs + delayMs, () => {
      if (backend.isRunning) execute(backend);
    });
    return await new Promise((resolve) => {
      this.process.schedule(CALL_TIMEOUT_MS, () => {
        resolve(unanswered);
      });
    });
  }

  private async afterLocalLatency<T>(read: () => T): Promise<T> {
    return await new Promise((resolve) => {
      this.process.schedule(LOCAL_LATENCY_MS, () => {
        resolve(read());
      });
    });
  }

  // ---- transport of the daemon

  private transport(runtime: Runtime): SidecarTransport {
    const { links } = this.ports;
    return {
      callers: (ports) => ({
        activeRequests: 0,
        openConnections: 0,
        applyLimits: () => undefined,
        listen: () => {
          this.callers = ports;
          return Promise.resolve(Ok(undefined));
        },
        stopListening: () => undefined,
        endConnections: () => undefined,
        close: () => {
          if (this.callers === ports) this.callers = null;
        },
      }),
      links: (ports) => links.listener(this.process, ports),
      dialLink: ({ address }, handlers) => links.dial(this.process, address, handlers),
      backend: (onRefused) => this.backendClient(runtime, onRefused),
    };
  }

  private backendClient(runtime: Runtime, onRefused: () => void): BackendClient {
    const { process } = this;
    const pool: RequestPool = {
      opened: 0,
      run: (request, handlers) => {
        let cancelAtBackend = (): void => undefined;
        let cancelled = false;
        const deliverBack = (run: () => void): void => {
          if (!process.alive) return;
          process.schedule(LOCAL_LATENCY_MS, () => {
            if (!cancelled) run();
          });
        };
        this.runAtBackend(
          request,
          delayedHandlers(handlers, deliverBack),
          (end) => (cancelAtBackend = end),
          () => {
            deliverBack(() => {
              onRefused();
              handlers.onBroken('broken', 'connect ECONNREFUSED', false);
            });
          },
        );
        return {
          setPaused: () => undefined,
          cancel: () => {
            cancelled = true;
            cancelAtBackend();
          },
        };
      },
      destroy: () => undefined,
    };
    return new PooledBackendClient(pool, DEFAULT_HEADER_DIALECT, runtime);
  }

  private runAtBackend(
    request: BackendRequest,
    handlers: BackendRequestHandlers,
    onAccepted: (cancel: () => void) => void,
    refuse: () => void,
  ): void {
    if (this.backend === null) refuse();
    else onAccepted(this.backend.handleRequest(request, handlers));
  }

  private settings(): SidecarSettings {
    const host = this.address;
    const links = { host, port: LINKS_PORT };
    return {
      name: this.name,
      zone: this.zone,
      callers: { host, port: CALLERS_PORT },
      links,
      advertisedLinks: links,
      dialFrom: null,
      backend: { host, port: BACKEND_PORT },
      service: this.service.name,
      seeds: this.ports.directory.seeds,
      grantMode: this.service.grantMode,
      holdMs: 6_000,
      drainMs: 2_000,
      graceMs: 6_000,
      retryBudget: { ratio: 0.2, extra: 60, windowMs: 10_000 },
      coldStartBound: { factor: 1.5, slack: 8 },
      evacuationMs: 5_000,
      dialect: DEFAULT_HEADER_DIALECT,
      linkBytesPerMs: Infinity,
    };
  }
}

function delayedHandlers(
  handlers: BackendRequestHandlers,
  deliverBack: (run: () => void) => void,
): BackendRequestHandlers {
  return {
    onAnswer: (answer) => {
      deliverBack(() => {
        handlers.onAnswer(answer);
      });
    },
    onBody: (chunk) => {
      deliverBack(() => {
        handlers.onBody(chunk);
      });
    },
    onEnd: () => {
      deliverBack(() => {
        handlers.onEnd();
      });
    },
    onBroken: (reason, detail, sent) => {
      deliverBack(() => {
        handlers.onBroken(reason, detail, sent);
      });
    },
  };
}
