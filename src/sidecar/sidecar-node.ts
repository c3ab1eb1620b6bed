/**
 * The daemon beside one back end. Accepts requests from callers on its machine, forwards them to the daemons beside
 * the back ends that serve them, and is the only path to its own back end.
 */
import type { BackendInstance } from '../directory/directory-state.js';
import { LinkBytes } from '../link/link-bytes.js';
import { LinkPacer } from '../link/link-pacer.js';
import { incarnationName, type BackendIncarnation } from '../model/backend-incarnation.js';
import { formatAddress } from '../model/socket-address.js';
import { Ok, type Result } from '../result.js';
import type { ProcessMemory } from '../runtime/client-memory.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import type { ProcessDelay } from '../telemetry/process-delay.js';
import { StartStages } from '../telemetry/start-stages.js';
import { watchStalls } from '../telemetry/stall-watch.js';
import { AnswerWindows } from './answer-windows.js';
import { BackendChooser } from './backend-chooser.js';
import type { BackendClient } from './backend-client.js';
import { BackendGateway } from './backend-gateway.js';
import { BackendPresence } from './backend-presence.js';
import { BackendProber } from './backend-prober.js';
import type { BackendCalls, BackendHeartbeat, HeartbeatGrant } from './backend-report.js';
import type { CallerSink, RequestHandle } from './caller-request.js';
import { CallerRequests, STOPPING_ANSWER } from './caller-requests.js';
import { ColdStartLimit } from './cold-start-limit.js';
import type { AnswerFault, DeliveredBytes } from './caller-answer.js';
import type { IncomingRequest } from './caller-server.js';
import { headerValue } from './header-dialect.js';
import type { LocalAnswer } from './local-answer.js';
import { CrashWatch } from './crash-watch.js';
import { DAEMON_LOAD_INTERVAL_MS, DaemonLoad } from './daemon-load.js';
import { DirectoryClient } from './directory-client.js';
import { countDirectoryBytes } from './directory-bytes.js';
import { DirectoryTable } from './directory-table.js';
import type { VersionedIncarnation } from '../quarantine/crash-reporter.js';
import { isCertainlyNew } from './incarnation-age.js';
import { KeyOwnership } from './key-ownership.js';
import { LeaseKeeper } from './lease-keeper.js';
import { LoadMeter } from './load-meter.js';
import { FIRST_SEQUENCE, type LocalBackend } from './local-backend.js';
import type { EndedCall } from './nested-calls.js';
import { PeerDaemons } from './peer-daemons.js';
import { PeerZones } from './peer-zones.js';
import { RequestIntake } from './request-intake.js';
import { createForwarderCounters } from './forwarder-counters.js';
import type { SidecarSettings } from './sidecar-settings.js';
import {
  socketTransport,
  type CallerListener,
  type LinkListener,
  type SidecarTransport,
} from './sidecar-transport.js';
import { StatedLeaves } from './stated-leaves.js';
import type { UnansweredRequest } from './unanswered-request.js';
import { ZoneEvacuation } from './zone-evacuation.js';

/** Bandwidth below which answers are paced: their wait in the link's send queue may exceed the processing time. */
const SLOW_LINK_BYTES_PER_MS = 12_500;

/** Interval in ms between checks of the back end's state. */
const CHECK_INTERVAL_MS = 100;

/** Interval in ms between log lines with the bytes exchanged with other daemons. */
const BYTES_LOG_INTERVAL_MS = 10_000;

/** Time in ms after the start during which requests wait for the back end's first heartbeat. */
const FIRST_HEARTBEAT_WAIT_MS = 4_000;

/** Time in ms allowed for the last messages to be sent when the daemon stops. */
const FLUSH_MS = 60;

/**
 * Phases of a shutdown, as fractions of the grace time. Callers are served until the first, since they notice the
 * shutdown with a delay. The back end receives requests from other daemons until the second, so that each has about half of
 * the grace time to run. At the third, what still runs is ended; whole answers that slow callers have not taken have until
 * the fourth. Then connections are ended, and read until the last: closing one with unread input resets it, and its caller
 * may lose answers that it has not read.
 */
const CALLERS_CLOSE_FRACTION = 0.45;
const BACKEND_CLOSE_FRACTION = 0.5;
const RUNS_END_FRACTION = 0.92;
const ANSWERS_END_FRACTION = 0.95;
const FINAL_CLOSE_FRACTION = 0.97;

/** Dependencies and settings of a sidecar. */
export interface SidecarOptions {
  readonly settings: SidecarSettings;
  readonly token: string;
  readonly runtime: Runtime;
  readonly log: EventLog;
  /** Calls to the back end, for grants that are not sent in heartbeat answers. */
  readonly calls: BackendCalls;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** Checks whether any process listens at the back end's address. */
  readonly backendListens: () => Promise<boolean>;
  readonly latencies: Latencies;
  /** Connections to callers, other daemons and the back end; defaults to sockets. */
  readonly transport?: SidecarTransport;
  /** Accounts for the bytes that sockets hold for clients; defaults to those of a small machine. */
  readonly memory?: ProcessMemory;
}

/** A running sidecar. */
export class SidecarNode {
  readonly table = new DirectoryTable();
  readonly gateway: BackendGateway;
  readonly backendClient: BackendClient;
  /** Paces large answers; null if the network link is fast. */
  private readonly pacer: LinkPacer | null;
  readonly counters = createForwarderCounters();
  /** How late this process runs. */
  readonly delay: ProcessDelay;
  private readonly stages: StartStages;
  /** Bytes exchanged with other daemons. */
  readonly linkBytes = new LinkBytes();
  private readonly zones: PeerZones;
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
  private readonly statedLeaves: StatedLeaves;
  private readonly chooser: BackendChooser;
  /** Probes other daemons for the load of their back ends. */
  readonly prober: BackendProber;
  private readonly peers: PeerDaemons;
  private readonly intake: RequestIntake;
  private readonly requests: CallerRequests;
  private readonly callers: CallerListener;
  private readonly linkServer: LinkListener;
  private readonly transport: SidecarTransport;
  private readonly startedMs: number;
  /** Id of this process, under which it holds the registration of its back end. */
  private readonly holder: string;
  private readonly timers: CancelTimer[] = [];
  private stoppingSinceMs: number | null = null;
  private closingConnections = false;
  private closingBackend = false;

  private constructor(private readonly options: SidecarOptions) {
    const { settings, runtime, log } = options;
    this.settings = settings;
    this.runtime = runtime;
    this.log = log;
    this.startedMs = runtime.nowMs();
    this.holder = runtime.randomId();
    this.delay = watchStalls(runtime, log);
    this.stages = new StartStages(() => runtime.nowMs(), log);
    this.transport = options.transport ?? socketTransport(settings, runtime, options.memory);
    this.presence = this.makePresence();
    this.backend = this.presence.backend;
    this.lease = this.makeLease();
    this.keys = this.makeKeys();
    const { linkBytesPerMs } = settings;
    this.pacer = linkBytesPerMs < SLOW_LINK_BYTES_PER_MS ? new LinkPacer(linkBytesPerMs, runtime) : null;
    this.backendClient = this.transport.backend(
      () => {
        void this.presence.recheckListening();
      },
      (surplus) => {
        this.log.failure('surplus-bytes', { ...surplus });
      },
    );
    this.coldLimit = new ColdStartLimit(settings.coldStartBound, runtime.steadyMs());
    this.evacuation = new ZoneEvacuation(settings.evacuationMs);
    this.crashes = this.makeCrashWatch();
    this.gateway = this.makeGateway();
    this.zones = new PeerZones(settings.zone, formatAddress(settings.advertisedLinks));
    this.peers = new PeerDaemons({
      runtime,
      log,
      dialLink: (route, handlers) => this.transport.dialLink(route, handlers),
      dialFrom: settings.dialFrom,
      ownLinkAddress: settings.links,
      pacer: this.pacer,
      meterOf: (daemonAddress) => this.linkBytes.meter(() => this.zones.scopeOf(daemonAddress)),
      onStatus: (instance) => {
        this.prober.answered(instance);
      },
    });
    this.statedLeaves = new StatedLeaves({ runtime, log, drainMs: settings.drainMs });
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
      tableIsCurrent: () => this.directory.isTableCurrent,
      findParent: (arrived) => this.gateway.runningRequests.findParent(arrived, runtime.nowMs()),
    });
    this.requests = this.makeRequests();
    this.linkServer = this.transport.links({
      take: (head, body, reply) => this.gateway.accept(head, body, reply),
      status: () => this.gateway.status(),
      onDropped: () => {
        this.gateway.counters.cancelled.unread += 1;
      },
      pacer: this.pacer,
      meterOf: (host) =>
        this.linkBytes.meter(() => (host === null ? 'machine' : this.zones.scopeOfHost(host))),
    });
    this.callers = this.transport.callers({
      limits: () => this.table.limits,
      closing: () => this.closingConnections,
      handle: (request, sink) => this.handleRequest(request, sink),
      onLeft: () => {
        this.counters.leftUnread += 1;
      },
      onAnswerFault: (headers, fault, delivered, behind) => {
        this.recordAnswerFault(headers, fault, delivered, behind);
      },
      onUnanswered: (request) => {
        this.recordUnanswered(request);
      },
    });
    this.directory = this.makeDirectory();
    const load = new DaemonLoad({
      delay: this.delay,
      callers: this.counters,
      gateway: this.gateway,
      pacer: this.pacer,
    });
    this.timers.push(
      runtime.every(DAEMON_LOAD_INTERVAL_MS, () => {
        log.event('daemon-load', load.takeFields());
      }),
      runtime.every(CHECK_INTERVAL_MS, () => {
        this.presence.checkRemoved(this.keys.isKeyed);
      }),
      runtime.every(BYTES_LOG_INTERVAL_MS, () => {
        this.logBytes();
      }),
    );
  }

  /** Creates a sidecar and starts listening for other daemons and for callers. */
  static async start(options: SidecarOptions): Promise<Result<SidecarNode, string>> {
    const node = new SidecarNode(options);
    const links = await node.linkServer.listen(options.settings.links);
    if (links.err) return links;
    const callers = await node.callers.listen(options.settings.callers);
    if (callers.err) return callers;
    return Ok(node);
  }

  /** Reason why the daemon is not ready for callers; null if it is ready. */
  get notReadyReason(): string | null {
    if (this.stoppingSinceMs !== null) return 'stopping';
    return this.table.configured ? null : 'no configuration is known';
  }

  /** Number of links to other daemons that were closed because they were not used. */
  get idleLinks(): number {
    return this.peers.idleLinks;
  }

  /** Current time of the daemon's clock, in ms. */
  get nowMs(): number {
    return this.runtime.nowMs();
  }

  /** Remaining time of the back end's lease, in ms; zero or negative if there is none. */
  get leaseLeftMs(): number {
    return this.lease.deadlineMs - this.runtime.nowMs();
  }

  /** Whether requests of callers or answers to other daemons are in flight. */
  get busy(): boolean {
    const sends = this.pacer !== null && this.pacer.backlogMs > 0;
    const isSending = sends || this.linkServer.waitingAnswers > 0;
    return isSending || this.callers.activeRequests > 0 || this.gateway.runningCount > 0;
  }

  /**
   * Processes a heartbeat of the back end. The answer is delayed briefly while keys are being moved to the back
   * end.
   */
  async heartbeat(heartbeat: BackendHeartbeat): Promise<HeartbeatGrant | null> {
    const arrivedMs = this.runtime.nowMs();
    if (!(await this.presence.accepts(heartbeat))) return null;
    const previous = this.currentIncarnation();
    const outcome = this.presence.recordHeartbeat(heartbeat, arrivedMs);
    if (outcome === 'new-life' && previous !== null) this.crashes.incarnationReplaced(previous);
    if (outcome === 'stale') return null;
    this.stages.reach('back-end');
    if (outcome === 'new-life') this.startIncarnation(heartbeat);
    else this.coldLimit.recordReport(heartbeat.coldLeftMs, this.runtime.steadyMs());
    this.gateway.setSlots(heartbeat.slots);
    this.presence.register();
    this.keys.recordHeartbeat(heartbeat);
    this.gateway.reevaluateWaiting();
    return await this.keys.answer(heartbeat, arrivedMs);
  }

  /**
   * Processes the final message of an incarnation that leaves and sends no more heartbeats. It is binding even if
   * that incarnation is unknown here.
   */
  async leave(reported: BackendIncarnation): Promise<void> {
    await this.presence.leave(reported);
    this.gateway.reevaluateWaiting();
  }

  /** Whether a service is known here: it is the back end's own, or the configuration defines it. */
  namesService(service: string): boolean {
    return service === this.settings.service || this.table.service(service) !== null;
  }

  /** Applies reloaded settings. */
  reload(seeds: readonly string[]): void {
    this.directory.addSeeds(seeds);
  }

  /** Finishes requests in flight within the grace time, then stops. */
  async stop(): Promise<void> {
    if (this.stoppingSinceMs !== null) return;
    const startMs = this.runtime.nowMs();
    this.stoppingSinceMs = startMs;
    this.delay.phase = 'stopping';
    const { graceMs } = this.settings;
    void this.presence.recheckListening();
    await this.waitUntil(startMs + graceMs * CALLERS_CLOSE_FRACTION, () => false);
    this.closingConnections = true;
    this.callers.stopListening();
    await this.waitUntil(startMs + graceMs * BACKEND_CLOSE_FRACTION, () => !this.busy);
    // A run that began between the last check and the end would be cut off.
    this.closingBackend = true;
    const isDone = (): boolean => !this.busy && this.callers.openConnections === 0;
    await this.waitUntil(startMs + graceMs * RUNS_END_FRACTION, isDone);
    this.requests.endAll();
    const answersEndMs = Math.max(startMs + graceMs * ANSWERS_END_FRACTION, this.runtime.nowMs() + FLUSH_MS);
    await this.waitUntil(answersEndMs, () => this.callers.activeRequests === 0);
    this.callers.endConnections();
    const finalMs = Math.max(startMs + graceMs * FINAL_CLOSE_FRACTION, this.runtime.nowMs() + FLUSH_MS);
    await this.waitUntil(finalMs, () => this.callers.openConnections === 0);
    // If the back end is still running, a restarted daemon resumes with its registration; if it has ended, its keys
    // are released now.
    if (this.backend.life !== null && !(await this.options.backendListens())) {
      this.presence.gone('back end ended before its daemon', 'ended');
      await this.waitUntil(this.runtime.nowMs() + FLUSH_MS, () => false);
    }
    this.close();
    // Leaves time for the last frames to reach other daemons.
    await this.waitUntil(this.runtime.nowMs() + FLUSH_MS, () => false);
  }

  private logBytes(): void {
    const bytes = this.linkBytes.takeNew();
    if (bytes !== null) this.log.event('link-bytes', { bytes });
  }

  private close(): void {
    for (const cancel of this.timers) cancel();
    this.logBytes();
    this.delay.stop();
    this.lease.stop();
    this.crashes.stop();
    this.keys.stop();
    this.callers.close();
    this.gateway.stop();
    this.linkServer.close();
    this.peers.stop();
    this.directory.stop();
  }

  // ---- components

  private makeLease(): LeaseKeeper {
    return new LeaseKeeper({
      runtime: this.runtime,
      log: this.log,
      daemonAddress: formatAddress(this.settings.advertisedLinks),
      holder: this.holder,
      holderOf: (id) => this.table.instance(id)?.holder ?? null,
      otherIncarnation: (id) => this.table.otherIncarnation(id, formatAddress(this.settings.advertisedLinks)),
      mayReplace: (registered) => this.presence.mayReplace(registered),
      heldIndex: () => this.table.heldIndex,
      send: (request) => this.directory.send(request),
      takeLoad: () => this.load.take(),
      usableSlots: () => this.gateway.usableSlots,
      hasQueuedRequests: () => this.gateway.admission.waitingCount > 0,
      onFirstRegistration: (leaseTermMs, replacesAnother) => {
        this.stages.reach('registered');
        this.confirmNewIncarnation(leaseTermMs, replacesAnother);
      },
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
      defaultGrantMode: settings.grantMode,
      holdMs: settings.holdMs,
      holder: this.holder,
      send: (request) => this.directory.send(request),
      isPresent: async () => await this.presence.isKnownIncarnationPresent(),
      onKeysGained: () => {
        this.gateway.reevaluateWaiting();
      },
      onMisdirected: (instance) => {
        this.presence.recordMisdirected(instance);
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
      daemonAddress: formatAddress(settings.advertisedLinks),
      drainMs: settings.drainMs,
      heartbeatTimeoutMs: settings.holdMs,
      calls: this.options.calls,
      lease: () => this.lease,
      send: (request) => this.directory.send(request),
      listens: this.options.backendListens,
      holdsNoKeys: () => this.keys.holdsNoKeys,
      onLimit: (requestsPerSecond) => {
        this.gateway.pacing.adopt(requestsPerSecond);
      },
      onCold: (coldLeftMs) => {
        this.coldLimit.recordReport(coldLeftMs, this.runtime.steadyMs());
      },
      onConfirmed: () => {
        this.gateway.reevaluateWaiting();
      },
      onRemoved: () => {
        this.keys.clear();
        this.gateway.reevaluateWaiting();
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
      probeIncarnation: async (instance) => await this.presence.stateOf(instance),
      guard: this.crashes,
      instance: () => (this.backend.confirmed || this.backend.leaving ? this.backend.life : null),
      awaitsBackend: () => this.runtime.nowMs() - this.startedMs < FIRST_HEARTBEAT_WAIT_MS,
      closesAtMs: () => this.closesAtMs(),
      endsAtMs: () => this.endsAtMs,
      stalledMs: () => this.delay.recentMs,
      leaving: () => this.backend.leaving || this.stoppingSinceMs !== null || this.evacuation.isActive,
      holdsKey: (key) => this.keys.holds(key),
      ownsKey: (key) => this.keys.owns(key),
      onAnswer: (leaving) => {
        this.presence.recordAnswer(leaving);
      },
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
      life: () => this.currentIncarnation(),
      listens: this.options.backendListens,
      send: (request) => this.directory.send(request),
      onPossibleRestart: () => {
        this.keys.suspectRestart();
      },
      onMisdirected: (instance) => {
        // A back end of a keyed service also rejects keys that it does not hold.
        if (!this.keys.isKeyed) this.presence.recordMisdirected(instance);
      },
      onPermit: () => {
        this.gateway.suspects.check();
      },
    });
  }

  /** The back end's incarnation; null while it is leaving or this daemon is stopping. */
  private currentIncarnation(): VersionedIncarnation | null {
    const { heartbeat } = this.backend;
    if (heartbeat === null || this.backend.leaving || this.stoppingSinceMs !== null) return null;
    const { service, version } = heartbeat;
    return { id: incarnationName(heartbeat), service, version };
  }

  private makeChooser(): BackendChooser {
    return new BackendChooser({
      table: this.table,
      zone: this.settings.zone,
      daemonAddress: formatAddress(this.settings.advertisedLinks),
      linkBytesPerMs: this.settings.linkBytesPerMs,
      view: (instance) => this.peers.viewOf(instance),
      statedLeaves: this.statedLeaves,
      nowMs: () => this.runtime.nowMs(),
      random: this.options.random,
    });
  }

  private makeRequests(): CallerRequests {
    const { settings, runtime, log, chooser, statedLeaves, prober, peers } = this;
    const { latencies } = this.options;
    const forwarding = {
      runtime,
      log,
      chooser,
      statedLeaves,
      prober,
      latencies,
      windows: new AnswerWindows(),
      view: (instance: string) => peers.viewOf(instance),
      linkTo: (instance: BackendInstance) => peers.linkTo(instance),
      tableIndex: () => this.table.index,
      onCallEnded: (call: EndedCall) => {
        this.gateway.recordCallEnded(call);
      },
    };
    const { retryBudget } = settings;
    const { intake, table } = this;
    const daemons = (): number => peers.count;
    const stopsInMs = (): number => this.endsAtMs - runtime.nowMs();
    const ports = { intake, table, forwarding, retryBudget, daemons, stopsInMs };
    return new CallerRequests(ports, this.counters);
  }

  private makeDirectory(): DirectoryClient {
    const { settings, token } = this.options;
    const identity = { role: 'sidecar', name: settings.name, zone: settings.zone, token } as const;
    const runtime = countDirectoryBytes(this.runtime, this.linkBytes);
    return new DirectoryClient(runtime, identity, settings.seeds, this.table, this.log, {
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

  // ---- the local back end

  /** Time in ms at which what still runs is ended because this daemon stops; infinite while it does not. */
  private get endsAtMs(): number {
    return (this.stoppingSinceMs ?? Infinity) + this.settings.graceMs * RUNS_END_FRACTION;
  }

  private closesAtMs(): number {
    if (this.closingBackend) return -Infinity;
    const stopMs = (this.stoppingSinceMs ?? Infinity) + this.settings.graceMs * BACKEND_CLOSE_FRACTION;
    return Math.min(this.backend.closesAtMs, stopMs, this.evacuation.closesAtMs(this.keys.isKeyed));
  }

  /**
   * Applies a change of the zone's evacuation. One that arrives in a whole table may have begun long ago, so it
   * stops requests at once. When an evacuation ends, back ends may have become cold without having reported that yet.
   */
  private applyEvacuation(): void {
    const zone = this.backend.heartbeat?.zone ?? this.settings.zone;
    const evacuated = this.table.isEvacuated(zone);
    if (evacuated === this.evacuation.isActive) return;
    if (evacuated)
      this.evacuation.begin(this.table.lastUpdateWasIncremental ? this.runtime.nowMs() : -Infinity);
    else {
      this.evacuation.end();
      this.coldLimit.assumeCold();
    }
    this.log.event('evacuation', { zone, evacuated });
  }

  private startIncarnation(heartbeat: BackendHeartbeat): void {
    const { sequence, slots, coldLeftMs } = heartbeat;
    const { life, confirmed } = this.backend;
    this.log.event('backend-known', { instance: life, sequence, slots, coldLeftMs, confirmed });
    this.coldLimit.startIncarnation(coldLeftMs, this.runtime.steadyMs());
    this.gateway.startIncarnation(incarnationName(heartbeat), sequence === FIRST_SEQUENCE);
    this.gateway.forecast.pace.forget();
    this.applyEvacuation();
    this.keys.clear();
  }

  /**
   * Ends the trial mode of an incarnation that was never registered before: it has received no requests, since callers
   * learn of it from the directory.
   */
  private confirmNewIncarnation(leaseTermMs: number, replaced: boolean): void {
    const { heartbeat } = this.backend;
    if (heartbeat === null) return;
    const { sequence, bornMs, coldLeftMs } = heartbeat;
    const coldDurationMs = this.table.service(this.settings.service)?.coldStart?.durationMs ?? null;
    const wallMs = this.runtime.wallMs();
    const replacesAnother = replaced && this.backend.isFirstIncarnation;
    const age = { bornMs, wallMs, leaseTermMs, coldLeftMs, coldDurationMs };
    if (!isCertainlyNew({ sequence, replacesAnother, ...age })) return;
    this.coldLimit.confirmNewToDaemon();
    this.gateway.pacing.confirmNewToDaemon();
  }

  // ---- the directory

  private tableChanged(): void {
    if (this.table.configured) this.stages.reach('table');
    this.coldLimit.configure(this.table.service(this.settings.service)?.coldStart ?? null);
    this.applyEvacuation();
    this.keys.applyGrantMode();
    this.presence.register();
    this.lease.tableChanged();
    this.keys.tableChanged();
    this.callers.applyLimits();
    this.gateway.reevaluateWaiting();
    this.requests.tableChanged();
    this.zones.update(this.table.instances());
    this.peers.retainOnly(this.table.instances());
  }

  // ---- callers

  private handleRequest(incoming: IncomingRequest, sink: CallerSink): RequestHandle | LocalAnswer {
    if (this.closingConnections) {
      return STOPPING_ANSWER;
    }
    this.stages.reach('request');
    return this.requests.handle(incoming, this.stages.has('answer') ? sink : this.withFirstAnswer(sink));
  }

  /** Wraps a sink so that the first answer ends the start of this daemon. */
  private withFirstAnswer(sink: CallerSink): CallerSink {
    return {
      answer: (head, body, onTaken) => {
        this.stages.reach('answer');
        if (this.delay.phase === 'starting') this.delay.phase = 'running';
        sink.answer(head, body, onTaken);
      },
      body: (chunk, onTaken) => {
        sink.body(chunk, onTaken);
      },
      end: () => {
        sink.end();
      },
      hasRequestsBehind: () => sink.hasRequestsBehind(),
      overdue: (onExpendable) => {
        sink.overdue(onExpendable);
      },
      abort: () => {
        sink.abort();
      },
      fail: (outcome) => {
        sink.fail(outcome);
      },
    };
  }

  private recordAnswerFault(
    headers: readonly string[],
    fault: AnswerFault,
    { passedBytes, statedBytes }: DeliveredBytes,
    behind: number,
  ): void {
    this.counters.answerFaults[fault] += 1;
    const requestId = headerValue(headers, this.settings.dialect.requestId);
    this.log.failure('answer-not-delivered', { requestId, fault, passedBytes, statedBytes, behind });
  }

  private recordUnanswered({ headers, cause, passedOn, ageMs }: UnansweredRequest): void {
    this.counters.unanswered[cause] += 1;
    const requestId = headerValue(headers, this.settings.dialect.requestId);
    const { phase } = this.delay;
    const sinceStopMs =
      this.stoppingSinceMs === null ? null : Math.round(this.runtime.nowMs() - this.stoppingSinceMs);
    const readMsAgo = ageMs === null ? null : Math.round(ageMs);
    this.log.failure('request-unanswered', { requestId, cause, passedOn, readMsAgo, phase, sinceStopMs });
  }

  private async waitUntil(untilMs: number, isDone: () => boolean): Promise<void> {
    await new Promise<void>((resolve) => {
      const cancel = this.runtime.every(CHECK_INTERVAL_MS / 4, () => {
        if (this.runtime.nowMs() < untilMs && !isDone()) return;
        cancel();
        resolve();
      });
    });
  }
}
