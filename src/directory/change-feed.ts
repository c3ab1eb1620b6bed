/**
 * Publishes committed changes to the daemons that watch a replica. Each change and each full table is encoded and
 * compressed once and shared by all watchers.
 */
import { replicaLimits, type ReplicaLimits } from '../consensus/replica-limits.js';
import type { Connection } from '../runtime/runtime.js';
import { encodeCompactFrame } from '../transport/frame-codec.js';
import type { DirectoryChange } from './directory-commands.js';
import type { DirectoryNotice } from './directory-messages.js';
import {
  encodeDirectory,
  forWatchers,
  type ConfigurationItem,
  type DirectoryState,
} from './directory-state.js';
import { WatcherQueues } from '../transport/watcher-queues.js';

/** Maximum number of published changes retained for watchers that reconnect, within their limit in bytes. */
const MAX_RETAINED_CHANGES = 1_024;

/** Maximum number of changes sent after a cached table; beyond that, the table is encoded again. */
const MAX_CHANGES_AFTER_TABLE = 128;

interface Published {
  readonly index: number;
  readonly frame: Buffer;
}

/** Limits in bytes of the changes retained for watchers that reconnect, and of the frames queued for watchers. */
export type FeedLimits = Pick<ReplicaLimits, 'retainedChangeBytes' | 'watcherQueueBytes'>;

/** Delivers tables and changes to the watchers of one replica. */
export class ChangeFeed {
  private readonly watchers = new Set<Connection>();
  private readonly queues: WatcherQueues;
  private recent: Published[] = [];
  /** Size of the frames in `recent`. */
  private recentBytes = 0;
  /** `recent` holds every change after this index. */
  private recentAfterIndex = 0;
  private cachedTable: Published | null = null;
  private newest = 0;

  constructor(private readonly limits: FeedLimits = replicaLimits(null)) {
    this.queues = new WatcherQueues(limits.watcherQueueBytes);
  }

  /** Number of watchers. */
  get size(): number {
    return this.watchers.size;
  }

  /** Index of the newest published change, or of the snapshot that last replaced the state. */
  get newestIndex(): number {
    return this.newest;
  }

  /** Adds a watcher that holds everything up to `fromIndex` and sends it the changes that it lacks. */
  add(connection: Connection, fromIndex: number, state: DirectoryState, index: number): void {
    this.watchers.add(connection);
    const needsTable = fromIndex === 0 || fromIndex < this.recentAfterIndex;
    const heldIndex = needsTable ? this.sendTable(connection, state, index) : fromIndex;
    for (const published of this.recent) {
      if (published.index > heldIndex) this.queues.send(connection, published.frame);
    }
    this.disconnectSlow();
  }

  /** Sends a full table, which may lag the state by a few changes, and returns its index. */
  private sendTable(connection: Connection, state: DirectoryState, index: number): number {
    const table = this.table(state, index);
    this.queues.send(connection, table.frame);
    return table.index;
  }

  /** Removes the watcher on a closed connection. */
  remove(connection: Connection): void {
    this.watchers.delete(connection);
    this.queues.remove(connection);
  }

  /** Publishes the changes made by one committed command. */
  publish(index: number, changes: readonly DirectoryChange[]): void {
    if (changes.length === 0) return;
    if (changes.some(isOperatorChange)) this.cachedTable = null;
    this.newest = index;
    const frame = encodeNotice({ kind: 'changes', index, changes: changes.map(withoutItemSources) });
    this.retain({ index, frame });
    this.sendToAll(frame);
  }

  /** Sends a full table to every watcher after the state was replaced by a snapshot. */
  reset(state: DirectoryState, index: number): void {
    this.recent = [];
    this.recentBytes = 0;
    this.recentAfterIndex = index;
    this.cachedTable = null;
    this.newest = index;
    if (this.watchers.size === 0) return;
    this.sendToAll(this.table(state, index).frame);
  }

  /** Sends a notice to every watcher. */
  broadcast(notice: DirectoryNotice): void {
    if (this.watchers.size === 0) return;
    this.sendToAll(encodeNotice(notice));
  }

  /** Removes all watchers and notifies them that this replica has no leader, so that they try another replica. */
  refuseAllWatchers(): void {
    this.broadcast({ kind: 'watch-refused', reason: 'no-leader' });
    for (const watcher of this.watchers) this.remove(watcher);
  }

  private sendToAll(frame: Buffer): void {
    for (const watcher of this.watchers) this.queues.send(watcher, frame);
    this.disconnectSlow();
  }

  /** Disconnects watchers that take less than is published; they connect again and start from a table. */
  private disconnectSlow(): void {
    for (const watcher of this.queues.removeSlow()) {
      this.watchers.delete(watcher);
      watcher.close('watcher is too slow');
    }
  }

  /** Retains a change for watchers that reconnect. One that is larger than the limit is not retained: they get a table instead. */
  private retain(published: Published): void {
    this.recent.push(published);
    this.recentBytes += published.frame.length;
    let dropped = 0;
    for (const { index, frame } of this.recent) {
      const fits = this.recentBytes <= this.limits.retainedChangeBytes;
      if (fits && this.recent.length - dropped <= MAX_RETAINED_CHANGES) break;
      this.recentBytes -= frame.length;
      this.recentAfterIndex = index;
      dropped += 1;
    }
    if (dropped > 0) this.recent = this.recent.slice(dropped);
  }

  /**
   * Returns the cached table, or encodes a new one. Daemons that connect at about the same time share one table even
   * while changes continue, because encoding a large table costs more than sending the changes after it.
   */
  private table(state: DirectoryState, index: number): Published {
    const cached = this.cachedTable;
    if (cached !== null && this.canCatchUpFrom(cached.index)) return cached;
    const table = withoutSources(encodeDirectory(state));
    const encoded = { index, frame: encodeNotice({ kind: 'table', index, table }) };
    this.cachedTable = encoded;
    return encoded;
  }

  /** Whether the changes after an index are all retained and at most `MAX_CHANGES_AFTER_TABLE`. */
  private canCatchUpFrom(index: number): boolean {
    if (index < this.recentAfterIndex) return false;
    const excess = this.recent.length - MAX_CHANGES_AFTER_TABLE;
    return excess <= 0 || (this.recent[excess - 1]?.index ?? 0) <= index;
  }
}

/**
 * Whether a change was ordered by an operator. Such a change invalidates the cached table: it may already be in force,
 * so a daemon that starts must find it in its table.
 */
function isOperatorChange({ kind }: DirectoryChange): boolean {
  return kind === 'items' || kind === 'evacuation';
}

/** Drops item sources: watchers route by definitions, and only operators read the source text. */
function withoutSources(table: ReturnType<typeof encodeDirectory>): ReturnType<typeof encodeDirectory> {
  return { ...forWatchers(table), items: table.items.map(withoutSource) };
}

function withoutItemSources(change: DirectoryChange): DirectoryChange {
  return change.kind === 'items' ? { ...change, items: change.items.map(withoutSource) } : change;
}

function withoutSource(item: ConfigurationItem): ConfigurationItem {
  return { ...item, source: null };
}

function encodeNotice(notice: DirectoryNotice): Buffer {
  return encodeCompactFrame(notice);
}
