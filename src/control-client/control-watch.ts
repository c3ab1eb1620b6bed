/**
 * Keeps a daemon's table up to date from one control replica at a time. Switches to the next replica if the
 * current one is behind this daemon, knows no leader or falls silent; meanwhile the last table remains in use.
 */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { WatchScope } from '../control/changes.js';
import type { ControlNotice } from '../control/daemon-messages.js';
import type { CancelTimer, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';
import { bucketOf } from '../model/text-hash.js';
import { ReplicaLink } from './replica-link.js';
import type { WatchedTable } from './watched-table.js';

/** Delay before connecting to another replica, in ms. */
const SWITCH_DELAY_MS = 200;

/** Time in ms without a notice after which the replica is switched: three heartbeats of a replica that hears a leader. */
const SILENCE_TIMEOUT_MS = 3_000;

/** Interval between checks for a silent replica, in ms. */
const SILENCE_CHECK_INTERVAL_MS = 500;

/** Interval between acknowledgements of the applied index and revision, in ms. */
const ACKNOWLEDGE_INTERVAL_MS = 1_000;

/** Counters of a watch. */
export interface WatchCounters {
  tables: number;
  changes: number;
}

/** Watch of the published state. */
export class ControlWatch {
  readonly counters: WatchCounters = { tables: 0, changes: 0 };
  private readonly link: ReplicaLink;
  private readonly cancelAcknowledge: CancelTimer;
  private readonly cancelSilenceCheck: CancelTimer;
  private acknowledgedIndex = 0;
  private lastNoticeMs: number;

  constructor(
    private readonly runtime: Runtime,
    private readonly table: WatchedTable,
    identity: ClientIdentity,
    control: readonly NamedAddress[],
    private readonly scope: WatchScope | null,
    private readonly onUpdate: () => void,
  ) {
    this.lastNoticeMs = runtime.nowMs();
    const firstPosition = bucketOf(identity.name, control.length);
    const options = { firstPosition, switchDelayMs: SWITCH_DELAY_MS };
    this.link = new ReplicaLink(runtime, identity, control, options, {
      onOpen: () => {
        this.watch();
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
    this.cancelAcknowledge = runtime.every(ACKNOWLEDGE_INTERVAL_MS, () => {
      this.acknowledge();
    });
  }

  /** Returns the bytes over all connections of this watch. */
  traffic(): Traffic {
    return this.link.traffic();
  }

  /** Stops watching. */
  stop(): void {
    this.cancelAcknowledge();
    this.cancelSilenceCheck();
    this.link.stop();
  }

  private watch(): void {
    this.acknowledgedIndex = 0;
    this.link.send({ kind: 'watch', fromIndex: this.table.index, scope: this.scope });
  }

  private switchIfSilent(): void {
    const nowMs = this.runtime.nowMs();
    if (nowMs - this.lastNoticeMs < SILENCE_TIMEOUT_MS) return;
    this.lastNoticeMs = nowMs;
    this.link.switchToNext();
  }

  /** Whether a change was missed; always false for a watch of one back end, which does not receive every change. */
  private hasMissed(index: number): boolean {
    return this.scope === null && index > this.table.index;
  }

  private receive(notice: ControlNotice): void {
    this.lastNoticeMs = this.runtime.nowMs();
    switch (notice.kind) {
      case 'watch-alive':
        if (this.hasMissed(notice.index)) this.watch();
        break;
      case 'table':
        this.counters.tables += 1;
        if (this.table.replace(notice.index, notice.table)) this.updated();
        break;
      case 'changes':
        this.counters.changes += 1;
        if (this.hasMissed(notice.previousIndex)) this.watch();
        else if (this.table.apply(notice.index, notice.changes)) this.updated();
        break;
      case 'watch-refused':
        this.link.switchToNext();
        break;
      default:
        break;
    }
  }

  private updated(): void {
    this.onUpdate();
    this.acknowledge();
  }

  private acknowledge(): void {
    const { index, revision } = this.table;
    if (index === this.acknowledgedIndex) return;
    if (this.link.send({ kind: 'watched', index, revision })) this.acknowledgedIndex = index;
  }
}
