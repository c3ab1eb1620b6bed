/**
 * Publishes committed changes to the daemons that watch this replica. Each change and the whole table are encoded
 * once for all unscoped watchers; a watcher of one back end receives only the rows that involve it.
 */
import { replicaLimits, type ReplicaLimits } from '../consensus/replica-limits.js';
import { valueBytes } from '../model/value-size.js';
import { encodeFrame } from '../transport/frame-codec.js';
import { WatcherQueues } from '../transport/watcher-queues.js';
import { packRows, type PackedRows } from '../model/packed-rows.js';
import type { Connection } from '../runtime/runtime.js';
import type { Hello } from '../transport/hello.js';
import { changesInScope, type Change, type WatchScope } from './changes.js';
import type { ControlState } from './control-state.js';
import { encodeForWatchers, type StateSnapshot } from './state-snapshot.js';
import { encodeChanges } from './wire-changes.js';

/** Maximum number of published changes stored for watchers that reconnect, within their limit in bytes. */
const MAX_STORED_CHANGES = 4_096;

/** Number of changes since an encoded table after which a new table is encoded instead of sending the old one with them. */
const MAX_CHANGES_SINCE_TABLE = 512;

/** Stored changes are held as values and as a frame. */
const COPIES = 2;

/** A daemon that watches this replica. */
export interface Watcher {
  readonly hello: Hello;
  readonly connection: Connection;
  /** Part of the state that the daemon watches; null for the whole state. */
  readonly scope: WatchScope | null;
  /** Latest index that the daemon has acknowledged as in effect. */
  index: number;
  /** Latest configuration revision that the daemon has acknowledged as in effect. */
  revision: number;
}

interface PublishedChanges {
  readonly index: number;
  readonly previousIndex: number;
  readonly changes: readonly Change[];
  /** Approximate size of the changes with their frame. */
  readonly bytes: number;
  /** The changes as a frame for unscoped watchers; encoded on first use. */
  frame: Buffer | null;
}

interface EncodedTable {
  readonly index: number;
  readonly frame: Buffer;
}

/** Limits in bytes of the changes stored for watchers that reconnect, and of the frames queued for watchers. */
export type HubLimits = Pick<ReplicaLimits, 'retainedChangeBytes' | 'watcherQueueBytes'>;

/** Watchers of one replica. */
export class WatchHub {
  /** Number of tables encoded for unscoped watchers. */
  tablesEncoded = 0;
  private readonly watchers = new Map<Connection, Watcher>();
  private readonly queues: WatcherQueues;
  private recent: PublishedChanges[] = [];
  private recentBytes = 0;
  /** All changes after this index are in `recent`. */
  private recentStartIndex = 0;
  private encodedTable: EncodedTable | null = null;

  constructor(private readonly limits: HubLimits = replicaLimits(null)) {
    this.queues = new WatcherQueues(limits.watcherQueueBytes);
  }

  /** Approximate size in bytes of the changes stored for watchers that reconnect. */
  get storedBytes(): number {
    return this.recentBytes;
  }

  /** Returns the current watchers. */
  list(): readonly Watcher[] {
    return [...this.watchers.values()];
  }

  /** Resets the hub after the whole state was replaced, and sends the table to all watchers. */
  reset(state: ControlState, index: number): void {
    this.recent = [];
    this.recentBytes = 0;
    this.recentStartIndex = index;
    this.encodedTable = null;
    for (const watcher of this.watchers.values()) this.sendTable(watcher, state, index);
    this.disconnectSlow();
  }

  /** Adds a watcher and brings it up to date. */
  add(watcher: Watcher, fromIndex: number, state: ControlState, index: number): void {
    this.watchers.set(watcher.connection, watcher);
    const canCatchUp = fromIndex > 0 && fromIndex >= this.recentStartIndex;
    if (canCatchUp) this.sendRecent(watcher, fromIndex);
    else this.sendTable(watcher, state, index);
    this.disconnectSlow();
  }

  /** Removes the watcher of a connection, if any. */
  remove(connection: Connection): void {
    this.watchers.delete(connection);
    this.queues.remove(connection);
  }

  /** Sends every watcher a heartbeat: this replica is current, with the index of the latest change. */
  sendHeartbeat(): void {
    if (this.watchers.size === 0) return;
    const frame = encodeFrame({ kind: 'watch-alive', index: this.newestIndex });
    for (const { connection } of this.watchers.values()) this.queues.send(connection, frame);
    this.disconnectSlow();
  }

  /** Refuses further service to all watchers, so that they choose another replica. */
  dismissAll(reason: 'no-leader'): void {
    for (const { connection } of this.watchers.values()) {
      connection.send({ kind: 'watch-refused', reason });
      this.remove(connection);
    }
  }

  /** Records the index and revision that a watcher has put into effect. */
  acknowledge(connection: Connection, index: number, revision: number): void {
    const watcher = this.watchers.get(connection);
    if (watcher === undefined) return;
    watcher.index = Math.max(watcher.index, index);
    watcher.revision = Math.max(watcher.revision, revision);
  }

  /** Publishes the changes of one committed command. */
  publish(index: number, changes: readonly Change[]): void {
    if (changes.length === 0) return;
    const previousIndex = this.newestIndex;
    const bytes = valueBytes(changes) * COPIES;
    const published: PublishedChanges = { index, previousIndex, changes, bytes, frame: null };
    this.store(published);
    for (const watcher of this.watchers.values()) this.sendChanges(watcher, published);
    this.disconnectSlow();
  }

  /** Stores changes for watchers that reconnect. Changes that are larger than the limit are not stored: they get a table instead. */
  private store(published: PublishedChanges): void {
    this.recent.push(published);
    this.recentBytes += published.bytes;
    let dropped = 0;
    for (const { index, bytes } of this.recent) {
      const fits = this.recentBytes <= this.limits.retainedChangeBytes;
      if (fits && this.recent.length - dropped <= MAX_STORED_CHANGES) break;
      this.recentBytes -= bytes;
      this.recentStartIndex = index;
      dropped += 1;
    }
    if (dropped > 0) this.recent = this.recent.slice(dropped);
  }

  /** Disconnects watchers that take less than is published; they connect again and start from a table. */
  private disconnectSlow(): void {
    for (const connection of this.queues.removeSlow()) {
      this.watchers.delete(connection);
      connection.close('watcher is too slow');
    }
  }

  /** Index of the latest published change, or of the state if none was published since. */
  private get newestIndex(): number {
    return this.recent.at(-1)?.index ?? this.recentStartIndex;
  }

  private sendRecent(watcher: Watcher, afterIndex: number): void {
    for (const published of this.recent) {
      if (published.index > afterIndex) this.sendChanges(watcher, published);
    }
  }

  private sendChanges({ scope, connection }: Watcher, published: PublishedChanges): void {
    const { index, previousIndex, changes } = published;
    if (scope === null) {
      published.frame ??= encodeFrame({
        kind: 'changes',
        index,
        previousIndex,
        changes: encodeChanges(changes),
      });
      this.queues.send(connection, published.frame);
      return;
    }
    const inScope = changesInScope(changes, scope);
    if (inScope.length === 0) return;
    const notice = { kind: 'changes', index, previousIndex, changes: encodeChanges(inScope) };
    this.queues.send(connection, encodeFrame(notice));
  }

  private sendTable(watcher: Watcher, state: ControlState, index: number): void {
    if (watcher.scope !== null) {
      const table = tableInScope(state, watcher.scope);
      this.queues.send(watcher.connection, encodeFrame({ kind: 'table', index, table }));
      return;
    }
    const table = this.reusableTable(state, index);
    this.queues.send(watcher.connection, table.frame);
    this.sendRecent(watcher, table.index);
  }

  /**
   * Returns the whole table, encoded once for many daemons: daemons that join while the state keeps changing receive
   * a slightly older table and the changes since then.
   */
  private reusableTable(state: ControlState, index: number): EncodedTable {
    if (this.encodedTable !== null && this.isReusable(this.encodedTable)) return this.encodedTable;
    const table = encodeForWatchers(state);
    this.encodedTable = { index, frame: encodeFrame({ kind: 'table', index, table }) };
    this.tablesEncoded += 1;
    return this.encodedTable;
  }

  private isReusable(table: EncodedTable): boolean {
    const oldest = this.recent.at(-MAX_CHANGES_SINCE_TABLE);
    return table.index >= this.recentStartIndex && (oldest === undefined || table.index >= oldest.index);
  }
}

function tableInScope(state: ControlState, scope: WatchScope): StateSnapshot {
  const { revision, document } = state.configuration;
  const service = document.services[scope.service];
  const services = service === undefined ? {} : { [scope.service]: service };
  return {
    configuration: { revision, document: { version: 1, services } },
    submissions: [],
    sessions: [...state.sessions.values()].filter((session) => session.service === scope.service),
    draining: [...state.draining].filter((backend) => backend === scope.backend),
    shards: rowsInScope(state, scope),
  };
}

function rowsInScope(state: ControlState, scope: WatchScope): PackedRows[] {
  const shards = state.shards.get(scope.service);
  const inScope = (shards?.shardsInvolving(scope.backend) ?? []).flatMap((shard) => shards?.get(shard) ?? []);
  return [packRows(scope.service, inScope)];
}
