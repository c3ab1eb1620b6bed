/** An agent's way to the leader: finds it, and follows it when it changes. */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { ControlNotice, DaemonRequest } from '../control/daemon-messages.js';
import type { CancelTimer, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';
import { ReplicaLink } from './replica-link.js';

/** Pause before another replica is tried, in ms. */
const SWITCH_PAUSE_MS = 50;

/** Time in ms without any notice after which another replica is tried. */
const SILENCE_MS = 700;

/**
 * Longest such time. It doubles with each replica that is left: a leader that is slow because hundreds ask at once
 * would otherwise be left before it can answer anybody.
 */
const LONGEST_SILENCE_MS = 6_000;

/**
 * Time in ms for which a replica that was left for its silence is not gone back to: for as long as an election takes,
 * the others still name it as the leader.
 */
const AVOID_SILENT_MS = 1_500;

/** Pause between looks at the silence, in ms. */
const SILENCE_CHECK_MS = 100;

/** Pause in ms before a replica that knows no leader is asked again. */
const ASK_AGAIN_MS = 100;

/** Questions to one replica that knows no leader, before another is tried: it may be cut off from the others. */
const QUESTIONS_BEFORE_SWITCH = 4;

/** What the owner of a channel is told. */
export interface SessionChannelHandlers {
  onNotice(notice: ControlNotice): void;
  /** A connection was opened: this replica may not know what was reported before. */
  onOpen(): void;
  /** The replica may lead by now: whatever waits for a leader should be sent. */
  onAsk(): void;
}

/** A connection to whichever replica leads. */
export class SessionChannel {
  private readonly link: ReplicaLink;
  private readonly cancelSilenceCheck: CancelTimer;
  private lastNoticeMs: number;
  private silenceMs = SILENCE_MS;
  private questions = 0;
  private cancelQuestion: CancelTimer | null = null;
  private silentReplica: string | null = null;
  private avoidUntilMs = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    identity: ClientIdentity,
    control: readonly NamedAddress[],
    private readonly handlers: SessionChannelHandlers,
  ) {
    this.lastNoticeMs = runtime.nowMs();
    const options = { firstPosition: 0, switchPauseMs: SWITCH_PAUSE_MS };
    this.link = new ReplicaLink(runtime, identity, control, options, {
      onOpen: () => {
        this.lastNoticeMs = runtime.nowMs();
        this.questions = 0;
        this.handlers.onOpen();
        this.handlers.onAsk();
      },
      onNotice: (notice) => {
        this.receive(notice);
      },
      onLost: () => {
        this.link.switchToNext();
      },
    });
    this.cancelSilenceCheck = runtime.every(SILENCE_CHECK_MS, () => {
      this.leaveIfSilent();
    });
  }

  /** Sends to the present replica; returns false when there is no connection. */
  send(request: DaemonRequest): boolean {
    return this.link.send(request);
  }

  /** Bytes over all connections of this channel. */
  traffic(): Traffic {
    return this.link.traffic();
  }

  /** Closes for good. */
  stop(): void {
    this.cancelSilenceCheck();
    this.cancelQuestion?.();
    this.link.stop();
  }

  private leaveIfSilent(): void {
    const nowMs = this.runtime.nowMs();
    if (nowMs - this.lastNoticeMs <= this.silenceMs) return;
    this.silenceMs = Math.min(this.silenceMs * 2, LONGEST_SILENCE_MS);
    this.lastNoticeMs = nowMs;
    this.silentReplica = this.link.replicaName;
    this.avoidUntilMs = nowMs + AVOID_SILENT_MS;
    this.link.switchToNext();
  }

  private receive(notice: ControlNotice): void {
    if (notice.kind === 'not-leader') {
      const elsewhere = notice.leader !== null && notice.leader !== this.link.replicaName;
      if (elsewhere && !this.isAvoided(notice.leader)) this.link.switchToReplica(notice.leader);
      else this.askAgain();
      return;
    }
    this.lastNoticeMs = this.runtime.nowMs();
    this.silenceMs = SILENCE_MS;
    this.questions = 0;
    this.handlers.onNotice(notice);
  }

  private isAvoided(replica: string | null): boolean {
    return replica === this.silentReplica && this.runtime.nowMs() < this.avoidUntilMs;
  }

  /** While nobody leads, hundreds of agents that went from replica to replica would keep all of them busy. */
  private askAgain(): void {
    if (this.cancelQuestion !== null) return;
    this.questions += 1;
    if (this.questions >= QUESTIONS_BEFORE_SWITCH) {
      this.link.switchToNext();
      return;
    }
    this.cancelQuestion = this.runtime.after(ASK_AGAIN_MS, () => {
      this.cancelQuestion = null;
      this.handlers.onAsk();
    });
  }
}
