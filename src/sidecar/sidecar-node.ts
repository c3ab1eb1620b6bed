/**
 * The daemon beside one back end. It takes the requests that begin on its machine, passes them to the daemons beside
 * the back ends that are to run them, and is itself the only way to its own back end.
 */
import type { BackendInstance } from '../directory/directory-state.js';
import { LinkPacer } from '../link/link-pacer.js';
import { lifeName, type BackendLife } from '../model/backend-life.js';
import { formatAddress } from '../model/socket-address.js';
import { Ok, type Result } from '../result.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import { BackendChooser } from './backend-chooser.js';
import type { BackendClient } from './backend-client.js';
import { BackendGateway } from './backend-gateway.js';
import { BackendPresence } from './backend-presence.js';
import { BackendProber } from './backend-prober.js';
import type { BackendCalls, BackendHeartbeat, HeartbeatGrant } from './backend-report.js';
import type { CallerSink } from './caller-request.js';
import { CallerRequests } from './caller-requests.js';
import { ColdStartLimit } from './cold-start-limit.js';
import { OWN_STATUS, type OwnAnswer, type TakenRequest } from './caller-server.js';
import type { IncomingRequest } from './caller-server.js';
import { CrashWatch } from './crash-watch.js';
import { DirectoryClient } from './directory-client.js';
import { DirectoryTable } from './directory-table.js';
import type { BackendIncarnation } from '../quarantine/end-reporter.js';
import { KeyOwnership } from './key-ownership.js';
import { LeaseKeeper } from './lease-keeper.js';
import { LoadMeter } from './load-meter.js';
import type { LocalBackend } from './local-backend.js';
import { PeerDaemons } from './peer-daemons.js';
import { RequestIntake } from './request-intake.js';
import { forwarderCounters } from './forwarder-counters.js';
import type { SidecarSettings } from './sidecar-settings.js';
import {
  socketTransport,
  type CallerListener,
  type LinkListener,
  type SidecarTransport,
} from './sidecar-transport.js';
import { ZoneEvacuation } from './zone-evacuation.js';

/** Network links that carry less than this are slow: an answer may wait there for longer than it is worked on. */
const SLOW_LINK_BYTES_PER_MS = 12_500;

/** Pause between looks at the back end's state, in ms. */
const STEP_MS = 100;

/** Time in ms after the start in which requests wait for the back end to tell about itself. */
const FIRST_HEARTBEAT_MS = 4_000;

/** Time in ms in which the last messages of a daemon that stops leave it. */
const FLUSH_MS = 60;

/**
 * Parts of the grace time at a stop: until the first everything goes on, since callers learn of the stop late; until
 * the second the back end is still sent requests of other daemons; at the last everything ends.
 */
const CLOSING_SHARE = 0.45;
const BACKEND_CLOSING_SHARE = 0.65;
const LAST_SHARE = 0.92;

/** When to come back after a stop, in ms. */
const STOPPING_RETRY_MS = 500;

/** What a sidecar is started with. */
export interface SidecarOptions {
  readonly settings: SidecarSettings;
  readonly token: string;
  readonly runtime: Runtime;
  readonly log: EventLog;
  /** Calls to the back end, for grants that are not sent in heartbeats. */
  readonly calls: BackendCalls;
  /** From 0 to below 1. */
  readonly random: () => number;
  /** Asks whether any process listens at the back end's address. */
  readonly backendListens: () => Promise<boolean>;
  readonly latencies: Latencies;
  /** How it meets callers, other daemons and its back end; sockets where it is left out. */
  readonly transport?: SidecarTransport;
}

/** A running sidecar. */
export class SidecarNode {
  readonly table = new DirectoryTable();
  readonly gateway: BackendGateway;
  readonly backendClient: BackendClient;
  /** Paces large answers; null where the network link is fast. */
  private readonly pacer: LinkPacer | null;
  readonly counters = forwarderCounters();
  readonly directory: DirectoryClient;
  private readonly settings: SidecarSettings;
  private readonly runtime: Runtime;
  private readonly log: EventLog;
  private readonly presence: BackendPresence;
  private readonly backend: LocalBackend;
  private readonly lease: LeaseKeeper;
  private readonly keys: KeyOwnership;
  private readonly load = new LoadMeter();
  private readonly coldLimit: ColdStartLimit;
  private readonly evacuation: ZoneEvacuation;
  readonly crashes: CrashWatch;
  private readonly chooser: BackendChooser;
  /** Asks other daemons how busy their back ends are. */
  readonly prober: BackendProber;
  private readonly peers: PeerDaemons;
  private readonly intake: RequestIntake;
  private readonly requests: CallerRequests;
  private readonly callers: CallerListener;
  private readonly linkServer: LinkListener;
  private readonly transport: SidecarTransport;
  private readonly startedMs: number;
  private readonly timers: CancelTimer[] = [];
  private stoppingSinceMs: number | null = null;
  private closingConnections = false;

  private constructor(private readonly options: SidecarOptions) {
    const { settings, runtime, log } = options;
    this.settings = settings;
    this.runtime = runtime;
    this.log = log;
    this.startedMs = runtime.nowMs();
    this.transport = options.transport ?? socketTransport(settings, runtime);
    this.presence = this.makePresence();
    this.backend = this.presence.backend;
    this.lease = this.makeLease();
    this.keys = this.makeKeys();
    const { linkBytesPerMs } = settings;
    this.pacer = linkBytesPerMs < SLOW_LINK_BYTES_PER_MS ? new LinkPacer(linkBytesPerMs, runtime) : null;
    this.backendClient = this.transport.backend(() => {
      void this.presence.lookAgain();
    });
    this.coldLimit = new ColdStartLimit(settings.coldStartBound, runtime.steadyMs());
    this.evacuation = new ZoneEvacuation(settings.evacuationMs);
    this.crashes = this.makeCrashWatch();
    this.gateway = this.makeGateway();
    this.peers = new PeerDaemons({
      runtime,
      log,
      dialLink: (route, handlers) => this.transport.dialLink(route, handlers),
      dialFrom: settings.dialFrom,
      ownLinks: settings.links,
      pacer: this.pacer,
      onStatus: (instance) => {
        this.prober.answered(instance);
      },
    });
    this.chooser = this.makeChooser();
    this.prober = new BackendProber({
      runtime,
      view: (instance) => this.peers.viewOf(instance),
      sendProbe: (instance) => {
        this.peers.linkTo(instance).probe();
      },
    });
    this.intake = new RequestIntake({
      runtime,
      table: this.table,
      dialect: settings.dialect,
      service: settings.service,
      tableIsCurrent: () => this.directory.current,
    });
    this.requests = this.makeRequests();
    this.linkServer = this.transport.links({
      take: (head, body, reply) => this.gateway.take(head, body, reply),
      status: () => this.gateway.status(),
      pacer: this.pacer,
    });
    this.callers = this.transport.callers({
      limits: () => this.table.limits,
      closing: () => this.closingConnections,
      take: (request, sink) => this.takeRequest(request, sink),
    });
    this.directory = this.makeDirectory();
    this.timers.push(
      runtime.every(STEP_MS, () => {
        this.presence.step(this.keys.isKeyed);
      }),
    );
  }

  /** Starts to listen. */
  static async start(options: SidecarOptions): Promise<Result<SidecarNode, string>> {
    const node = new SidecarNode(options);
    const links = await node.linkServer.listen(options.settings.links);
    if (links.err) return links;
    const callers = await node.callers.listen(options.settings.callers);
    if (callers.err) return callers;
    return Ok(node);
  }

  /** Why callers should not come here now; null when they may. */
  get notReady(): string | null {
    if (this.stoppingSinceMs !== null) return 'stopping';
    return this.table.configured ? null : 'no configuration is known';
  }

  /** The daemon's clock, in ms. */
  get nowMs(): number {
    return this.runtime.nowMs();
  }

  /** Time left of the back end's lease, in ms; not above 0 when there is none. */
  get leaseLeftMs(): number {
    return this.lease.deadlineMs - this.runtime.nowMs();
  }

  /** Whether requests of callers, or answers to other daemons, are under way. */
  get busy(): boolean {
    const sends = this.pacer !== null && this.pacer.backlogMs > 0;
    return sends || this.callers.activeRequests > 0 || this.gateway.runningCount > 0;
  }

  /** Takes a heartbeat of the back end; the answer may wait a moment for keys that are on their way. */
  async heartbeat(heartbeat: BackendHeartbeat): Promise<HeartbeatGrant | null> {
    const arrivedMs = this.runtime.nowMs();
    if (!(await this.presence.admits(heartbeat))) return null;
    const before = this.presentLife();
    const news = this.presence.take(heartbeat, arrivedMs);
    if (news === 'new-life' && before !== null) this.crashes.lifeReplaced(before);
    if (news === 'stale') return null;
    if (news === 'new-life') this.newLife(heartbeat);
    else this.coldLimit.takeTold(heartbeat.coldLeftMs, this.runtime.steadyMs());
    this.gateway.setSlots(heartbeat.slots);
    this.presence.register();
    this.keys.take(heartbeat);
    this.gateway.reconsider();
    return await this.keys.answer(heartbeat, arrivedMs);
  }

  /** A life of the back end says that it leaves and sends no more heartbeats; what it said binds, also if it is not known. */
  async leave(said: BackendLife): Promise<void> {
    await this.presence.leave(said);
    this.gateway.reconsider();
  }

  /** Whether back ends of a service are named here, as far as the configuration is known. */
  namesService(service: string): boolean {
    return service === this.settings.service || this.table.service(service) !== null;
  }

  /** Takes over settings that were read again. */
  reload(seeds: readonly string[]): void {
    this.directory.addSeeds(seeds);
  }

  /** Finishes what runs, within the grace time, and stops. */
  async stop(): Promise<void> {
    if (this.stoppingSinceMs !== null) return;
    const startMs = this.runtime.nowMs();
    this.stoppingSinceMs = startMs;
    const { graceMs } = this.settings;
    void this.presence.lookAgain();
    await this.waitUntil(startMs + graceMs * CLOSING_SHARE, () => false);
    this.closingConnections = true;
    this.callers.stopListening();
    await this.waitUntil(startMs + graceMs * LAST_SHARE, () => !this.busy);
    // A daemon that comes back finds its back end where it was; one whose back end has ended gives its keys up.
    if (this.backend.life !== null && !(await this.options.backendListens())) {
      this.presence.gone('it ended before its daemon');
      await this.waitUntil(this.runtime.nowMs() + FLUSH_MS, () => false);
    }
    this.close();
    // The last frames to other daemons are on their way for a moment.
    await this.waitUntil(this.runtime.nowMs() + FLUSH_MS, () => false);
  }

  private close(): void {
    for (const cancel of this.timers) cancel();
    this.lease.stop();
    this.crashes.stop();
    this.keys.stop();
    this.callers.close();
    this.gateway.stop();
    this.linkServer.close();
    this.peers.stop();
    this.directory.stop();
  }

  // ---- parts

  private makeLease(): LeaseKeeper {
    return new LeaseKeeper({
      runtime: this.runtime,
      log: this.log,
      daemonAddress: formatAddress(this.settings.advertisedLinks),
      otherLife: (id) => this.table.otherLife(id, formatAddress(this.settings.advertisedLinks)),
      heldIndex: () => this.table.heldIndex,
      send: (request) => this.directory.send(request),
      takeLoad: () => this.load.take(),
      pressed: () => this.gateway.admission.waitingCount > 0,
      onChange: () => {
        this.tableChanged();
      },
    });
  }

  private makeKeys(): KeyOwnership {
    const { settings, runtime, log, table, lease, backend } = this;
    return new KeyOwnership({
      runtime,
      log,
      table,
      lease,
      backend,
      calls: this.options.calls,
      service: settings.service,
      usualGrantMode: settings.grantMode,
      holdMs: settings.holdMs,
      send: (request) => this.directory.send(request),
      isPresent: async () => await this.presence.isKnownLife(),
      onGained: () => {
        this.gateway.reconsider();
      },
    });
  }

  private makePresence(): BackendPresence {
    const { settings, runtime, log, table } = this;
    return new BackendPresence({
      runtime,
      log,
      table,
      service: settings.service,
      drainMs: settings.drainMs,
      silenceMs: settings.holdMs,
      calls: this.options.calls,
      lease: () => this.lease,
      send: (request) => this.directory.send(request),
      listens: this.options.backendListens,
      holdsNothing: () => this.keys.holdsNothing,
      onConfirmed: () => {
        this.gateway.reconsider();
      },
      onGone: () => {
        this.keys.clear();
        this.gateway.reconsider();
      },
    });
  }

  private makeGateway(): BackendGateway {
    return new BackendGateway({
      runtime: this.runtime,
      log: this.log,
      service: this.settings.service,
      latencies: this.options.latencies,
      pacer: this.pacer,
      backend: this.backendClient,
      coldLimit: this.coldLimit,
      guard: this.crashes,
      instance: () => (this.backend.confirmed || this.backend.leaving ? this.backend.life : null),
      awaitsBackend: () => this.runtime.nowMs() - this.startedMs < FIRST_HEARTBEAT_MS,
      closesAtMs: () => this.closesAtMs(),
      leaving: () => this.backend.leaving || this.stoppingSinceMs !== null || this.evacuation.standing,
      holdsKey: (key) => this.keys.holds(key),
      ownsKey: (key) => this.keys.owns(key),
      onWork: (key, ms) => {
        if (key !== null) this.load.add(key, ms);
      },
    });
  }

  private makeCrashWatch(): CrashWatch {
    return new CrashWatch({
      runtime: this.runtime,
      log: this.log,
      quarantine: this.table.quarantine,
      life: () => this.presentLife(),
      listens: this.options.backendListens,
      send: (request) => this.directory.send(request),
      onDoubt: () => {
        this.keys.doubtLife();
      },
      onPermit: () => {
        this.gateway.suspects.step();
      },
    });
  }

  /** The life of the back end, as long as it does not leave and this daemon does not stop. */
  private presentLife(): BackendIncarnation | null {
    const { heartbeat } = this.backend;
    if (heartbeat === null || this.backend.leaving || this.stoppingSinceMs !== null) return null;
    const { service, version } = heartbeat;
    return { id: lifeName(heartbeat), service, version };
  }

  private makeChooser(): BackendChooser {
    return new BackendChooser({
      table: this.table,
      zone: this.settings.zone,
      daemonAddress: formatAddress(this.settings.advertisedLinks),
      linkBytesPerMs: this.settings.linkBytesPerMs,
      view: (instance) => this.peers.viewOf(instance),
      nowMs: () => this.runtime.nowMs(),
      random: this.options.random,
    });
  }

  private makeRequests(): CallerRequests {
    const { settings, runtime, log, chooser, prober, peers } = this;
    const { latencies } = this.options;
    const forwarding = {
      runtime,
      log,
      chooser,
      prober,
      latencies,
      view: (instance: string) => peers.viewOf(instance),
      linkTo: (instance: BackendInstance) => peers.linkTo(instance),
      tableIndex: () => this.table.index,
    };
    const { retryBudget } = settings;
    const { intake, table } = this;
    const ports = { intake, table, forwarding, retryBudget, daemons: () => peers.count };
    return new CallerRequests(ports, this.counters);
  }

  private makeDirectory(): DirectoryClient {
    const { settings, token } = this.options;
    const identity = { role: 'sidecar', name: settings.name, zone: settings.zone, token } as const;
    return new DirectoryClient(this.runtime, identity, settings.seeds, this.table, this.log, {
      onTable: () => {
        this.tableChanged();
      },
      onNotice: (notice) => {
        this.lease.receive(notice);
        this.crashes.receive(notice);
      },
      onConnected: () => {
        this.lease.reconnected();
      },
    });
  }

  // ---- the back end beside this daemon

  private closesAtMs(): number {
    const stopMs = (this.stoppingSinceMs ?? Infinity) + this.settings.graceMs * BACKEND_CLOSING_SHARE;
    return Math.min(this.backend.closesAtMs, stopMs, this.evacuation.closesAtMs(this.keys.isKeyed));
  }

  /**
   * An evacuation that a whole table brings may have begun long ago. When one ends, the back ends may have become cold
   * without having told so yet.
   */
  private adoptEvacuation(): void {
    const zone = this.backend.heartbeat?.zone ?? this.settings.zone;
    const evacuated = this.table.isEvacuated(zone);
    if (evacuated === this.evacuation.standing) return;
    if (evacuated) this.evacuation.begin(this.table.isPatched ? this.runtime.nowMs() : -Infinity);
    else {
      this.evacuation.end();
      this.coldLimit.assumeCold();
    }
    this.log.event('evacuation', { zone, evacuated });
  }

  private newLife(heartbeat: BackendHeartbeat): void {
    const { sequence, slots, coldLeftMs } = heartbeat;
    const { life, confirmed } = this.backend;
    this.log.event('backend-known', { instance: life, sequence, slots, coldLeftMs, confirmed });
    this.coldLimit.startLife(coldLeftMs, this.runtime.steadyMs());
    this.gateway.startLife();
    this.gateway.forecast.pace.forget();
    this.adoptEvacuation();
    this.keys.clear();
  }

  // ---- the directory

  private tableChanged(): void {
    this.coldLimit.configure(this.table.service(this.settings.service)?.coldStart ?? null);
    this.adoptEvacuation();
    this.keys.adoptGrantMode();
    this.presence.register();
    this.lease.tableChanged();
    this.keys.tableChanged();
    this.callers.applyLimits();
    this.gateway.reconsider();
    this.requests.tableChanged();
    this.peers.keepOnly(this.table.instances());
  }

  // ---- callers

  private takeRequest(incoming: IncomingRequest, sink: CallerSink): TakenRequest | OwnAnswer {
    if (this.closingConnections) {
      return { statusCode: OWN_STATUS.notRun, reason: 'stopping', retryAfterMs: STOPPING_RETRY_MS };
    }
    return this.requests.take(incoming, sink);
  }

  private async waitUntil(untilMs: number, done: () => boolean): Promise<void> {
    await new Promise<void>((resolve) => {
      const cancel = this.runtime.every(STEP_MS / 4, () => {
        if (this.runtime.nowMs() < untilMs && !done()) return;
        cancel();
        resolve();
      });
    });
  }
}
