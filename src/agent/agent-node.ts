/**
 * The agent beside a back end: holds the back end's session, installs and ends its grants, hands shards
 * over, and tells control when the back end is leaving.
 */
import { randomUUID } from 'node:crypto';
import type { AgentSettings } from '../config/daemon-settings.js';
import { monotonicMs } from '../consensus/replica.js';
import type { ControlNotice } from '../control/daemon-messages.js';
import type { ShardRow } from '../model/shard.js';
import { Ok, type Result } from '../result.js';
import type { Logger } from '../telemetry/logger.js';
import { ControlWatch } from '../control-client/control-watch.js';
import { SessionChannel } from '../control-client/session-channel.js';
import { WatchedTable } from '../control-client/watched-table.js';
import type { ClientIdentity } from '../transport/message-client.js';
import type { Grant, HolderAnswer } from '../backend-contract/grant-messages.js';
import { BackendClient, type BackendCallError } from './backend-client.js';
import { HandoverReceiver } from './handover-receiver.js';
import { HandoverSender } from './handover-sender.js';
import { LeaseHolder } from './lease-holder.js';

/** Time in ms without an answer of the back end after which its session is no longer renewed. */
const BACKEND_SILENCE_MS = 800;

/** Pause between attempts to open a session, in ms. */
const OPEN_RETRY_MS = 1_000;

/** Pause between reports of a release that control has not acted on, in ms. */
const RELEASE_REPORT_MS = 300;

/** Counters of an agent. */
export interface AgentCounters {
  sessionsOpened: number;
  renewals: number;
  grantsInstalled: number;
  handoversDone: number;
  handoversRefused: number;
  /** Longest time in ms from the stop of admission to the report of release. */
  longestReleaseMs: number;
}

/** A shard that was released for a move; it must not be granted again while that move stands. */
interface ReleasedShard {
  readonly moveId: number;
  readonly windowHandedOver: boolean;
  /** When control was last told, in ms; infinite until the window has been sent. */
  reportedMs: number;
}

type State = 'taking-holder' | 'opening-session' | 'in-session';

/** A running agent. */
export class AgentNode {
  readonly counters: AgentCounters = {
    sessionsOpened: 0,
    renewals: 0,
    grantsInstalled: 0,
    handoversDone: 0,
    handoversRefused: 0,
    longestReleaseMs: 0,
  };
  readonly table = new WatchedTable();
  private readonly instance = randomUUID();
  private readonly lease = new LeaseHolder();
  private readonly backend: BackendClient;
  private readonly channel: SessionChannel;
  private readonly watch: ControlWatch;
  private readonly receiver: HandoverReceiver;
  private readonly sender: HandoverSender;
  private readonly timers: NodeJS.Timeout[] = [];
  private state: State = 'taking-holder';
  private busy = false;
  private backendInstance: string | null = null;
  private backendAnsweredMs = 0;
  private openRequestId = 0;
  private openSentMs = 0;
  private openDueMs = 0;
  private load = new Map<number, number>();
  private readonly loadedBefore = new Set<number>();
  private readonly granted = new Map<number, number>();
  private readonly handingOver = new Set<number>();
  private readonly released = new Map<number, ReleasedShard>();
  private drainSent = false;
  private syncing = false;
  private syncAgain = false;

  private constructor(
    private readonly settings: AgentSettings,
    token: string,
    private readonly logger: Logger,
  ) {
    const { name, zone, control, service, backend } = settings;
    const identity: ClientIdentity = { role: 'agent', name, zone, token };
    this.backend = new BackendClient(settings.backendAddress, this.instance);
    this.receiver = new HandoverReceiver(token, backend, () => this.ready);
    this.sender = new HandoverSender(identity);
    this.channel = new SessionChannel(
      identity,
      control,
      (notice) => {
        this.receiveNotice(notice);
      },
      () => {
        this.openDueMs = 0;
      },
    );
    this.watch = new ControlWatch(this.table, identity, control, { service, backend }, () => {
      this.tableChanged();
    });
  }

  /** Starts the agent. */
  static async start(
    settings: AgentSettings,
    token: string,
    logger: Logger,
  ): Promise<Result<AgentNode, string>> {
    const node = new AgentNode(settings, token, logger);
    const listening = await node.receiver.server.listen(settings.listen);
    if (listening.err) return listening;
    node.timers.push(
      setInterval(() => {
        void node.step();
      }, settings.renewIntervalMs / 4),
      setInterval(() => {
        node.renew();
      }, settings.renewIntervalMs),
    );
    return Ok(node);
  }

  /** Whether the back end can take shards: it answers and its session is open. */
  get ready(): boolean {
    return this.state === 'in-session' && !this.lease.expired(monotonicMs()) && this.backendAnswers;
  }

  /** The open session, for status. */
  get session(): number | null {
    return this.lease.session;
  }

  /** Shards that are granted at present. */
  get grantedShards(): number {
    return this.granted.size;
  }

  /** Bytes to and from control. */
  traffic(): { bytesSent: number; bytesReceived: number } {
    const watch = this.watch.traffic();
    const channel = this.channel.traffic();
    return {
      bytesSent: watch.bytesSent + channel.bytesSent,
      bytesReceived: watch.bytesReceived + channel.bytesReceived,
    };
  }

  /** Gives up the session in an orderly way and stops. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    const session = this.lease.session;
    if (session !== null) await this.endSession(session);
    this.receiver.server.close();
    this.sender.stop();
    this.channel.stop();
    this.watch.stop();
    await this.backend.close();
  }

  private get backendAnswers(): boolean {
    return monotonicMs() - this.backendAnsweredMs < BACKEND_SILENCE_MS;
  }

  /** Grants are ended at the back end before control is told, so nothing is served after the answer. */
  private async endSession(session: number): Promise<void> {
    const ended = await this.backend.takeHolder();
    const holdsNothing = ended.ok || ended.val.kind === 'gone';
    if (holdsNothing) this.channel.send({ kind: 'close-session', session });
    this.lease.ended();
  }

  // ---- session

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
    this.backendInstance = taken.val.instance;
    this.backendAnsweredMs = monotonicMs();
    this.granted.clear();
    this.receiver.clear();
    this.drainSent = false;
    this.released.clear();
    this.openDueMs = 0;
    this.state = 'opening-session';
  }

  private openSession(): void {
    const nowMs = monotonicMs();
    if (nowMs < this.openDueMs) return;
    this.openRequestId += 1;
    this.openSentMs = nowMs;
    this.openDueMs = nowMs + OPEN_RETRY_MS;
    const { service, backend, listen } = this.settings;
    const requestId = this.openRequestId;
    this.channel.send({ kind: 'open-session', requestId, service, backend, agentAddress: listen });
  }

  private async checkSession(): Promise<void> {
    if (this.lease.expired(monotonicMs())) {
      this.leaveSession('lease ran out');
      return;
    }
    const answer = await this.backend.extendLease(this.lease.deadlineMs);
    if (answer.ok) this.backendAnswered(answer.val);
    else this.backendFailed(answer.val);
    this.reportReleases();
    this.tableChanged();
  }

  private backendAnswered(answer: HolderAnswer): void {
    this.backendAnsweredMs = monotonicMs();
    for (const [shard, requests] of answer.load) {
      this.load.set(shard, (this.load.get(shard) ?? 0) + requests);
    }
    if (answer.instance === this.backendInstance) return;
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
    const load = this.takeLoad();
    this.channel.send({ kind: 'renew-session', session, sentMs: monotonicMs(), load });
  }

  /** Load since the last renewal; shards that have just become idle are reported once with 0. */
  private takeLoad(): [number, number][] {
    const load = [...this.load];
    for (const shard of this.loadedBefore) {
      if (!this.load.has(shard)) load.push([shard, 0]);
    }
    this.loadedBefore.clear();
    for (const shard of this.load.keys()) this.loadedBefore.add(shard);
    this.load = new Map();
    return load;
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
    const awaited = this.state === 'opening-session' && notice.requestId === this.openRequestId;
    if (!awaited) return;
    this.lease.opened(notice.session, this.openSentMs, notice.termMs);
    this.state = 'in-session';
    this.counters.sessionsOpened += 1;
    this.logger.info('session opened', { session: notice.session });
    this.tableChanged();
  }

  // ---- grants

  private tableChanged(): void {
    if (this.state !== 'in-session') return;
    if (this.syncing) {
      this.syncAgain = true;
      return;
    }
    void this.syncAll();
  }

  private async syncAll(): Promise<void> {
    this.syncing = true;
    do {
      this.syncAgain = false;
      await this.syncDrain();
      await this.syncGrants();
    } while (this.syncAgain);
    this.syncing = false;
  }

  private async syncDrain(): Promise<void> {
    const draining = this.table.draining.has(this.settings.backend);
    if (draining === this.drainSent) return;
    const sent = await this.backend.setDraining(draining);
    if (sent.ok) this.drainSent = draining;
  }

  private async syncGrants(): Promise<void> {
    const rows = this.ownRows();
    this.forgetSettledReleases(rows);
    const grantable = rows.filter((row) => !this.released.has(row.shard));
    const added = grantable.filter((row) => this.granted.get(row.shard) !== row.epoch);
    const owned = new Set(rows.map((row) => row.shard));
    const lost = [...this.granted.keys()].filter((shard) => !owned.has(shard));
    if (lost.length > 0) await this.revoke(lost);
    if (added.length > 0) await this.install(added);
    for (const row of grantable) {
      if (row.movingTo !== null) void this.handOver(row, row.movingTo);
    }
  }

  private ownRows(): ShardRow[] {
    const { service, backend } = this.settings;
    return [...this.table.rowsOf(service)].filter((row) => {
      return row.owner === backend && row.session === this.lease.session;
    });
  }

  private async revoke(shards: readonly number[]): Promise<void> {
    const revoked = await this.backend.revoke(shards);
    if (revoked.err) return;
    for (const shard of shards) this.granted.delete(shard);
  }

  private async install(rows: readonly ShardRow[]): Promise<void> {
    const grants = rows.map((row): Grant => {
      const window = [...this.receiver.take(this.settings.service, row.shard, row.epoch - 1)];
      return { shard: row.shard, epoch: row.epoch, freshAfterMs: row.freshAfterMs, window };
    });
    const installed = await this.backend.addGrants(this.lease.deadlineMs, grants);
    if (installed.err) {
      // The windows may or may not have arrived; a new session makes control count them as lost.
      this.giveUpAfterFailedInstall();
      return;
    }
    for (const row of rows) this.granted.set(row.shard, row.epoch);
    this.counters.grantsInstalled += rows.length;
  }

  private giveUpAfterFailedInstall(): void {
    this.leaveSession('grants could not be installed');
  }

  // ---- handover

  /** A release stands until control has moved the shard or called the move off. */
  private forgetSettledReleases(rows: readonly ShardRow[]): void {
    const moveIds = new Map(rows.map((row) => [row.shard, row.moveId]));
    for (const [shard, { moveId }] of this.released) {
      if (moveIds.get(shard) !== moveId) this.released.delete(shard);
    }
  }

  private reportReleases(): void {
    const nowMs = monotonicMs();
    for (const [shard, release] of this.released) {
      if (nowMs - release.reportedMs >= RELEASE_REPORT_MS) this.reportRelease(shard, release);
    }
  }

  private reportRelease(shard: number, release: ReleasedShard): void {
    const { session } = this.lease;
    if (session === null) return;
    const { moveId, windowHandedOver } = release;
    const { service } = this.settings;
    release.reportedMs = monotonicMs();
    this.channel.send({ kind: 'move-released', session, service, shard, moveId, windowHandedOver });
  }

  private async handOver(row: ShardRow, target: string): Promise<void> {
    if (this.handingOver.has(row.shard)) return;
    this.handingOver.add(row.shard);
    try {
      await this.handOverShard(row, target);
    } finally {
      this.handingOver.delete(row.shard);
    }
  }

  private async handOverShard(row: ShardRow, target: string): Promise<void> {
    const { shard, epoch, moveId } = row;
    const address = this.table.sessionOf(target)?.agentAddress;
    const handover = { service: this.settings.service, shard, epoch, target };
    const prepared = address !== undefined && (await this.sender.prepare(address, handover));
    if (!prepared) {
      this.refuseMove(row);
      return;
    }
    const startedMs = monotonicMs();
    const released = await this.backend.release(shard, epoch);
    this.granted.delete(shard);
    if (released.err) {
      // The move is called off; the shard is granted again once control has said so.
      this.refuseMove(row);
      return;
    }
    this.released.set(shard, { moveId, windowHandedOver: false, reportedMs: Infinity });
    const windowHandedOver = await this.sender.sendWindow(address, handover, released.val.window);
    const release = { moveId, windowHandedOver, reportedMs: 0 };
    this.released.set(shard, release);
    this.reportRelease(shard, release);
    this.counters.handoversDone += 1;
    this.counters.longestReleaseMs = Math.max(this.counters.longestReleaseMs, monotonicMs() - startedMs);
  }

  private refuseMove({ session, shard, moveId }: ShardRow): void {
    this.counters.handoversRefused += 1;
    this.channel.send({ kind: 'move-refused', session, service: this.settings.service, shard, moveId });
  }
}
