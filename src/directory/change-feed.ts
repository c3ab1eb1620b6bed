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
    if (fromIndex === 0 || fromIndex < this.recentSince) {
      connection.sendEncoded(this.table(state, index));
      return;
    }
    for (const published of this.recent) {
      if (published.index > fromIndex) connection.sendEncoded(published.frame);
    }
  }

  /** A connection has closed. */
  remove(connection: Connection): void {
    this.watchers.delete(connection);
  }

  /** Publishes what one committed command changed. */
  publish(index: number, changes: readonly DirectoryChange[]): void {
    if (changes.length === 0) return;
    this.encodedTable = null;
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
    const frame = this.table(state, index);
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

  private table(state: DirectoryState, index: number): Buffer {
    if (this.encodedTable?.index === index) return this.encodedTable.frame;
    const table = withoutSources(encodeDirectory(state));
    const frame = encodeNotice({ kind: 'table', index, table });
    this.encodedTable = { index, frame };
    return frame;
  }
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
