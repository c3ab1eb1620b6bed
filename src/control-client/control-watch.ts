/**
 * Keeps a daemon's table up to date from one control replica at a time. A replica that is behind this
 * daemon, knows no leader or falls silent is left for the next one; until then the last table stays.
 */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { WatchScope } from '../control/changes.js';
import type { ControlNotice } from '../control/daemon-messages.js';
import type { CancelTimer, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';
import { bucketOf } from '../model/text-hash.js';
import { ReplicaLink } from './replica-link.js';
import type { WatchedTable } from './watched-table.js';

/** Pause before another replica is tried, in ms. */
const SWITCH_PAUSE_MS = 200;

/** Silence after which a replica is left, in ms: three signs of life of a replica that hears a leader. */
const SILENCE_LIMIT_MS = 3_000;

/** Pause between looks at the silence, in ms. */
const SILENCE_CHECK_MS = 500;

/** Pause between reports of what is in force, in ms. */
const ACKNOWLEDGE_MS = 1_000;

/** Counters of a watch. */
export interface WatchCounters {
  tables: number;
  changes: number;
}

/** A watch of the published state. */
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
    const options = { firstPosition, switchPauseMs: SWITCH_PAUSE_MS };
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
    this.cancelSilenceCheck = runtime.every(SILENCE_CHECK_MS, () => {
      this.leaveIfSilent();
    });
    this.cancelAcknowledge = runtime.every(ACKNOWLEDGE_MS, () => {
      this.acknowledge();
    });
  }

  /** Bytes over all connections of this watch. */
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

  private leaveIfSilent(): void {
    const nowMs = this.runtime.nowMs();
    if (nowMs - this.lastNoticeMs < SILENCE_LIMIT_MS) return;
    this.lastNoticeMs = nowMs;
    this.link.switchToNext();
  }

  /** Whether a change was lost on the way; a watcher of one back end is not told of every change. */
  private lacks(index: number): boolean {
    return this.scope === null && index > this.table.index;
  }

  private receive(notice: ControlNotice): void {
    this.lastNoticeMs = this.runtime.nowMs();
    switch (notice.kind) {
      case 'watch-alive':
        if (this.lacks(notice.index)) this.watch();
        break;
      case 'table':
        this.counters.tables += 1;
        if (this.table.replace(notice.index, notice.table)) this.updated();
        break;
      case 'changes':
        this.counters.changes += 1;
        if (this.lacks(notice.previousIndex)) this.watch();
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
