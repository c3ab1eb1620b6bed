/**
 * A daemon's connection to the directory: it watches one replica at a time, and sends its requests there. A replica
 * that is behind this daemon, hears no leader or falls silent is left for the next one; until then the last table
 * stays in force.
 */
import type { DirectoryNotice, DirectoryRequest } from '../directory/directory-messages.js';
import { parseAddress } from '../directory/replica-address.js';
import { spread } from '../model/text-hash.js';
import type { CancelTimer, Client, ClientIdentity, Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { DirectoryTable } from './directory-table.js';

/** Silence after which a replica is left, in ms: three of its signs of life and some delay. */
const SILENCE_LIMIT_MS = 900;

/**
 * Time without a whole message after which a replica is left although bytes arrive, in ms. A slow link of 0.5 MB/s
 * carries a table of 100,000 routes in it.
 */
const MESSAGE_LIMIT_MS = 5_000;

/** Age of the last sign of life up to which the table counts as current, in ms: two signs of life and some delay. */
const CURRENT_LIMIT_MS = 600;

/**
 * Pause in ms after all replicas that are known were tried in vain. Without it daemons took all processor time that there
 * was, theirs and that of the replicas which were to elect a leader.
 */
const ROUND_PAUSE_MS = 60;

/** Pause between checks of the connection, in ms. */
const CHECK_MS = 150;

/** What the owner of a client is told. */
export interface DirectoryClientHandlers {
  /** The table has changed. */
  onTable(): void;
  onNotice(notice: DirectoryNotice): void;
  /** A replica has answered after a time without any. */
  onConnected(): void;
}

/** A connection to the directory. */
export class DirectoryClient {
  private readonly known: string[];
  private position: number;
  private client: Client | null = null;
  /** When the replica was dialed, or any bytes came from it. */
  private lastHeardMs = 0;
  /** When the replica was dialed, or a whole message came from it. */
  private lastMessageMs = 0;
  /** When the replica last said that everything before was sent; messages of a connection keep their order. */
  private lastAliveMs = -Infinity;
  private bytesSeen = 0;
  private lastCheckMs = 0;
  private watching = false;
  /** Replicas that were tried in a row and sent nothing that can be followed. */
  private triedInVain = 0;
  private cancelPause: CancelTimer = () => undefined;
  private readonly cancelCheck: CancelTimer;

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
    seeds: readonly string[],
    private readonly table: DirectoryTable,
    private readonly log: EventLog,
    private readonly handlers: DirectoryClientHandlers,
  ) {
    this.known = [...seeds];
    this.position = spread(identity.name, Math.max(1, seeds.length));
    this.cancelCheck = runtime.every(CHECK_MS, () => {
      this.check();
    });
    this.dial();
  }

  /** Whether a replica that hears a leader was heard lately. */
  get connected(): boolean {
    return this.watching && this.runtime.nowMs() - this.lastHeardMs < SILENCE_LIMIT_MS;
  }

  /**
   * Whether the table holds what the replica held a moment ago. While a long change is on its way here, or no replica
   * is followed, what is missing in the table may exist all the same.
   */
  get current(): boolean {
    return this.runtime.nowMs() - this.lastAliveMs < CURRENT_LIMIT_MS;
  }

  /** Sends to the present replica; false when there is no connection. */
  send(request: DirectoryRequest): boolean {
    return this.client?.send(request) ?? false;
  }

  /** Adds addresses of replicas, from settings that were read again. */
  addSeeds(seeds: readonly string[]): void {
    for (const seed of seeds) if (!this.known.includes(seed)) this.known.push(seed);
  }

  /** Closes for good. */
  stop(): void {
    this.cancelCheck();
    this.cancelPause();
    this.client?.stop();
  }

  private dial(): void {
    const { runtime } = this;
    const text = this.known[this.position % this.known.length] ?? '';
    const address = parseAddress(text);
    this.watching = false;
    this.lastHeardMs = runtime.nowMs();
    this.lastMessageMs = this.lastHeardMs;
    this.bytesSeen = 0;
    if (address === null) return;
    const client = runtime.dial(address, this.identity, {
      onOpen: () => {
        client.send({ kind: 'watch', fromIndex: this.table.index });
      },
      onMessage: (message) => {
        if (this.client === client) this.receive(message as DirectoryNotice, text);
      },
      onClose: () => {
        if (this.client === client) this.next('connection lost');
      },
    });
    this.client = client;
  }

  private next(reason: string): void {
    if (this.watching) {
      this.log.event('directory-lost', { replica: this.known[this.position % this.known.length], reason });
    }
    this.client?.stop();
    this.client = null;
    this.position += 1;
    this.triedInVain += 1;
    if (this.triedInVain < this.known.length) this.dial();
    else this.dialAfterPause();
  }

  private dialAfterPause(): void {
    this.triedInVain = 0;
    this.watching = false;
    this.lastHeardMs = this.runtime.nowMs();
    this.lastMessageMs = this.lastHeardMs;
    this.cancelPause();
    this.cancelPause = this.runtime.after(ROUND_PAUSE_MS, () => {
      this.dial();
    });
  }

  /** A process that did not run itself cannot tell whether the replica was silent. */
  private check(): void {
    const nowMs = this.runtime.nowMs();
    const stalled = nowMs - this.lastCheckMs > 2 * CHECK_MS;
    this.lastCheckMs = nowMs;
    this.noteBytes(nowMs);
    if (stalled && this.watching) return;
    if (nowMs - this.lastHeardMs > SILENCE_LIMIT_MS) this.next('silence');
    else if (nowMs - this.lastMessageMs > MESSAGE_LIMIT_MS) this.next('no whole message');
  }

  /** A long message takes its time on a slow link: bytes of it are signs of life. */
  private noteBytes(nowMs: number): void {
    const bytes = this.client?.traffic().bytesReceived ?? 0;
    if (bytes !== this.bytesSeen) this.lastHeardMs = nowMs;
    this.bytesSeen = bytes;
  }

  private receive(notice: DirectoryNotice, address: string): void {
    this.lastHeardMs = this.runtime.nowMs();
    this.lastMessageMs = this.lastHeardMs;
    switch (notice.kind) {
      case 'table':
        if (this.table.replace(notice.index, notice.table)) this.handlers.onTable();
        break;
      case 'changes':
        if (this.table.apply(notice.index, notice.changes)) this.handlers.onTable();
        break;
      case 'alive':
        this.lastAliveMs = this.lastHeardMs;
        this.table.noteHeld(notice.index);
        this.takeMembers(notice.members);
        this.becomeConnected(address);
        break;
      case 'watch-refused':
        this.next(notice.reason);
        break;
      default:
        this.handlers.onNotice(notice);
    }
  }

  /** Seeds stay known as well: after a loss of everything they may be all that is left. */
  private takeMembers(members: readonly string[]): void {
    this.addSeeds(members);
  }

  private becomeConnected(address: string): void {
    if (this.watching) return;
    this.watching = true;
    this.triedInVain = 0;
    this.log.event('directory-connected', { replica: address, index: this.table.index });
    this.handlers.onConnected();
  }
}
