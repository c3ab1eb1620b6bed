/**
 * Publishes committed changes to the daemons that watch a replica. Each change and each table is encoded and
 * compressed once for all of them.
 */
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

/** Published changes that are kept for watchers that come back. */
const KEPT_CHANGES = 1_024;

/** Changes that a watcher is sent after a table that was encoded before them; then the table is encoded anew. */
const MOST_AFTER_TABLE = 128;

interface Published {
  readonly index: number;
  readonly frame: Buffer;
}

/** The watchers of one replica. */
export class ChangeFeed {
  private readonly watchers = new Set<Connection>();
  private recent: Published[] = [];
  /** Changes after this index are all in `recent`. */
  private recentSince = 0;
  private encodedTable: Published | null = null;
  private newest = 0;

  /** Number of watchers. */
  get size(): number {
    return this.watchers.size;
  }

  /** Index of the newest change, or of the state that was taken over as a whole. */
  get newestIndex(): number {
    return this.newest;
  }

  /** Adds a watcher that holds everything up to `fromIndex`, and brings it up to date. */
  add(connection: Connection, fromIndex: number, state: DirectoryState, index: number): void {
    this.watchers.add(connection);
    const needsTable = fromIndex === 0 || fromIndex < this.recentSince;
    const heldIndex = needsTable ? this.sendTable(connection, state, index) : fromIndex;
    for (const published of this.recent) {
      if (published.index > heldIndex) connection.sendEncoded(published.frame);
    }
  }

  /** Sends a whole table, which may be some changes old; returns its index. */
  private sendTable(connection: Connection, state: DirectoryState, index: number): number {
    const table = this.table(state, index);
    connection.sendEncoded(table.frame);
    return table.index;
  }

  /** A connection has closed. */
  remove(connection: Connection): void {
    this.watchers.delete(connection);
  }

  /** Publishes what one committed command changed. */
  publish(index: number, changes: readonly DirectoryChange[]): void {
    if (changes.length === 0) return;
    if (changes.some(isOrder)) this.encodedTable = null;
    this.newest = index;
    const frame = encodeNotice({ kind: 'changes', index, changes: changes.map(withoutItemSources) });
    this.recent.push({ index, frame });
    if (this.recent.length > KEPT_CHANGES) this.recentSince = this.recent.shift()?.index ?? index;
    for (const watcher of this.watchers) watcher.sendEncoded(frame);
  }

  /** The state was replaced as a whole. */
  reset(state: DirectoryState, index: number): void {
    this.recent = [];
    this.recentSince = index;
    this.encodedTable = null;
    this.newest = index;
    if (this.watchers.size === 0) return;
    const { frame } = this.table(state, index);
    for (const watcher of this.watchers) watcher.sendEncoded(frame);
  }

  /** Sends a notice to every watcher. */
  broadcast(notice: DirectoryNotice): void {
    if (this.watchers.size === 0) return;
    const frame = encodeNotice(notice);
    for (const watcher of this.watchers) watcher.sendEncoded(frame);
  }

  /** Tells every watcher to go elsewhere. */
  dismissAll(): void {
    this.broadcast({ kind: 'watch-refused', reason: 'no-leader' });
    this.watchers.clear();
  }

  /** Daemons that come together while changes go on share one table: encoding a long one takes longer than a change. */
  private table(state: DirectoryState, index: number): Published {
    const known = this.encodedTable;
    if (known !== null && this.canFollow(known.index)) return known;
    const table = withoutSources(encodeDirectory(state));
    const encoded = { index, frame: encodeNotice({ kind: 'table', index, table }) };
    this.encodedTable = encoded;
    return encoded;
  }

  /** Whether the changes after an index are held, and few. */
  private canFollow(index: number): boolean {
    if (index < this.recentSince) return false;
    const later = this.recent.length - MOST_AFTER_TABLE;
    return later <= 0 || (this.recent[later - 1]?.index ?? 0) <= index;
  }
}

/** Whether an operator ordered it. A daemon that starts is to know of it from its table, since it may be long in force. */
function isOrder({ kind }: DirectoryChange): boolean {
  return kind === 'items' || kind === 'evacuation';
}

/** Watchers route by definitions; only operators read what was written. */
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
