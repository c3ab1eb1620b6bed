/** A daemon's copy of the published state. Its index and revision never go back. */
import type { ServiceConfiguration } from '../config/configuration.js';
import type { Change, ConfigurationChange, ShardChange } from '../control/changes.js';
import type { Session } from '../control/control-state.js';
import { decodeRows, type StateSnapshot } from '../control/state-snapshot.js';
import type { ShardRow } from '../model/shard.js';

/** The published state as far as this daemon has it. */
export class WatchedTable {
  readonly services = new Map<string, ServiceConfiguration>();
  readonly draining = new Set<string>();
  readonly sessions = new Map<number, Session>();
  private readonly rows = new Map<string, Map<number, ShardRow>>();
  private currentIndex = 0;
  private currentRevision = 0;

  /** Index of the newest change that is in here; 0 before the first table. */
  get index(): number {
    return this.currentIndex;
  }

  /** Revision of the configuration that is in here. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Row of one shard. */
  row(service: string, shard: number): ShardRow | undefined {
    return this.rows.get(service)?.get(shard);
  }

  /** All rows of a service that this daemon was told of. */
  rowsOf(service: string): IterableIterator<ShardRow> {
    return (this.rows.get(service) ?? new Map<number, ShardRow>()).values();
  }

  /** The open session of a back end. */
  sessionOf(backend: string): Session | undefined {
    for (const session of this.sessions.values()) {
      if (session.backend === backend) return session;
    }
    return undefined;
  }

  /** Takes a whole table; returns false when it is older than this one. */
  replace(index: number, table: StateSnapshot): boolean {
    if (index < this.currentIndex) return false;
    this.currentIndex = index;
    this.currentRevision = table.configuration.revision;
    this.services.clear();
    for (const [name, service] of Object.entries(table.configuration.document.services)) {
      this.services.set(name, service);
    }
    this.sessions.clear();
    for (const session of table.sessions) this.sessions.set(session.id, session);
    this.draining.clear();
    for (const backend of table.draining) this.draining.add(backend);
    this.rows.clear();
    for (const columns of table.shards) {
      this.rows.set(columns.service, new Map(decodeRows(columns).map((row) => [row.shard, row])));
    }
    return true;
  }

  /** Takes the changes of one index; returns false when they are in here already. */
  apply(index: number, changes: readonly Change[]): boolean {
    if (index <= this.currentIndex) return false;
    this.currentIndex = index;
    for (const change of changes) this.applyOne(change);
    return true;
  }

  private applyOne(change: Change): void {
    switch (change.kind) {
      case 'configuration':
        this.applyConfiguration(change);
        break;
      case 'session-opened':
        this.sessions.set(change.session.id, change.session);
        break;
      case 'session-closed':
        this.sessions.delete(change.session);
        break;
      case 'drain':
        if (change.draining) this.draining.add(change.backend);
        else this.draining.delete(change.backend);
        break;
      case 'shards':
        this.applyShards(change.service, change.shards);
        break;
    }
  }

  private applyConfiguration(change: ConfigurationChange): void {
    this.currentRevision = change.revision;
    for (const [name, service] of Object.entries(change.services)) this.services.set(name, service);
    for (const name of change.removed) this.services.delete(name);
  }

  private applyShards(service: string, shards: readonly ShardChange[]): void {
    const known = this.rows.get(service) ?? new Map<number, ShardRow>();
    this.rows.set(service, known);
    for (const { row } of shards) known.set(row.shard, row);
  }
}
