/**
 * The agent beside a back end: holds the back end's session and reports its load. Grants and handovers are
 * in `grant-keeper.ts`.
 */
import type { AgentSettings } from '../config/daemon-settings.js';
import type { ControlNotice } from '../control/daemon-messages.js';
import { Ok, type Result } from '../result.js';
import type { Logger } from '../telemetry/logger.js';
import { ControlWatch } from '../control-client/control-watch.js';
import { SessionChannel } from '../control-client/session-channel.js';
import { WatchedTable } from '../control-client/watched-table.js';
import { nodeRuntime } from '../runtime/node-runtime.js';
import type { CancelTimer, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';
import { holderLife, type HolderAnswer } from '../backend-contract/grant-messages.js';
import { BackendClient } from './backend-client.js';
import type { BackendCallError, BackendPort } from './backend-port.js';
import { GrantKeeper } from './grant-keeper.js';
import { HandoverReceiver } from './handover-receiver.js';
import { HandoverSender } from './handover-sender.js';
import { LeaseHolder, steadyDeadline } from './lease-holder.js';
import { LoadReport } from './load-report.js';

/**
 * Time in ms for which a call to the back end may wait before its session is not renewed. A short pause costs
 * nothing, since the term is longer; a frozen back end must lose its shards within 3 s. Only a call that waits
 * counts: an agent that was itself kept from running must not take that for silence.
 */
const BACKEND_SILENCE_MS = 400;

/** Pause between attempts to open a session, in ms. */
const OPEN_RETRY_MS = 1_000;

/** Pause between looks for unused connections to other agents, in ms. */
const IDLE_CHECK_MS = 10_000;

/** Steps of the session between two renewals. */
const STEPS_PER_RENEWAL = 4;

/** Counters of an agent's session. */
export interface AgentCounters {
  sessionsOpened: number;
  renewals: number;
}

/** Makes the port to a back end; `agentInstance` names this life of the agent. */
export type BackendPortFactory = (agentInstance: string) => BackendPort;

type State = 'taking-holder' | 'opening-session' | 'in-session';

/** A running agent. */
export class AgentNode {
  readonly counters: AgentCounters = { sessionsOpened: 0, renewals: 0 };
  readonly table: WatchedTable;
  readonly grants: GrantKeeper;
  private readonly lease = new LeaseHolder();
  private readonly backend: BackendPort;
  private readonly channel: SessionChannel;
  private readonly watch: ControlWatch;
  private readonly receiver: HandoverReceiver;
  private readonly sender: HandoverSender;
  private readonly load: LoadReport;
  private readonly timers: CancelTimer[] = [];
  private state: State = 'taking-holder';
  private busy = false;
  private backendLife: string | null = null;
  /** Since when a call to the back end waits for an answer; null while none does. */
  private unansweredSinceMs: number | null = null;
  private openId = '';
  private openSentMs = 0;
  private openDueMs = 0;

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
    this.grants = this.makeGrantKeeper();
    this.watch = new ControlWatch(runtime, this.table, identity, control, { service, backend }, () => {
      this.tableChanged();
    });
  }

  /** Starts the agent; `makeBackend` is given where the back end is not reached over HTTP. */
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

  /** Whether the back end can take shards: it answers and its session is open. */
  get ready(): boolean {
    return this.state === 'in-session' && !this.lease.expired(this.runtime.nowMs()) && this.backendAnswers;
  }

  /** Name in the settings. */
  get name(): string {
    return this.settings.name;
  }

  /** The open session, for status. */
  get session(): number | null {
    return this.lease.session;
  }

  /** Bytes to and from control. */
  traffic(): Traffic {
    const watch = this.watch.traffic();
    const channel = this.channel.traffic();
    return {
      bytesSent: watch.bytesSent + channel.bytesSent,
      bytesReceived: watch.bytesReceived + channel.bytesReceived,
    };
  }

  /** Gives up the session in an orderly way and stops. */
  async stop(): Promise<void> {
    this.stopTimers();
    const session = this.lease.session;
    if (session !== null) await this.endSession(session);
    await this.abandon();
  }

  /** Stops at once and tells nobody, as a process does that is killed. */
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
      this.runtime.every(renewIntervalMs / STEPS_PER_RENEWAL, () => {
        void this.step();
      }),
      this.runtime.every(renewIntervalMs, () => {
        this.renew();
      }),
      this.runtime.every(IDLE_CHECK_MS, () => {
        this.sender.closeIdle();
      }),
    );
  }

  private stopTimers(): void {
    for (const cancel of this.timers.splice(0)) cancel();
  }

  private openChannel(identity: ClientIdentity): SessionChannel {
    return new SessionChannel(this.runtime, identity, this.settings.control, {
      onNotice: (notice) => {
        this.receiveNotice(notice);
      },
      onOpen: () => {
        this.load.forgetReported();
      },
      onAsk: () => {
        this.openDueMs = 0;
        this.renew();
      },
    });
  }

  private makeGrantKeeper(): GrantKeeper {
    const { service, backend } = this.settings;
    return new GrantKeeper({
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
    return this.runtime.nowMs() - this.unansweredSinceMs < BACKEND_SILENCE_MS;
  }

  /** Grants are ended at the back end before control is told, so nothing is served after the answer. */
  private async endSession(session: number): Promise<void> {
    const ended = await this.backend.takeHolder();
    const holdsNothing = ended.ok || ended.val.kind === 'gone';
    if (holdsNothing) this.channel.send({ kind: 'close-session', session });
    this.lease.ended();
  }

  private async step(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      await this.stepState();
    } finally {
      this.busy = false;
    }
  }

  private async stepState(): Promise<void> {
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
    this.backendLife = holderLife(taken.val);
    this.unansweredSinceMs = null;
    this.grants.clear();
    this.openDueMs = 0;
    this.openId = this.runtime.randomId();
    // The lease counts from the first request, whichever of them is answered.
    this.openSentMs = this.runtime.nowMs();
    this.state = 'opening-session';
  }

  private openSession(): void {
    const nowMs = this.runtime.nowMs();
    if (nowMs < this.openDueMs) return;
    this.openDueMs = nowMs + OPEN_RETRY_MS;
    const { service, backend, listen } = this.settings;
    const { openId } = this;
    this.channel.send({ kind: 'open-session', openId, service, backend, agentAddress: listen });
  }

  /**
   * A lease that has run out does not end the session: the back end refuses by itself, and as long as control
   * has not given the shards away a late renewal brings them back without a change of owner.
   */
  private async checkSession(): Promise<void> {
    this.unansweredSinceMs ??= this.runtime.nowMs();
    const answer = await this.backend.extendLease(steadyDeadline(this.runtime, this.lease.deadlineMs));
    if (answer.ok) this.backendAnswered(answer.val);
    else this.backendFailed(answer.val);
    this.grants.reportReleases();
    if (this.grants.unsettled) this.tableChanged();
  }

  private backendAnswered(answer: HolderAnswer): void {
    this.unansweredSinceMs = null;
    this.load.count(answer.load);
    if (holderLife(answer) === this.backendLife) return;
    this.giveUpSession('back end was restarted');
  }

  private backendFailed(error: BackendCallError): void {
    if (error.kind === 'gone') this.giveUpSession('back end is gone');
    if (error.kind === 'refused') this.leaveSession('another agent holds the back end');
  }

  /** The back end certainly holds no grants, so control may give its shards away at once. */
  private giveUpSession(reason: string): void {
    const { session } = this.lease;
    if (session !== null) this.channel.send({ kind: 'close-session', session });
    this.leaveSession(reason);
  }

  private leaveSession(reason: string): void {
    this.logger.info('session left', { session: this.lease.session, reason });
    this.lease.ended();
    this.state = 'taking-holder';
  }

  /** A back end that does not answer is not renewed: it may be frozen, and its shards must move. */
  private renew(): void {
    const { session } = this.lease;
    if (this.state !== 'in-session' || session === null || !this.backendAnswers) return;
    const sentMs = this.runtime.nowMs();
    const load = this.load.take(sentMs, this.grants.grantedShards.keys());
    this.channel.send({ kind: 'renew-session', session, sentMs, load });
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
    const awaited = this.state === 'opening-session' && notice.openId === this.openId;
    if (!awaited) return;
    this.lease.opened(notice.session, this.openSentMs, notice.termMs);
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
