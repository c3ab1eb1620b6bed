/** One machine of a simulated fleet: a real sidecar on virtual time, and the back end beside it. */
import type { BackendCalls, BackendHeartbeat, GrantResult } from '../../../src/sidecar/backend-report.js';
import { PooledBackendClient, type BackendClient } from '../../../src/sidecar/backend-client.js';
import type { BackendRequest, BackendRequestHandlers } from '../../../src/sidecar/backend-connection.js';
import type { RequestPool } from '../../../src/sidecar/backend-pool.js';
import type { CallerServerPorts } from '../../../src/sidecar/caller-server.js';
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

/** Pause between heartbeats of a back end, and until the next one while it lets keys go, in ms. */
export const HEARTBEAT_MS = 500;
const HURRIED_HEARTBEAT_MS = 80;

/** Way between a daemon and the back end beside it, in ms. */
const LOCAL_DELAY_MS = 0.2;

/** Time in ms after which a daemon takes a call to the back end for unanswered. */
const CALL_TIMEOUT_MS = 800;

const LINKS_PORT = 2;
const CALLERS_PORT = 3;
const BACKEND_PORT = 4;

/** What a machine needs of its world. */
export interface FleetMachinePorts {
  readonly directory: SimDirectory;
  readonly links: FleetLinks;
  readonly log: EventLog;
  readonly slots: number;
  readonly backAfterMs: number;
  readonly backend: Omit<FleetBackendPorts, 'onEnd'>;
  readonly version: () => string;
}

/** A machine. */
export class FleetMachine {
  readonly process: SimProcess;
  node: SidecarNode | null = null;
  backend: FleetBackend | null = null;
  /** Takes the requests of callers on this machine; null while its daemon does not listen. */
  callers: CallerServerPorts | null = null;
  /** Whether lives that begin from now on go by the same name. */
  sameId = false;
  /** Time in ms after which a call that is sent now is carried out, without an answer; null for the usual way. */
  heldUpMs: () => number | null = () => null;
  /** Calls that were held up. */
  callsHeldUp = 0;
  /** Way of the next heartbeat, in ms, where it is to come late; null for the usual one. */
  private nextWayMs: number | null = null;
  private lives = 0;

  constructor(
    readonly name: string,
    readonly address: string,
    readonly zone: string,
    readonly service: FleetService,
    private readonly ports: FleetMachinePorts,
  ) {
    this.process = ports.directory.makeProcess(name);
  }

  /** Starts the daemon; a back end that is up stays as it is. */
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
      backendListens: async () => await this.afterWay(() => this.backend !== null),
      transport: this.transport(runtime),
    });
    this.node = started.unwrap();
  }

  /** Ends the daemon without a word. */
  crash(): void {
    this.process.crash();
    this.ports.directory.network.crashed(this.process);
    this.node = null;
    this.callers = null;
  }

  /** Starts a new life of the back end. */
  startBackend(): void {
    this.lives += 1;
    const life = `${this.name}-life-${this.lives}`;
    const id = this.sameId ? this.name : life;
    const version = this.ports.version();
    const backend = new FleetBackend(id, life, Math.floor(this.process.wallMs()), this.service, version, {
      ...this.ports.backend,
      onEnd: () => {
        if (this.backend === backend) this.endBackend();
      },
    });
    this.backend = backend;
    this.beat(backend);
  }

  /** The back end falls silent: its address refuses nothing, and nothing answers there. */
  darkenBackend(): void {
    this.backend?.goDark();
  }

  /** The back end ends and another life listens at once, so that no connection is refused. */
  restartBackend(): void {
    this.backend?.end();
    this.startBackend();
  }

  /** The back end says that it leaves, and ends a moment later. */
  retireBackend(afterMs: number): void {
    const { queue } = this.ports.directory;
    const { backend } = this;
    if (backend === null) return;
    backend.draining = true;
    this.tell(backend);
    queue.at(queue.nowMs + afterMs, () => {
      this.endBackend();
    });
  }

  /** The back end says in its heartbeats that it leaves, and serves on. */
  announceLeave(): void {
    const { backend } = this;
    if (backend === null) return;
    backend.draining = true;
    this.tell(backend);
  }

  /** The back end says that it leaves, sends no more heartbeats, and serves on. */
  sayGoodbye(): void {
    const { backend } = this;
    if (backend === null) return;
    this.sayGoodbyeOf(backend);
  }

  /** The goodbye of a life, which may have ended before it arrives. */
  sayGoodbyeOf(backend: FleetBackend): void {
    backend.saidGoodbye = true;
    this.process.schedule(LOCAL_DELAY_MS, () => {
      if (this.node === null) return;
      const { id, bornMs } = backend;
      void this.node.leave({ id, bornMs }).then(() => {
        this.acknowledged(backend);
      });
    });
  }

  /** The next heartbeat is on its way for so long. */
  delayNextHeartbeat(ms: number): void {
    this.nextWayMs = ms;
  }

  /** The back end ends, and is back after a while. */
  endBackend(): void {
    const { queue } = this.ports.directory;
    const { backend } = this;
    if (backend === null) return;
    this.backend = null;
    backend.end();
    queue.at(queue.nowMs + this.ports.backAfterMs, () => {
      if (this.backend === null) this.startBackend();
    });
  }

  // ---- the back end beside the daemon

  private beat(backend: FleetBackend): void {
    const { queue } = this.ports.directory;
    if (!backend.up || backend.saidGoodbye) return;
    const next = backend.keys.leaving().length > 0 ? HURRIED_HEARTBEAT_MS : HEARTBEAT_MS;
    queue.at(queue.nowMs + next, () => {
      this.beat(backend);
    });
    this.tell(backend);
  }

  private tell(backend: FleetBackend): void {
    const { queue } = this.ports.directory;
    const sentMs = queue.nowMs;
    backend.sequence += 1;
    const heartbeat = this.heartbeatOf(backend);
    const deliver = (): void => {
      void this.node?.heartbeat(heartbeat).then((grant) => {
        if (heartbeat.condition === 'draining') this.acknowledged(backend);
        if (backend.up) backend.keys.applyAnswer(grant, sentMs);
      });
    };
    if (this.nextWayMs === null) this.process.schedule(LOCAL_DELAY_MS, deliver);
    // What is on its way for long outlives the daemon that it was sent to.
    else queue.at(queue.nowMs + this.nextWayMs, deliver);
    this.nextWayMs = null;
  }

  private acknowledged(backend: FleetBackend): void {
    this.ports.backend.judge.drainAcknowledged(backend.life, this.ports.directory.queue.nowMs);
  }

  private heartbeatOf(backend: FleetBackend): BackendHeartbeat {
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
      identify: async () =>
        await this.afterWay(() => {
          if (this.backend === null) return null;
          const { id, draining, saidGoodbye } = this.backend;
          return { id, bornMs: null, isHealthy: !draining && !saidGoodbye, coldLeftMs: 0 };
        }),
      grant: async (id, range, holdMs) =>
        await this.order<GrantResult>('not-sent', 'unanswered', (backend) => {
          if (backend.id !== id) return 'misdirected';
          return backend.keys.grant({ ...range, holdMs }) ? 'granted' : 'superseded';
        }),
      release: async (id, range) =>
        await this.order<string | null>(null, null, (backend) => {
          if (backend.id !== id) return null;
          backend.keys.release({ ...range, holdMs: 0 });
          return backend.keys.nextHandover();
        }),
    };
  }

  /** A call that changes what the back end holds. One that is held up outlives the daemon that sent it. */
  private async order<T>(notSent: T, unanswered: T, carryOut: (backend: FleetBackend) => T): Promise<T> {
    const heldUpMs = this.heldUpMs();
    const { backend } = this;
    if (heldUpMs === null || backend === null) {
      return await this.afterWay(() => (this.backend === null ? notSent : carryOut(this.backend)));
    }
    this.callsHeldUp += 1;
    const { queue } = this.ports.directory;
    queue.at(queue.nowMs + heldUpMs, () => {
      if (backend.up) carryOut(backend);
    });
    return await new Promise((resolve) => {
      this.process.schedule(CALL_TIMEOUT_MS, () => {
        resolve(unanswered);
      });
    });
  }

  private async afterWay<T>(look: () => T): Promise<T> {
    return await new Promise((resolve) => {
      this.process.schedule(LOCAL_DELAY_MS, () => {
        resolve(look());
      });
    });
  }

  // ---- the daemon's ways in and out

  private transport(runtime: Runtime): SidecarTransport {
    const { links } = this.ports;
    return {
      callers: (ports) => ({
        activeRequests: 0,
        applyLimits: () => undefined,
        listen: () => {
          this.callers = ports;
          return Promise.resolve(Ok(undefined));
        },
        stopListening: () => undefined,
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
        let breakOff = (): void => undefined;
        let cancelled = false;
        const back = (run: () => void): void => {
          if (!process.alive) return;
          process.schedule(LOCAL_DELAY_MS, () => {
            if (!cancelled) run();
          });
        };
        this.atBackend(
          request,
          delayedHandlers(handlers, back),
          (end) => (breakOff = end),
          () => {
            back(() => {
              onRefused();
              handlers.onBroken('broken', 'connect ECONNREFUSED', false);
            });
          },
        );
        return {
          cancel: () => {
            cancelled = true;
            breakOff();
          },
        };
      },
      destroy: () => undefined,
    };
    return new PooledBackendClient(pool, DEFAULT_HEADER_DIALECT, runtime);
  }

  private atBackend(
    request: BackendRequest,
    handlers: BackendRequestHandlers,
    onTaken: (breakOff: () => void) => void,
    refuse: () => void,
  ): void {
    if (this.backend === null) refuse();
    else onTaken(this.backend.take(request, handlers));
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
  back: (run: () => void) => void,
): BackendRequestHandlers {
  return {
    onAnswer: (answer) => {
      back(() => {
        handlers.onAnswer(answer);
      });
    },
    onBody: (chunk) => {
      back(() => {
        handlers.onBody(chunk);
      });
    },
    onEnd: () => {
      back(() => {
        handlers.onEnd();
      });
    },
    onBroken: (reason, detail, sent) => {
      back(() => {
        handlers.onBroken(reason, detail, sent);
      });
    },
  };
}
