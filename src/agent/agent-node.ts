/**
 * Agent of a back end: maintains the back end's session at control and reports its load. Grants and handovers
 * are handled in `grant-manager.ts`.
 */
import type { AgentSettings } from '../config/daemon-settings.js';
import type { ControlNotice } from '../control/daemon-messages.js';
import { Ok, type Result } from '../result.js';
import type { Logger } from '../telemetry/logger.js';
import { ControlWatch } from '../control-client/control-watch.js';
import { LeaderChannel } from '../control-client/leader-channel.js';
import { WatchedTable } from '../control-client/watched-table.js';
import { nodeRuntime } from '../runtime/node-runtime.js';
import type { CancelTimer, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';
import { holderIncarnation, type HolderAnswer } from '../backend-contract/grant-messages.js';
import { BackendClient } from './backend-client.js';
import type { BackendCallError, BackendPort } from './backend-port.js';
import { GrantManager } from './grant-manager.js';
import { HandoverReceiver } from './handover-receiver.js';
import { HandoverSender } from './handover-sender.js';
import { LeaseHolder, toMonotonicDeadline } from './lease-holder.js';
import { LoadReport } from './load-report.js';

/**
 * Time in ms for which a call to the back end may stay unanswered before session renewal stops. A short pause has no
 * effect, since the session term is longer; a frozen back end must lose its shards within 3 s. Only the time of a
 * pending call counts: an agent that was itself suspended must not mistake that for an unresponsive back end.
 */
const BACKEND_RESPONSE_TIMEOUT_MS = 400;

/** Interval between attempts to open a session, in ms. */
const OPEN_RETRY_INTERVAL_MS = 1_000;

/** Interval between checks for idle connections to other agents, in ms. */
const IDLE_CHECK_INTERVAL_MS = 10_000;

/** Steps of the session state machine per renewal interval. */
const STATE_STEPS_PER_RENEWAL = 4;

/** Counters of an agent's session. */
export interface AgentCounters {
  sessionsOpened: number;
  renewals: number;
}

/** Creates the port to a back end; `agentInstance` identifies this incarnation of the agent. */
export type BackendPortFactory = (agentInstance: string) => BackendPort;

type State = 'taking-holder' | 'opening-session' | 'in-session';

/** A running agent. */
export class AgentNode {
  readonly counters: AgentCounters = { sessionsOpened: 0, renewals: 0 };
  readonly table: WatchedTable;
  readonly grants: GrantManager;
  private readonly lease = new LeaseHolder();
  private readonly backend: BackendPort;
  private readonly channel: LeaderChannel;
  private readonly watch: ControlWatch;
  private readonly receiver: HandoverReceiver;
  private readonly sender: HandoverSender;
  private readonly load: LoadReport;
  private readonly timers: CancelTimer[] = [];
  private state: State = 'taking-holder';
  private busy = false;
  private backendIncarnation: string | null = null;
  /** Newest answer of the back end. */
  private backendAnswer: HolderAnswer | null = null;
  /** Start time of the pending call to the back end; null if none is pending. */
  private unansweredSinceMs: number | null = null;
  private openId = '';
  private firstOpenSentMs = 0;
  private nextOpenMs = 0;

  private constructor(
    private readonly runtime: Runtime,
    private readonly settings: AgentSettings,
    token: string,
    private readonly logger: Logger,
    makeBackend: BackendPortFactory,
  ) {
    const { name, zone, control, service, backend } = settings;
    const identity: ClientIdentity = { role: 'agent', name, zone, token };
    this.table = new WatchedTable(backend);
    this.backend = makeBackend(runtime.randomId());
    this.load = new LoadReport(runtime.nowMs(), settings.loadReportIntervalMs);
    this.receiver = new HandoverReceiver(runtime, token, backend, () => this.ready);
    this.sender = new HandoverSender(runtime, identity);
    this.channel = this.openChannel(identity);
    this.grants = this.createGrantManager();
    this.watch = new ControlWatch(runtime, this.table, identity, control, { service, backend }, () => {
      this.tableChanged();
    });
  }

  /** Starts the agent; pass `makeBackend` if the back end is not reached over HTTP. */
  static async start(
    settings: AgentSettings,
    token: string,
    logger: Logger,
    makeBackend: BackendPortFactory = (instance) => new BackendClient(settings.backendAddress, instance),
    runtime: Runtime = nodeRuntime,
  ): Promise<Result<AgentNode, string>> {
    const node = new AgentNode(runtime, settings, token, logger, makeBackend);
    const listening = await node.receiver.server.listen(settings.listen);
    if (listening.err) return listening;
    node.startTimers();
    return Ok(node);
  }

  /** Whether the back end can receive shards: it answers and its session is open. */
  get ready(): boolean {
    return this.state === 'in-session' && !this.lease.expired(this.runtime.nowMs()) && this.backendAnswers;
  }

  /** Name of the agent in its settings. */
  get name(): string {
    return this.settings.name;
  }

  /** ID of the open session, or null. */
  get session(): number | null {
    return this.lease.session;
  }

  /** Returns the bytes sent to and received from control. */
  traffic(): Traffic {
    const watch = this.watch.traffic();
    const channel = this.channel.traffic();
    return {
      bytesSent: watch.bytesSent + channel.bytesSent,
      bytesReceived: watch.bytesReceived + channel.bytesReceived,
    };
  }

  /** Closes the session gracefully and stops. */
  async stop(): Promise<void> {
    this.stopTimers();
    const session = this.lease.session;
    if (session !== null) await this.endGrantsAndCloseSession(session);
    await this.abandon();
  }

  /** Stops immediately without closing the session, like a killed process. */
  async abandon(): Promise<void> {
    this.stopTimers();
    this.receiver.server.close();
    this.sender.stop();
    this.channel.stop();
    this.watch.stop();
    await this.backend.close();
  }

  private startTimers(): void {
    const { renewIntervalMs } = this.settings;
    this.timers.push(
      this.runtime.every(renewIntervalMs / STATE_STEPS_PER_RENEWAL, () => {
        void this.runStep();
      }),
      this.runtime.every(renewIntervalMs, () => {
        this.renew();
      }),
      this.runtime.every(IDLE_CHECK_INTERVAL_MS, () => {
        this.sender.closeIdle();
      }),
    );
  }

  private stopTimers(): void {
    for (const cancel of this.timers.splice(0)) cancel();
  }

  private openChannel(identity: ClientIdentity): LeaderChannel {
    return new LeaderChannel(this.runtime, identity, this.settings.control, {
      onNotice: (notice) => {
        this.receiveNotice(notice);
      },
      onOpen: () => {
        this.load.discardReported();
      },
      onMayLead: () => {
        this.nextOpenMs = 0;
        this.renew();
      },
    });
  }

  private createGrantManager(): GrantManager {
    const { service, backend } = this.settings;
    return new GrantManager({
      service,
      backendName: backend,
      backend: this.backend,
      table: this.table,
      lease: this.lease,
      runtime: this.runtime,
      receiver: this.receiver,
      sender: this.sender,
      send: (request) => {
        this.channel.send(request);
      },
      onInstallFailed: () => {
        this.leaveSession('grants could not be installed');
      },
    });
  }

  private get backendAnswers(): boolean {
    if (this.unansweredSinceMs === null) return true;
    return this.runtime.nowMs() - this.unansweredSinceMs < BACKEND_RESPONSE_TIMEOUT_MS;
  }

  /** Ends the grants at the back end before closing the session, so that nothing is served once control has closed it. */
  private async endGrantsAndCloseSession(session: number): Promise<void> {
    const ended = await this.backend.takeHolder();
    const holdsNothing = ended.ok || ended.val.kind === 'gone';
    if (holdsNothing) this.channel.send({ kind: 'close-session', session });
    this.lease.ended();
  }

  private async runStep(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      await this.advanceState();
    } finally {
      this.busy = false;
    }
  }

  private async advanceState(): Promise<void> {
    switch (this.state) {
      case 'taking-holder':
        await this.takeHolder();
        break;
      case 'opening-session':
        this.openSession();
        break;
      case 'in-session':
        await this.checkSession();
        break;
    }
  }

  private async takeHolder(): Promise<void> {
    const taken = await this.backend.takeHolder();
    if (taken.err) return;
    this.backendIncarnation = holderIncarnation(taken.val);
    this.backendAnswer = taken.val;
    this.unansweredSinceMs = null;
    this.grants.clear();
    this.nextOpenMs = 0;
    this.openId = this.runtime.randomId();
    // The lease starts at the first request to open the session, whichever of the repeats is answered.
    this.firstOpenSentMs = this.runtime.nowMs();
    this.state = 'opening-session';
  }

  private openSession(): void {
    const nowMs = this.runtime.nowMs();
    if (nowMs < this.nextOpenMs) return;
    this.nextOpenMs = nowMs + OPEN_RETRY_INTERVAL_MS;
    const { service, backend, listen } = this.settings;
    const { openId } = this;
    this.channel.send({ kind: 'open-session', openId, service, backend, agentAddress: listen });
  }

  /**
   * Extends the lease at the back end. An expired lease does not end the session: the back end refuses requests by
   * itself, and until control reassigns the shards, a late renewal restores them without a change of owner.
   */
  private async checkSession(): Promise<void> {
    this.unansweredSinceMs ??= this.runtime.nowMs();
    const answer = await this.backend.extendLease(toMonotonicDeadline(this.runtime, this.lease.deadlineMs));
    if (answer.ok) this.backendAnswered(answer.val);
    else this.backendFailed(answer.val);
    this.grants.reportReleases();
    if (this.grants.hasPendingWork) this.tableChanged();
  }

  private backendAnswered(answer: HolderAnswer): void {
    this.unansweredSinceMs = null;
    this.backendAnswer = answer;
    this.load.count(answer.load);
    if (holderIncarnation(answer) === this.backendIncarnation) return;
    this.closeSession('back end was restarted');
  }

  private backendFailed(error: BackendCallError): void {
    if (error.kind === 'gone') this.closeSession('back end is gone');
    if (error.kind === 'refused') this.leaveSession('another agent holds the back end');
  }

  /** Closes the session when the back end is known to hold no grants, so that control can reassign its shards at once. */
  private closeSession(reason: string): void {
    const { session } = this.lease;
    if (session !== null) this.channel.send({ kind: 'close-session', session });
    this.leaveSession(reason);
  }

  private leaveSession(reason: string): void {
    this.logger.info('session left', { session: this.lease.session, reason });
    this.lease.ended();
    this.state = 'taking-holder';
  }

  /** Renews the session unless the back end is unresponsive: it may be frozen, and then its shards must move. */
  private renew(): void {
    const { session } = this.lease;
    if (this.state !== 'in-session' || session === null || !this.backendAnswers) return;
    const sentMs = this.runtime.nowMs();
    const load = this.load.takeReport(sentMs, this.grants.grantedShards.keys());
    const { requestLimit, leaving } = this.backendAnswer ?? {};
    const renewal = { kind: 'renew-session', session, sentMs, load } as const;
    this.channel.send(requestLimit === undefined ? renewal : { ...renewal, requestLimit });
    const isDraining = this.table.draining.has(this.settings.backend);
    if (leaving === true && !isDraining) this.channel.send({ kind: 'session-leaving', session });
  }

  private receiveNotice(notice: ControlNotice): void {
    switch (notice.kind) {
      case 'session-opened':
        this.sessionOpened(notice);
        break;
      case 'session-renewed':
        if (this.lease.renewed(notice.session, notice.sentMs, notice.termMs)) this.counters.renewals += 1;
        break;
      case 'session-ended':
        if (notice.session === this.lease.session) this.leaveSession('ended by control');
        break;
      case 'session-refused':
        this.logger.warn('session refused', { detail: notice.detail });
        break;
      default:
        break;
    }
  }

  private sessionOpened(notice: Extract<ControlNotice, { kind: 'session-opened' }>): void {
    const expected = this.state === 'opening-session' && notice.openId === this.openId;
    if (!expected) return;
    this.lease.opened(notice.session, this.firstOpenSentMs, notice.termMs);
    this.state = 'in-session';
    this.counters.sessionsOpened += 1;
    this.logger.info('session opened', { session: notice.session });
    this.renew();
    this.tableChanged();
  }

  private tableChanged(): void {
    if (this.state === 'in-session') void this.grants.sync();
  }
}
