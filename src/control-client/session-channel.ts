/** Connection to the leader: finds the leading replica and follows changes of leadership. */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { ControlNotice, DaemonRequest } from '../control/daemon-messages.js';
import type { CancelTimer, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';
import { ReplicaLink } from './replica-link.js';

/** Delay before connecting to another replica, in ms. */
const SWITCH_DELAY_MS = 50;

/** Initial time in ms without a notice after which another replica is tried. */
const INITIAL_SILENCE_TIMEOUT_MS = 700;

/**
 * Upper bound of the silence timeout, in ms. The timeout doubles each time a silent replica is left; otherwise a leader
 * that is slow because hundreds of daemons call it at once would be left before it can answer any of them.
 */
const MAX_SILENCE_TIMEOUT_MS = 6_000;

/**
 * Time in ms for which a replica that was left as silent is avoided: until an election completes, the other replicas
 * still name it as the leader.
 */
const AVOID_SILENT_REPLICA_MS = 1_500;

/** Interval between checks for a silent replica, in ms. */
const SILENCE_CHECK_INTERVAL_MS = 100;

/** Delay before requests are sent again to a replica that knows no leader, in ms. */
const NO_LEADER_RETRY_MS = 100;

/** Answers without a leader after which another replica is tried: the current one may be partitioned from the others. */
const NO_LEADER_ANSWERS_BEFORE_SWITCH = 4;

/** Callbacks of a channel. */
export interface SessionChannelHandlers {
  onNotice(notice: ControlNotice): void;
  /** A connection was opened; this replica may not know earlier reports. */
  onOpen(): void;
  /** The replica may be the leader by now: requests that wait for a leader should be sent. */
  onMayLead(): void;
}

/** Connection that follows the leading replica. */
export class SessionChannel {
  private readonly link: ReplicaLink;
  private readonly cancelSilenceCheck: CancelTimer;
  private lastNoticeMs: number;
  private silenceTimeoutMs = INITIAL_SILENCE_TIMEOUT_MS;
  private noLeaderAnswers = 0;
  private cancelRetry: CancelTimer | null = null;
  private silentReplica: string | null = null;
  private avoidUntilMs = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    identity: ClientIdentity,
    control: readonly NamedAddress[],
    private readonly handlers: SessionChannelHandlers,
  ) {
    this.lastNoticeMs = runtime.nowMs();
    const options = { firstPosition: 0, switchDelayMs: SWITCH_DELAY_MS };
    this.link = new ReplicaLink(runtime, identity, control, options, {
      onOpen: () => {
        this.lastNoticeMs = runtime.nowMs();
        this.noLeaderAnswers = 0;
        this.handlers.onOpen();
        this.handlers.onMayLead();
      },
      onNotice: (notice) => {
        this.receive(notice);
      },
      onLost: () => {
        this.link.switchToNext();
      },
    });
    this.cancelSilenceCheck = runtime.every(SILENCE_CHECK_INTERVAL_MS, () => {
      this.switchIfSilent();
    });
  }

  /** Sends to the current replica; returns false if there is no connection. */
  send(request: DaemonRequest): boolean {
    return this.link.send(request);
  }

  /** Returns the bytes over all connections of this channel. */
  traffic(): Traffic {
    return this.link.traffic();
  }

  /** Closes the channel permanently. */
  stop(): void {
    this.cancelSilenceCheck();
    this.cancelRetry?.();
    this.link.stop();
  }

  private switchIfSilent(): void {
    const nowMs = this.runtime.nowMs();
    if (nowMs - this.lastNoticeMs <= this.silenceTimeoutMs) return;
    this.silenceTimeoutMs = Math.min(this.silenceTimeoutMs * 2, MAX_SILENCE_TIMEOUT_MS);
    this.lastNoticeMs = nowMs;
    this.silentReplica = this.link.replicaName;
    this.avoidUntilMs = nowMs + AVOID_SILENT_REPLICA_MS;
    this.link.switchToNext();
  }

  private receive(notice: ControlNotice): void {
    if (notice.kind === 'not-leader') {
      const namesOtherReplica = notice.leader !== null && notice.leader !== this.link.replicaName;
      if (namesOtherReplica && !this.isAvoided(notice.leader)) this.link.switchToReplica(notice.leader);
      else this.retryOrSwitch();
      return;
    }
    this.lastNoticeMs = this.runtime.nowMs();
    this.silenceTimeoutMs = INITIAL_SILENCE_TIMEOUT_MS;
    this.noLeaderAnswers = 0;
    this.handlers.onNotice(notice);
  }

  private isAvoided(replica: string | null): boolean {
    return replica === this.silentReplica && this.runtime.nowMs() < this.avoidUntilMs;
  }

  /**
   * Tries the same replica again a few times before switching: without a leader, hundreds of agents cycling through the
   * replicas would overload all of them.
   */
  private retryOrSwitch(): void {
    if (this.cancelRetry !== null) return;
    this.noLeaderAnswers += 1;
    if (this.noLeaderAnswers >= NO_LEADER_ANSWERS_BEFORE_SWITCH) {
      this.link.switchToNext();
      return;
    }
    this.cancelRetry = this.runtime.after(NO_LEADER_RETRY_MS, () => {
      this.cancelRetry = null;
      this.handlers.onMayLead();
    });
  }
}
