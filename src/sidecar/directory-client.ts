/**
 * A daemon's connection to the directory. It watches one replica at a time and sends its requests to that replica.
 * It switches to the next replica if the present one is behind this daemon, has no leader or stops sending; until
 * then the last table stays in force.
 */
import type { DirectoryNotice, DirectoryRequest } from '../directory/directory-messages.js';
import { readNotice } from '../directory/notice-checks.js';
import { parseAddress } from '../directory/replica-address.js';
import { bucketOf } from '../model/text-hash.js';
import type { CancelTimer, Client, ClientIdentity, Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { DirectoryTable } from './directory-table.js';

/**
 * Time in ms without received bytes after which the client switches replicas: three `alive` notices and some delay.
 */
const SILENCE_TIMEOUT_MS = 900;

/**
 * Time in ms without a complete message after which the client switches replicas even though bytes arrive. A slow
 * link of 0.5 MB/s transfers a table of 100,000 routes in it.
 */
const MESSAGE_TIMEOUT_MS = 5_000;

/** Maximum age in ms of the last `alive` notice for the table to count as current: two notices and some delay. */
const MAX_CURRENT_AGE_MS = 600;

/**
 * Delay in ms after all known replicas were tried without success. Without it, daemons used up all processor time,
 * including what the replicas needed to elect a leader.
 */
const ROUND_RETRY_DELAY_MS = 60;

/** Interval in ms between checks of the connection. */
const CHECK_INTERVAL_MS = 150;

/** Event handlers of a directory client. */
export interface DirectoryClientHandlers {
  /** Called when the table has changed. */
  onTable(): void;
  onNotice(notice: DirectoryNotice): void;
  /** Called when the client starts to follow a replica. */
  onConnected(): void;
}

/** Watches the directory through one replica at a time. */
export class DirectoryClient {
  private readonly addresses: string[];
  private position: number;
  private client: Client | null = null;
  /** When the replica was dialed or last sent any bytes. */
  private lastReceivedMs = 0;
  /** When the replica was dialed or last completed a message. */
  private lastMessageMs = 0;
  /**
   * When the last `alive` notice arrived. Messages of a connection stay in order, so everything sent before it has
   * arrived.
   */
  private lastAliveMs = -Infinity;
  private bytesReceived = 0;
  private lastCheckMs = 0;
  private watching = false;
  /** Number of consecutive replicas that could not be followed. */
  private failedAttempts = 0;
  private cancelRetry: CancelTimer = () => undefined;
  private readonly cancelCheck: CancelTimer;

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
    seeds: readonly string[],
    private readonly table: DirectoryTable,
    private readonly log: EventLog,
    private readonly handlers: DirectoryClientHandlers,
  ) {
    this.addresses = [...seeds];
    this.position = bucketOf(identity.name, Math.max(1, seeds.length));
    this.cancelCheck = runtime.every(CHECK_INTERVAL_MS, () => {
      this.check();
    });
    this.dial();
  }

  /** Whether a replica that has a leader is followed and has sent data recently. */
  get connected(): boolean {
    return this.watching && this.runtime.nowMs() - this.lastReceivedMs < SILENCE_TIMEOUT_MS;
  }

  /**
   * Whether the table is up to date with the replica. If not, because a large change is still being received or no
   * replica is followed, entries that are missing from the table may still exist.
   */
  get isTableCurrent(): boolean {
    return this.runtime.nowMs() - this.lastAliveMs < MAX_CURRENT_AGE_MS;
  }

  /** Sends a request to the present replica; returns false if there is no connection. */
  send(request: DirectoryRequest): boolean {
    return this.client?.send(request) ?? false;
  }

  /** Adds replica addresses from reloaded settings. */
  addSeeds(seeds: readonly string[]): void {
    for (const seed of seeds) if (!this.addresses.includes(seed)) this.addresses.push(seed);
  }

  /** Closes the connection and stops dialing. */
  stop(): void {
    this.cancelCheck();
    this.cancelRetry();
    this.client?.stop();
  }

  private dial(): void {
    const { runtime } = this;
    const text = this.addresses[this.position % this.addresses.length] ?? '';
    const address = parseAddress(text);
    this.watching = false;
    this.lastReceivedMs = runtime.nowMs();
    this.lastMessageMs = this.lastReceivedMs;
    this.bytesReceived = 0;
    if (address === null) return;
    const client = runtime.dial(address, this.identity, {
      onOpen: () => {
        client.send({ kind: 'watch', fromIndex: this.table.index });
      },
      onMessage: (message) => {
        if (this.client !== client) return;
        const notice = readNotice(message);
        if (notice === null) this.switchReplica('unreadable notice');
        else this.receive(notice, text);
      },
      onClose: () => {
        if (this.client === client) this.switchReplica('connection lost');
      },
    });
    this.client = client;
  }

  private switchReplica(reason: string): void {
    if (this.watching) {
      this.log.event('directory-lost', {
        replica: this.addresses[this.position % this.addresses.length],
        reason,
      });
    }
    this.client?.stop();
    this.client = null;
    this.position += 1;
    this.failedAttempts += 1;
    if (this.failedAttempts < this.addresses.length) this.dial();
    else this.dialAfterDelay();
  }

  private dialAfterDelay(): void {
    this.failedAttempts = 0;
    this.watching = false;
    this.lastReceivedMs = this.runtime.nowMs();
    this.lastMessageMs = this.lastReceivedMs;
    this.cancelRetry();
    this.cancelRetry = this.runtime.after(ROUND_RETRY_DELAY_MS, () => {
      this.dial();
    });
  }

  /**
   * Switches replicas on a timeout. A process that was stalled itself cannot determine whether the replica was silent,
   * so a late check is skipped while a replica is followed.
   */
  private check(): void {
    const nowMs = this.runtime.nowMs();
    const stalled = nowMs - this.lastCheckMs > 2 * CHECK_INTERVAL_MS;
    this.lastCheckMs = nowMs;
    this.recordReceivedBytes(nowMs);
    if (stalled && this.watching) return;
    if (nowMs - this.lastReceivedMs > SILENCE_TIMEOUT_MS) this.switchReplica('silence');
    else if (nowMs - this.lastMessageMs > MESSAGE_TIMEOUT_MS) this.switchReplica('no complete message');
  }

  /** Counts received bytes as activity: a large message takes long on a slow link. */
  private recordReceivedBytes(nowMs: number): void {
    const bytes = this.client?.traffic().bytesReceived ?? 0;
    if (bytes !== this.bytesReceived) this.lastReceivedMs = nowMs;
    this.bytesReceived = bytes;
  }

  private receive(notice: DirectoryNotice, address: string): void {
    this.lastReceivedMs = this.runtime.nowMs();
    this.lastMessageMs = this.lastReceivedMs;
    switch (notice.kind) {
      case 'table':
        if (this.table.replace(notice.index, notice.table)) this.handlers.onTable();
        break;
      case 'changes':
        if (this.table.apply(notice.index, notice.changes)) this.handlers.onTable();
        break;
      case 'alive':
        this.lastAliveMs = this.lastReceivedMs;
        this.table.recordHeldIndex(notice.index);
        this.addMembers(notice.members);
        this.markConnected(address);
        break;
      case 'watch-refused':
        this.switchReplica(notice.reason);
        break;
      default:
        this.handlers.onNotice(notice);
    }
  }

  /**
   * Adds the members' addresses. The seeds are kept too: after a total failure they may be the only addresses that
   * still work.
   */
  private addMembers(members: readonly string[]): void {
    this.addSeeds(members);
  }

  private markConnected(address: string): void {
    if (this.watching) return;
    this.watching = true;
    this.failedAttempts = 0;
    this.log.event('directory-connected', { replica: address, index: this.table.index });
    this.handlers.onConnected();
  }
}
