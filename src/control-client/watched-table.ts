/** Copy of the published state in a daemon. Its index and revision never decrease. */
import type { ServiceConfiguration } from '../config/configuration.js';
import type { ConfigurationChange } from '../control/changes.js';
import type { Session } from '../control/control-state.js';
import type { StateSnapshot } from '../control/state-snapshot.js';
import type { WireChange } from '../control/wire-changes.js';
import { QuarantineView } from '../quarantine/quarantine-view.js';
import type { PackedRows } from '../model/packed-rows.js';
import { ScopedRows } from '../model/scoped-rows.js';
import { ShardTable } from '../model/shard-table.js';
import type { ShardRow } from '../model/shard.js';

/** Published state as received by this daemon. */
export class WatchedTable {
  readonly services = new Map<string, ServiceConfiguration>();
  readonly draining = new Set<string>();
  /** Crash records and quarantine status of requests. */
  readonly quarantine = new QuarantineView();
  readonly sessions = new Map<number, Session>();
  private readonly sessionsByBackend = new Map<string, Session>();
  private readonly shards = new Map<string, ShardTable | ScopedRows>();
  private currentIndex = 0;
  private currentRevision = 0;

  /** `backend` limits the table to the state of one back end; null for the whole state. */
  constructor(private readonly backend: string | null = null) {}

  /** Index of the latest applied change; 0 before the first table. */
  get index(): number {
    return this.currentIndex;
  }

  /** Revision of the current configuration. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Returns the row of a shard; undefined if this daemon has received none, that is, no known owner yet. */
  row(service: string, shard: number): ShardRow | undefined {
    return this.shards.get(service)?.get(shard);
  }

  /** Returns all rows of a service that this daemon has received. */
  rowsOf(service: string): IterableIterator<ShardRow> {
    return (this.shards.get(service) ?? this.createRows()).rows();
  }

  /** Returns the open session of a back end. */
  sessionOf(backend: string): Session | undefined {
    return this.sessionsByBackend.get(backend);
  }

  /** Replaces the whole table; returns false if the new one is older than the current one. */
  replace(index: number, table: StateSnapshot): boolean {
    if (index < this.currentIndex) return false;
    this.currentIndex = index;
    this.currentRevision = table.configuration.revision;
    this.services.clear();
    for (const [name, service] of Object.entries(table.configuration.document.services)) {
      this.services.set(name, service);
    }
    this.quarantine.replace(table.crashRecords ?? []);
    this.sessions.clear();
    this.sessionsByBackend.clear();
    for (const session of table.sessions) this.openSession(session);
    this.draining.clear();
    for (const backend of table.draining) this.draining.add(backend);
    this.shards.clear();
    for (const packed of table.shards) this.setRows(packed);
    return true;
  }

  /** Applies the changes of one index; returns false if they are already applied. */
  apply(index: number, changes: readonly WireChange[]): boolean {
    if (index <= this.currentIndex) return false;
    this.currentIndex = index;
    for (const change of changes) this.applyChange(change);
    return true;
  }

  private applyChange(change: WireChange): void {
    switch (change.kind) {
      case 'configuration':
        this.applyConfiguration(change);
        break;
      case 'session-opened':
        this.openSession(change.session);
        break;
      case 'session-closed':
        this.closeSession(change.session);
        break;
      case 'drain':
        if (change.draining) this.draining.add(change.backend);
        else this.draining.delete(change.backend);
        break;
      case 'crash-records':
        this.quarantine.apply(change.changed, change.removed);
        break;
      case 'shards':
        this.setRows(change.rows);
        break;
    }
  }

  private applyConfiguration(change: ConfigurationChange): void {
    this.currentRevision = change.revision;
    for (const [name, service] of Object.entries(change.services)) this.services.set(name, service);
    for (const name of change.removed) this.services.delete(name);
  }

  private openSession(session: Session): void {
    this.sessions.set(session.id, session);
    this.sessionsByBackend.set(session.backend, session);
  }

  private closeSession(id: number): void {
    const session = this.sessions.get(id);
    this.sessions.delete(id);
    if (session !== undefined && this.sessionsByBackend.get(session.backend)?.id === id) {
      this.sessionsByBackend.delete(session.backend);
    }
  }

  private setRows(packed: PackedRows): void {
    const table = this.shards.get(packed.service) ?? this.createRows();
    this.shards.set(packed.service, table);
    table.setPacked(packed);
  }

  private createRows(): ShardTable | ScopedRows {
    return this.backend === null ? new ShardTable() : new ScopedRows(this.backend);
  }
}
