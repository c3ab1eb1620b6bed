/**
 * Publishes committed changes to the daemons that watch this replica. Each change and the whole table are encoded
 * once for all unscoped watchers; a watcher of one back end receives only the rows that involve it.
 */
import { encodeFrame } from '../transport/frame-codec.js';
import { packRows, type PackedRows } from '../model/packed-rows.js';
import type { Connection } from '../runtime/runtime.js';
import type { Hello } from '../transport/hello.js';
import { changesInScope, type Change, type WatchScope } from './changes.js';
import type { ControlState } from './control-state.js';
import { encodeForWatchers, type StateSnapshot } from './state-snapshot.js';
import { encodeChanges } from './wire-changes.js';

/** Maximum number of published changes stored for watchers that reconnect. */
const MAX_STORED_CHANGES = 4_096;

/** Number of changes since an encoded table after which a new table is encoded instead of sending the old one with them. */
const MAX_CHANGES_SINCE_TABLE = 512;

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
  /** The changes as a frame for unscoped watchers; encoded on first use. */
  frame: Buffer | null;
}

interface EncodedTable {
  readonly index: number;
  readonly frame: Buffer;
}

/** Watchers of one replica. */
export class WatchHub {
  /** Number of tables encoded for unscoped watchers. */
  tablesEncoded = 0;
  private readonly watchers = new Map<Connection, Watcher>();
  private recent: PublishedChanges[] = [];
  /** All changes after this index are in `recent`. */
  private recentStartIndex = 0;
  private encodedTable: EncodedTable | null = null;

  /** Returns the current watchers. */
  list(): readonly Watcher[] {
    return [...this.watchers.values()];
  }

  /** Resets the hub after the whole state was replaced, and sends the table to all watchers. */
  reset(state: ControlState, index: number): void {
    this.recent = [];
    this.recentStartIndex = index;
    this.encodedTable = null;
    for (const watcher of this.watchers.values()) this.sendTable(watcher, state, index);
  }

  /** Adds a watcher and brings it up to date. */
  add(watcher: Watcher, fromIndex: number, state: ControlState, index: number): void {
    this.watchers.set(watcher.connection, watcher);
    const canCatchUp = fromIndex > 0 && fromIndex >= this.recentStartIndex;
    if (!canCatchUp) {
      this.sendTable(watcher, state, index);
      return;
    }
    this.sendRecent(watcher, fromIndex);
  }

  /** Removes the watcher of a connection, if any. */
  remove(connection: Connection): void {
    this.watchers.delete(connection);
  }

  /** Sends every watcher a heartbeat: this replica is current, with the index of the latest change. */
  sendHeartbeat(): void {
    if (this.watchers.size === 0) return;
    const frame = encodeFrame({ kind: 'watch-alive', index: this.newestIndex });
    for (const { connection } of this.watchers.values()) connection.sendEncoded(frame);
  }

  /** Refuses further service to all watchers, so that they choose another replica. */
  dismissAll(reason: 'no-leader'): void {
    for (const { connection } of this.watchers.values()) {
      connection.send({ kind: 'watch-refused', reason });
    }
    this.watchers.clear();
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
    const published: PublishedChanges = { index, previousIndex, changes, frame: null };
    this.recent.push(published);
    if (this.recent.length > MAX_STORED_CHANGES) this.recentStartIndex = this.recent.shift()?.index ?? index;
    for (const watcher of this.watchers.values()) sendChanges(watcher, published);
  }

  /** Index of the latest published change, or of the state if none was published since. */
  private get newestIndex(): number {
    return this.recent.at(-1)?.index ?? this.recentStartIndex;
  }

  private sendRecent(watcher: Watcher, afterIndex: number): void {
    for (const published of this.recent) {
      if (published.index > afterIndex) sendChanges(watcher, published);
    }
  }

  private sendTable(watcher: Watcher, state: ControlState, index: number): void {
    if (watcher.scope !== null) {
      watcher.connection.send({ kind: 'table', index, table: tableInScope(state, watcher.scope) });
      return;
    }
    const table = this.reusableTable(state, index);
    watcher.connection.sendEncoded(table.frame);
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

function sendChanges(watcher: Watcher, published: PublishedChanges): void {
  const { index, previousIndex, changes } = published;
  if (watcher.scope === null) {
    published.frame ??= encodeFrame({
      kind: 'changes',
      index,
      previousIndex,
      changes: encodeChanges(changes),
    });
    watcher.connection.sendEncoded(published.frame);
    return;
  }
  const scopedChanges = changesInScope(changes, watcher.scope);
  if (scopedChanges.length === 0) return;
  watcher.connection.send({ kind: 'changes', index, previousIndex, changes: encodeChanges(scopedChanges) });
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
