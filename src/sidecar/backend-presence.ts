/**
 * Tracks the incarnation of the local back end: processes its heartbeats, detects its end, and keeps its
 * registration in the directory up to date.
 */
import type { DirectoryRequest } from '../directory/directory-messages.js';
import { incarnationName, type BackendIncarnation } from '../model/backend-incarnation.js';
import { pause } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { BackendCalls, BackendHeartbeat, BackendIdentity } from './backend-report.js';
import type { DirectoryTable } from './directory-table.js';
import type { LeaseKeeper } from './lease-keeper.js';
import type { IncarnationState } from './end-confirmation.js';
import { IncarnationProbe } from './incarnation-probe.js';
import { IncarnationSuccession } from './incarnation-succession.js';
import { LocalBackend, type HeartbeatOutcome, type PastEnd } from './local-backend.js';

/** Delay in ms before a back end that refused a connection is checked again. */
const RECHECK_DELAY_MS = 120;

/** Interval in ms between checks of a back end that has left. */
const RECHECK_INTERVAL_MS = 300;

/** Dependencies on the daemon. */
export interface BackendPresencePorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly table: DirectoryTable;
  readonly service: string;
  /** Address of this daemon in registrations. */
  readonly daemonAddress: string;
  /** Time in ms after the acknowledgement of a leave during which the back end may still receive requests. */
  readonly drainMs: number;
  /** Time in ms without a heartbeat after which a back end with keys is considered ended. */
  readonly heartbeatTimeoutMs: number;
  readonly calls: BackendCalls;
  readonly lease: () => LeaseKeeper;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Checks whether any process listens at the back end's address. */
  readonly listens: () => Promise<boolean>;
  /** Whether the back end is certain to hold no keys any more. */
  readonly holdsNoKeys: () => boolean;
  /** Called when the current incarnation names a request limit in its answer to a probe. */
  readonly onLimit: (requestsPerSecond: number) => void;
  /** Called when the current incarnation reports in its answer to a probe for how long in ms it stays cold. */
  readonly onCold: (coldLeftMs: number) => void;
  /** Called when the current incarnation is confirmed and may receive requests. */
  readonly onConfirmed: () => void;
  /** Called when the current incarnation has ended. */
  readonly onRemoved: () => void;
}

/** How a back end has announced its leave. */
type LeaveSource = 'heartbeat' | 'goodbye' | 'answer';

/** Presence of the local back end. */
export class BackendPresence {
  readonly backend: LocalBackend;
  private readonly probe: IncarnationProbe;
  private readonly succession: IncarnationSuccession;
  private readonly startedMs: number;
  private recheckInProgress = false;
  private confirmationInProgress = false;
  private nextRecheckMs = -Infinity;

  constructor(private readonly ports: BackendPresencePorts) {
    const { runtime, drainMs, calls } = ports;
    this.startedMs = runtime.nowMs();
    this.backend = new LocalBackend(drainMs, this.startedMs);
    const healthPath = (): string | null => ports.table.service(ports.service)?.healthPath ?? null;
    const onAnswer = (identity: BackendIdentity, isProof: boolean): void => {
      this.receiveIdentity(identity, isProof);
    };
    const registered = (): string | null => ports.table.registeredAt(ports.daemonAddress);
    this.probe = new IncarnationProbe({ backend: this.backend, calls, registered, healthPath, onAnswer });
    this.succession = new IncarnationSuccession({
      runtime,
      backend: this.backend,
      probe: async (incarnation) => await this.probe.stateOf(incarnation),
      registered,
      silenceTimeoutMs: ports.heartbeatTimeoutMs,
      holdsNoKeys: () => ports.holdsNoKeys(),
      onProven: () => {
        this.register();
      },
      onDisproved: () => {
        this.gone('another incarnation is at its address', 'ended');
      },
    });
  }

  /**
   * Whether the known incarnation is the one at the back end's address; true if the service has no health path to
   * probe.
   */
  async isKnownIncarnationPresent(): Promise<boolean> {
    return await this.probe.isKnownIncarnationPresent();
  }

  /** Probes whether the incarnation of a name is at the address now. */
  async stateOf(name: string): Promise<IncarnationState> {
    return await this.probe.stateOfName(name, this.ports.listens);
  }

  /**
   * Whether a heartbeat may come from the incarnation that is present. Even if it is rejected, a leave that it
   * reports is binding for this daemon from now on, since its sender receives an acknowledgement.
   */
  async accepts(heartbeat: BackendHeartbeat): Promise<boolean> {
    if (heartbeat.condition === 'draining') this.recordLeave(heartbeat, 'heartbeat');
    if (await this.succession.accepts(heartbeat)) return true;
    const fields = { instance: incarnationName(heartbeat), present: this.backend.life };
    this.ports.log.event('heartbeat-of-past-life', fields);
    return false;
  }

  /** Processes a heartbeat that was accepted. */
  recordHeartbeat(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatOutcome {
    const outcome = this.backend.recordHeartbeat(heartbeat, nowMs);
    if (outcome === 'stale') this.logStale(heartbeat);
    return outcome;
  }

  /**
   * Processes the final message of an incarnation that leaves and sends no more heartbeats. It is binding even if
   * that incarnation is unknown here.
   */
  async leave(reported: BackendIncarnation): Promise<void> {
    const incarnation = await this.probe.resolveLeaving(reported);
    this.recordLeave(incarnation, 'goodbye');
    this.backend.leave(incarnation, this.ports.runtime.nowMs());
    this.register();
  }

  /** Whether the current incarnation may replace the registration of another one at this daemon. */
  mayReplace(registered: string): boolean {
    return this.succession.mayReplace(registered);
  }

  /**
   * Records that a request or a grant was rejected because the incarnation that it names is not there. Incarnations that share
   * an id cannot be told apart by that.
   */
  recordMisdirected(instance: string): void {
    this.succession.recordMisdirected(instance);
  }

  /** Processes an answer of the current incarnation. A leave that it states is binding like one in a heartbeat. */
  recordAnswer(leaving: boolean): void {
    const { backend } = this;
    // An incarnation that shares its id with others may not be the one that has answered.
    if (backend.heartbeat?.bornMs === null) this.succession.recordAnswer();
    if (!leaving) backend.recordServing();
    if (!leaving || backend.leaving) return;
    const nowMs = this.ports.runtime.nowMs();
    backend.recordStatedLeave(nowMs);
    this.logLeave(backend.life, 'answer', nowMs);
    this.register();
  }

  /**
   * Registers the current incarnation. The table may already hold its registration, made by the previous process of
   * this daemon.
   */
  register(): void {
    this.adoptRegistration();
    const { heartbeat, life, leaving, confirmed } = this.backend;
    // An unconfirmed incarnation is not registered: it may have left before this process started.
    if (heartbeat === null || life === null || !(confirmed || leaving)) return;
    const { service, zone, slots, version } = heartbeat;
    const condition = leaving ? 'draining' : 'ready';
    this.ports.lease().update({ id: life, service, zone, slots, version, condition });
  }

  /**
   * Called after a refused connection. If no process listens at the address after a short delay either, the back
   * end has ended.
   */
  async recheckListening(): Promise<void> {
    const { runtime, listens } = this.ports;
    const { life } = this.backend;
    if (this.recheckInProgress || life === null) return;
    this.recheckInProgress = true;
    this.nextRecheckMs = runtime.nowMs() + RECHECK_INTERVAL_MS;
    await pause(this.ports.runtime, RECHECK_DELAY_MS);
    const isListening = await listens();
    this.recheckInProgress = false;
    if (!isListening && this.backend.life === life) this.gone('no process listens at its address', 'ended');
  }

  /**
   * Removes a back end that has left or is silent once it is certain to hold no keys, so that its keys are released
   * before its lease expires.
   */
  checkRemoved(isKeyed: boolean): void {
    const { backend } = this;
    const { runtime, heartbeatTimeoutMs } = this.ports;
    const nowMs = runtime.nowMs();
    if (backend.life === null) return;
    const holdsNoKeys = this.ports.holdsNoKeys();
    if (backend.left && nowMs > backend.closesAtMs) {
      if (holdsNoKeys) this.gone('it left and its drain time is over', 'left');
      else if (nowMs >= this.nextRecheckMs) void this.recheckListening();
      return;
    }
    const isTimedOut = nowMs - backend.lastHeartbeatMs > heartbeatTimeoutMs;
    if (isKeyed && isTimedOut && holdsNoKeys) this.gone('no heartbeat received', 'assumed');
  }

  /** Removes the current incarnation for the given reason. One whose end is assumed may come back. */
  gone(reason: string, end: PastEnd): void {
    this.ports.log.event('backend-gone', { instance: this.backend.life, reason, end });
    this.backend.forget(end);
    this.ports.lease().giveUp(reason);
    this.ports.onRemoved();
  }

  /** A probe that reports nothing proves nothing, so only limits, leaves and cold starts are taken from it. */
  private receiveIdentity({ signals, coldLeftMs }: BackendIdentity, isProof: boolean): void {
    if (isProof) this.succession.recordProof();
    const { leaving, limit } = signals;
    if (leaving) this.recordAnswer(leaving);
    if (limit.kind === 'limited') this.ports.onLimit(limit.requestsPerSecond);
    if (coldLeftMs !== null && coldLeftMs > 0) this.ports.onCold(coldLeftMs);
  }

  private recordLeave(incarnation: BackendIncarnation, by: LeaveSource): void {
    const instance = incarnationName(incarnation);
    const nowMs = this.ports.runtime.nowMs();
    const isPresent = this.backend.life === instance;
    const isRepeated = isPresent && this.backend.leaving;
    this.backend.recordLeave(incarnation, nowMs);
    if (isRepeated && by === 'heartbeat') return;
    this.logLeave(instance, by, nowMs);
    if (!isPresent) this.reportLeaveToDirectory(instance);
  }

  private logLeave(instance: string | null, by: LeaveSource, nowMs: number): void {
    const isPresent = this.backend.life === instance;
    const closesInMs = isPresent ? Math.round(this.backend.closesAtMs - nowMs) : null;
    const upMs = Math.round(nowMs - this.startedMs);
    this.ports.log.event('leave-acknowledged', { instance, by, isPresent, closesInMs, upMs });
  }

  /**
   * Reports the leave of an incarnation that is not the current one. The previous process may have registered it, and
   * other daemons would continue to send requests to it.
   */
  private reportLeaveToDirectory(id: string): void {
    const known = this.ports.table.instance(id);
    if (known === undefined || known.condition === 'draining') return;
    this.ports.send({ kind: 'condition', id, session: known.session, condition: 'draining' });
  }

  private logStale({ id, bornMs, condition, sequence }: BackendHeartbeat): void {
    const { life, heartbeat } = this.backend;
    this.ports.log.event('heartbeat-ignored', {
      instance: incarnationName({ id, bornMs }),
      condition,
      sequence,
      present: life,
      presentSequence: heartbeat?.sequence ?? null,
    });
  }

  private adoptRegistration(): void {
    const { life, confirmed } = this.backend;
    if (life === null || this.ports.table.index === 0) return;
    const known = this.ports.table.instance(life);
    if (known?.condition === 'draining') this.backend.adoptLeave(this.ports.runtime.nowMs());
    else if (!confirmed) void this.confirmByProbe();
  }

  /**
   * Confirms the current incarnation by a probe. The directory has no record of a leave, but the previous process
   * may have acknowledged one before it reached the directory. If the probe does not report the back end as
   * healthy, the next heartbeat decides. Both shortcuts failed: with the directory alone, a back end that had left
   * received requests for as long as its process ran; waiting for its second heartbeat, each back end was idle for
   * 1.4 s after a power loss (468 of its callers' attempts were refused within 3 s).
   */
  private async confirmByProbe(): Promise<void> {
    const { life } = this.backend;
    if (this.confirmationInProgress) return;
    this.confirmationInProgress = true;
    const isHealthy = await this.probe.isCurrentHealthy();
    this.confirmationInProgress = false;
    if (!isHealthy || life === null || this.backend.life !== life || this.backend.confirmed) return;
    this.backend.confirm();
    this.register();
    this.ports.onConfirmed();
  }
}
