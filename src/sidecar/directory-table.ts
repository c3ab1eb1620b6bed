/** A daemon's copy of the directory: what it routes by. Its index never goes back during a life of the daemon. */
import type { DirectoryChange } from '../directory/directory-commands.js';
import {
  emptyDirectoryState,
  decodeDirectory,
  itemKey,
  serviceDefinition,
  type BackendInstance,
  type DirectorySnapshot,
  type DirectoryState,
  type KeyRange,
  type LimitsDefinition,
  type ServiceDefinition,
} from '../directory/directory-state.js';
import { overlayRanges } from '../directory/key-ranges.js';
import { QuarantineView } from '../quarantine/quarantine-view.js';
import { RouteTable } from './route-table.js';

/** Limits that hold while the configuration names none. */
const DEFAULT_LIMITS: LimitsDefinition = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** The copy. */
export class DirectoryTable {
  /** Newest index that is in force here; 0 before the first table. */
  index = 0;
  /** Index up to which every change is held here, also where there was none. */
  heldIndex = 0;
  /** Whether the newest news was a change, and not a whole table. */
  isPatched = false;
  /** Requests under which back ends have ended. */
  readonly quarantine = new QuarantineView();
  private state: DirectoryState = emptyDirectoryState();
  private routeTable = new RouteTable([]);
  private byService = new Map<string, readonly BackendInstance[]>();

  /** Whether a configuration is in force. */
  get configured(): boolean {
    return this.state.configured;
  }

  /** Routes in force. */
  get routes(): RouteTable {
    return this.routeTable;
  }

  /** Limits in force. */
  get limits(): LimitsDefinition {
    for (const item of this.state.items.values()) {
      if (item.kind === 'limits' && item.definition !== null) return item.definition;
    }
    return DEFAULT_LIMITS;
  }

  /** Definition of a service, or null. */
  service(name: string): ServiceDefinition | null {
    return serviceDefinition(this.state.items, name);
  }

  /** Whether the back ends of a zone are to be sent nothing. */
  isEvacuated(zone: string): boolean {
    return this.state.evacuatedZones.has(zone);
  }

  /** Registered back ends of a service that may be sent requests. */
  instancesOf(service: string): readonly BackendInstance[] {
    return this.byService.get(service) ?? [];
  }

  /** Versions of the software of a service's back ends. */
  versionsOf(service: string): ReadonlySet<string> {
    return new Set(this.instancesOf(service).map(({ version }) => version));
  }

  /** One registered back end. */
  instance(id: string): BackendInstance | undefined {
    return this.state.instances.get(id);
  }

  /** All registered back ends. */
  instances(): IterableIterator<BackendInstance> {
    return this.state.instances.values();
  }

  /** A life other than `id` that is registered at a daemon, null for none; undefined while no table has come. */
  otherLife(id: string, daemonAddress: string): string | null | undefined {
    if (this.index === 0) return undefined;
    for (const known of this.instances()) {
      if (known.daemonAddress === daemonAddress && known.id !== id) return known.id;
    }
    return null;
  }

  /** Ranges of a keyed service, in the order of keys. */
  rangesOf(service: string): readonly KeyRange[] {
    return this.state.ranges.get(service) ?? [];
  }

  /** Takes a whole table; false when it is older than what is in force. */
  replace(index: number, table: DirectorySnapshot): boolean {
    if (index < this.index) return false;
    this.index = index;
    this.noteHeld(index);
    this.isPatched = false;
    this.state = decodeDirectory(table);
    this.quarantine.replace(this.state.crashRecords.values());
    this.rebuildRoutes();
    this.rebuildInstances();
    return true;
  }

  /** Takes changes; false when they are older than what is in force. */
  apply(index: number, changes: readonly DirectoryChange[]): boolean {
    if (index <= this.index) return false;
    this.index = index;
    this.noteHeld(index);
    this.isPatched = true;
    for (const change of changes) this.applyChange(change);
    return true;
  }

  /** A replica has sent everything up to an index. */
  noteHeld(index: number): void {
    this.heldIndex = Math.max(this.heldIndex, index);
  }

  private applyChange(change: DirectoryChange): void {
    switch (change.kind) {
      case 'items':
        for (const item of change.items) this.state.items.set(itemKey(item.kind, item.name), item);
        this.state.configured = true;
        this.rebuildRoutes();
        break;
      case 'instance':
        this.state.instances.set(change.instance.id, change.instance);
        this.rebuildInstances();
        break;
      case 'instance-gone':
        this.state.instances.delete(change.id);
        this.rebuildInstances();
        break;
      case 'evacuation':
        if (change.evacuated) this.state.evacuatedZones.add(change.zone);
        else this.state.evacuatedZones.delete(change.zone);
        this.rebuildInstances();
        break;
      case 'crash-records':
        this.quarantine.apply(change.changed, change.removed);
        break;
      case 'ranges':
        this.state.ranges.set(change.service, overlayRanges(this.rangesOf(change.service), change.ranges));
        break;
    }
  }

  private rebuildRoutes(): void {
    this.routeTable = new RouteTable(this.state.items.values(), this.routeTable);
  }

  private rebuildInstances(): void {
    const byService = new Map<string, BackendInstance[]>();
    for (const instance of this.state.instances.values()) {
      if (this.isEvacuated(instance.zone)) continue;
      const known = byService.get(instance.service) ?? [];
      byService.set(instance.service, known);
      known.push(instance);
    }
    this.byService = byService;
  }
}
