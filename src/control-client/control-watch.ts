/**
 * Keeps a daemon's table up to date from one control replica at a time. A replica that is behind this
 * daemon, knows no leader or falls silent is left for the next one; until then the last table stays.
 */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { WatchScope } from '../control/changes.js';
import { controlNoticeSchema, type ControlNotice } from '../control/daemon-messages.js';
import { MessageClient, type ClientIdentity } from '../transport/message-client.js';
import type { WatchedTable } from './watched-table.js';

/** Pause before another replica is tried, in ms. */
const SWITCH_PAUSE_MS = 200;

/** Pause between reports of what is in force, in ms. */
const ACKNOWLEDGE_MS = 1_000;

/** Counters of a watch. */
export interface WatchCounters {
  tables: number;
  changes: number;
  switches: number;
}

/** A watch of the published state. */
export class ControlWatch {
  readonly counters: WatchCounters = { tables: 0, changes: 0, switches: 0 };
  private client: MessageClient;
  private position: number;
  private readonly timer: NodeJS.Timeout;
  private switchTimer: NodeJS.Timeout | null = null;
  private acknowledgedIndex = 0;

  constructor(
    private readonly table: WatchedTable,
    private readonly identity: ClientIdentity,
    private readonly control: readonly NamedAddress[],
    private readonly scope: WatchScope | null,
    private readonly onUpdate: () => void,
  ) {
    this.position = spread(identity.name, control.length);
    this.client = this.dial();
    this.timer = setInterval(() => {
      this.acknowledge();
    }, ACKNOWLEDGE_MS);
  }

  /** Bytes over the present connection. */
  traffic(): { readonly bytesSent: number; readonly bytesReceived: number } {
    return this.client.traffic();
  }

  /** Stops watching. */
  stop(): void {
    clearInterval(this.timer);
    if (this.switchTimer !== null) clearTimeout(this.switchTimer);
    this.client.stop();
  }

  private dial(): MessageClient {
    const { address } = this.control[this.position % this.control.length] ?? missingControl();
    return new MessageClient(address, this.identity, {
      onOpen: (connection) => {
        connection.send({ kind: 'watch', fromIndex: this.table.index, scope: this.scope });
      },
      onMessage: (message) => {
        this.receive(message);
      },
      onClose: () => {
        this.switchReplica();
      },
    });
  }

  private receive(message: unknown): void {
    if (!controlNoticeSchema.safeParse(message).success) return;
    const notice = message as ControlNotice;
    switch (notice.kind) {
      case 'table':
        this.counters.tables += 1;
        if (this.table.replace(notice.index, notice.table)) this.updated();
        break;
      case 'changes':
        this.counters.changes += 1;
        if (this.table.apply(notice.index, notice.changes)) this.updated();
        break;
      case 'watch-refused':
        this.switchReplica();
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
    if (this.client.send({ kind: 'watched', index, revision })) this.acknowledgedIndex = index;
  }

  private switchReplica(): void {
    if (this.switchTimer !== null) return;
    this.counters.switches += 1;
    this.switchTimer = setTimeout(() => {
      this.switchTimer = null;
      this.client.stop();
      this.position += 1;
      this.acknowledgedIndex = 0;
      this.client = this.dial();
    }, SWITCH_PAUSE_MS);
  }
}

function missingControl(): never {
  throw new Error('invariant broken: the settings name no control replica');
}

/** A starting place that differs between daemons, so that replicas share them evenly. */
export function spread(name: string, places: number): number {
  let sum = 0;
  for (const character of name) sum = (Math.imul(sum, 31) + character.charCodeAt(0)) >>> 0;
  return sum % places;
}
