/** A daemon's copy of the directory state, used for routing. Its index never decreases within a process lifetime. */
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

/** Limits in force unless the configuration specifies them. */
const DEFAULT_LIMITS: LimitsDefinition = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** Local copy of the directory state. */
export class DirectoryTable {
  /** Index of the newest table or change applied; 0 before the first table. */
  index = 0;
  /** Index up to which all changes are known to be applied, including indexes without a change to the table. */
  heldIndex = 0;
  /** Whether the last update was a change rather than a whole table. */
  lastUpdateWasIncremental = false;
  /** Records of requests during which back ends crashed. */
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

  /** Returns the definition of a service; null if it has none. */
  service(name: string): ServiceDefinition | null {
    return serviceDefinition(this.state.items, name);
  }

  /** Whether a zone is evacuated, so that its back ends must not receive requests. */
  isEvacuated(zone: string): boolean {
    return this.state.evacuatedZones.has(zone);
  }

  /** Returns the registered back ends of a service outside evacuated zones. */
  instancesOf(service: string): readonly BackendInstance[] {
    return this.byService.get(service) ?? [];
  }

  /** Returns the software versions of a service's back ends. */
  versionsOf(service: string): ReadonlySet<string> {
    return new Set(this.instancesOf(service).map(({ version }) => version));
  }

  /** Returns a registered back end. */
  instance(id: string): BackendInstance | undefined {
    return this.state.instances.get(id);
  }

  /** Returns all registered back ends. */
  instances(): IterableIterator<BackendInstance> {
    return this.state.instances.values();
  }

  /**
   * Returns an incarnation other than `id` that is registered at a daemon, or any if `id` is null: null if there is none,
   * undefined before the first table.
   */
  otherIncarnation(id: string | null, daemonAddress: string): string | null | undefined {
    if (this.index === 0) return undefined;
    for (const instance of this.instances()) {
      if (instance.daemonAddress === daemonAddress && instance.id !== id) return instance.id;
    }
    return null;
  }

  /** Returns the incarnation that is registered at a daemon; null if there is none, or before the first table. */
  registeredAt(daemonAddress: string): string | null {
    return this.otherIncarnation(null, daemonAddress) ?? null;
  }

  /** Returns the ranges of a keyed service in key order. */
  rangesOf(service: string): readonly KeyRange[] {
    return this.state.ranges.get(service) ?? [];
  }

  /** Replaces the state by a whole table; returns false if it is older than the state in force. */
  replace(index: number, snapshot: DirectorySnapshot): boolean {
    if (index < this.index) return false;
    this.index = index;
    this.recordHeldIndex(index);
    this.lastUpdateWasIncremental = false;
    this.state = decodeDirectory(snapshot);
    this.quarantine.replace(this.state.crashRecords.values());
    this.rebuildRoutes();
    this.rebuildInstances();
    return true;
  }

  /** Applies changes; returns false if they are not newer than the state in force. */
  apply(index: number, changes: readonly DirectoryChange[]): boolean {
    if (index <= this.index) return false;
    this.index = index;
    this.recordHeldIndex(index);
    this.lastUpdateWasIncremental = true;
    for (const change of changes) this.applyChange(change);
    return true;
  }

  /** Records that a replica has sent all changes up to an index. */
  recordHeldIndex(index: number): void {
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
      const group = byService.get(instance.service) ?? [];
      byService.set(instance.service, group);
      group.push(instance);
    }
    this.byService = byService;
  }
}
