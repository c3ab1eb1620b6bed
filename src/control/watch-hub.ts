/**
 * Publishes committed changes to the daemons that watch this replica. Each change is encoded once for all
 * watchers of everything, and so is the whole table; a watcher of one back end gets only the rows that
 * concern it.
 */
import { encodeFrame } from '../transport/frame-codec.js';
import { packRows, type PackedRows } from '../model/packed-rows.js';
import type { Connection } from '../runtime/runtime.js';
import type { Hello } from '../transport/hello.js';
import { changesInScope, type Change, type WatchScope } from './changes.js';
import type { ControlState } from './control-state.js';
import { encodeForWatchers, type StateSnapshot } from './state-snapshot.js';
import { encodeChanges } from './wire-changes.js';

/** Published changes that are kept for watchers that come back. */
const KEPT_CHANGES = 4_096;

/** Changes after which an encoded table is made anew, rather than sent with the changes since. */
const CHANGES_ON_TOP_OF_TABLE = 512;

/** A daemon that watches this replica. */
export interface Watcher {
  readonly hello: Hello;
  readonly connection: Connection;
  /** What the daemon is told of; null for everything. */
  readonly scope: WatchScope | null;
  /** Newest index that the daemon says it has put in force. */
  index: number;
  /** Configuration revision that the daemon says it has put in force. */
  revision: number;
}

interface Published {
  readonly index: number;
  readonly previousIndex: number;
  readonly changes: readonly Change[];
  /** The changes as a frame for watchers of everything; made when it is first needed. */
  frame: Buffer | null;
}

interface EncodedTable {
  readonly index: number;
  readonly frame: Buffer;
}

/** The watchers of one replica. */
export class WatchHub {
  /** Whole tables that were encoded for watchers of everything. */
  tablesEncoded = 0;
  private readonly watchers = new Map<Connection, Watcher>();
  private recent: Published[] = [];
  /** Changes after this index are all in `recent`. */
  private recentSince = 0;
  private encodedTable: EncodedTable | null = null;

  /** All watchers at present. */
  list(): readonly Watcher[] {
    return [...this.watchers.values()];
  }

  /** Starts anew after the state was replaced as a whole; watchers must be sent the table. */
  reset(state: ControlState, index: number): void {
    this.recent = [];
    this.recentSince = index;
    this.encodedTable = null;
    for (const watcher of this.watchers.values()) this.sendTable(watcher, state, index);
  }

  /** Adds a watcher and brings it up to date. */
  add(watcher: Watcher, fromIndex: number, state: ControlState, index: number): void {
    this.watchers.set(watcher.connection, watcher);
    const canCatchUp = fromIndex > 0 && fromIndex >= this.recentSince;
    if (!canCatchUp) {
      this.sendTable(watcher, state, index);
      return;
    }
    this.sendRecent(watcher, fromIndex);
  }

  /** A connection has closed or no longer watches. */
  remove(connection: Connection): void {
    this.watchers.delete(connection);
  }

  /** Tells every watcher that this replica is current, and what it should have by now. */
  sendAlive(): void {
    if (this.watchers.size === 0) return;
    const frame = encodeFrame({ kind: 'watch-alive', index: this.newestIndex });
    for (const { connection } of this.watchers.values()) connection.sendEncoded(frame);
  }

  /** Tells every watcher to go elsewhere. */
  dismissAll(reason: 'no-leader'): void {
    for (const { connection } of this.watchers.values()) {
      connection.send({ kind: 'watch-refused', reason });
    }
    this.watchers.clear();
  }

  /** Records what a watcher has put in force. */
  acknowledge(connection: Connection, index: number, revision: number): void {
    const watcher = this.watchers.get(connection);
    if (watcher === undefined) return;
    watcher.index = Math.max(watcher.index, index);
    watcher.revision = Math.max(watcher.revision, revision);
  }

  /** Publishes what one committed command changed. */
  publish(index: number, changes: readonly Change[]): void {
    if (changes.length === 0) return;
    const previousIndex = this.newestIndex;
    const published: Published = { index, previousIndex, changes, frame: null };
    this.recent.push(published);
    if (this.recent.length > KEPT_CHANGES) this.recentSince = this.recent.shift()?.index ?? index;
    for (const watcher of this.watchers.values()) sendChanges(watcher, published);
  }

  /** Index of the newest change that was published, or of the state that the changes build on. */
  private get newestIndex(): number {
    return this.recent.at(-1)?.index ?? this.recentSince;
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
    const table = this.recentTable(state, index);
    watcher.connection.sendEncoded(table.frame);
    this.sendRecent(watcher, table.index);
  }

  /**
   * The whole table, encoded for many daemons at once: those that come while the state changes all the time get
   * a table that is a little older, and the changes since.
   */
  private recentTable(state: ControlState, index: number): EncodedTable {
    if (this.encodedTable !== null && this.isRecent(this.encodedTable)) return this.encodedTable;
    const table = encodeForWatchers(state);
    this.encodedTable = { index, frame: encodeFrame({ kind: 'table', index, table }) };
    this.tablesEncoded += 1;
    return this.encodedTable;
  }

  private isRecent(table: EncodedTable): boolean {
    const oldest = this.recent.at(-CHANGES_ON_TOP_OF_TABLE);
    return table.index >= this.recentSince && (oldest === undefined || table.index >= oldest.index);
  }
}

function sendChanges(watcher: Watcher, published: Published): void {
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
  const concerned = changesInScope(changes, watcher.scope);
  if (concerned.length === 0) return;
  watcher.connection.send({ kind: 'changes', index, previousIndex, changes: encodeChanges(concerned) });
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
  const inScope = (shards?.concerning(scope.backend) ?? []).flatMap((shard) => shards?.get(shard) ?? []);
  return [packRows(scope.service, inScope)];
}
