/** An agent's way to the leader: finds it, and follows it when it changes. */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { ControlNotice, DaemonRequest } from '../control/daemon-messages.js';
import type { CancelTimer, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';
import { ReplicaLink } from './replica-link.js';

/** Pause before another replica is tried, in ms. */
const SWITCH_PAUSE_MS = 50;

/** Time in ms without any notice after which another replica is tried. */
const SILENCE_MS = 700;

/** Pause between looks at the silence, in ms. */
const SILENCE_CHECK_MS = 100;

/** A connection to whichever replica leads. */
export class SessionChannel {
  private readonly link: ReplicaLink;
  private readonly cancelSilenceCheck: CancelTimer;
  private lastNoticeMs: number;

  constructor(
    private readonly runtime: Runtime,
    identity: ClientIdentity,
    control: readonly NamedAddress[],
    private readonly onNotice: (notice: ControlNotice) => void,
    private readonly onOpen: () => void,
  ) {
    this.lastNoticeMs = runtime.nowMs();
    const options = { firstPosition: 0, switchPauseMs: SWITCH_PAUSE_MS };
    this.link = new ReplicaLink(runtime, identity, control, options, {
      onOpen: () => {
        this.lastNoticeMs = runtime.nowMs();
        this.onOpen();
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
    this.link.stop();
  }

  private leaveIfSilent(): void {
    const nowMs = this.runtime.nowMs();
    if (nowMs - this.lastNoticeMs <= SILENCE_MS) return;
    this.lastNoticeMs = nowMs;
    this.link.switchToNext();
  }

  private receive(notice: ControlNotice): void {
    if (notice.kind === 'not-leader') {
      this.link.switchToReplica(notice.leader);
      return;
    }
    this.lastNoticeMs = this.runtime.nowMs();
    this.onNotice(notice);
  }
}
