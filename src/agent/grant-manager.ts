/**
 * Synchronizes the grants at the back end with the table: installs new grants, revokes lost ones, and hands over
 * shards that are moving.
 */
import type { Grant } from '../backend-contract/grant-messages.js';
import type { DaemonRequest } from '../control/daemon-messages.js';
import type { WatchedTable } from '../control-client/watched-table.js';
import type { Runtime } from '../runtime/runtime.js';
import type { ShardRow } from '../model/shard.js';
import type { BackendPort } from './backend-port.js';
import type { HandoverReceiver } from './handover-receiver.js';
import type { HandoverSender } from './handover-sender.js';
import { toMonotonicDeadline, type LeaseHolder } from './lease-holder.js';

/** Interval between reports of a release that control has not yet acted on, in ms. */
const RELEASE_REPORT_INTERVAL_MS = 300;

/** Counters of grants and handovers. */
export interface GrantCounters {
  grantsInstalled: number;
  handoversDone: number;
  handoversRefused: number;
  /** Longest time from the stop of admission to the report of a release, in ms. */
  longestReleaseMs: number;
}

/** Dependencies on the agent. */
export interface GrantManagerPorts {
  readonly runtime: Runtime;
  readonly service: string;
  readonly backendName: string;
  readonly backend: BackendPort;
  readonly table: WatchedTable;
  readonly lease: LeaseHolder;
  readonly receiver: HandoverReceiver;
  readonly sender: HandoverSender;
  readonly send: (request: DaemonRequest) => void;
  /** Called when grants could not be installed: handed-over windows may be lost, so the session must be left. */
  readonly onInstallFailed: () => void;
}

/** Shard that was released for a move; it must not be granted again while that move is in progress. */
interface ReleasedShard {
  readonly moveId: number;
  readonly windowHandedOver: boolean;
  /** Time of the last report to control, in ms; infinite until the window has been sent. */
  reportedMs: number;
}

/** Grants of one back end. */
export class GrantManager {
  readonly counters: GrantCounters = {
    grantsInstalled: 0,
    handoversDone: 0,
    handoversRefused: 0,
    longestReleaseMs: 0,
  };
  private readonly granted = new Map<number, number>();
  private readonly handingOver = new Set<number>();
  private readonly released = new Map<number, ReleasedShard>();
  private drainSent = false;
  private syncing = false;
  private resyncRequested = false;
  private hasMoves = false;
  private syncFailed = false;

  constructor(private readonly ports: GrantManagerPorts) {}

  /** Currently granted shards with their epochs. */
  get grantedShards(): ReadonlyMap<number, number> {
    return this.granted;
  }

  /** Whether there is pending work that no table change will trigger. */
  get hasPendingWork(): boolean {
    return this.hasMoves || this.syncFailed || this.released.size > 0;
  }

  /** Resets the state after all grants at the back end have ended. */
  clear(): void {
    this.granted.clear();
    this.released.clear();
    this.ports.receiver.clear();
    this.drainSent = false;
  }

  /** Makes the grants match the table; a table change during synchronization causes another pass. */
  async sync(): Promise<void> {
    if (this.syncing) {
      this.resyncRequested = true;
      return;
    }
    this.syncing = true;
    do {
      this.resyncRequested = false;
      this.syncFailed = false;
      await this.syncDrain();
      await this.syncGrants();
    } while (this.resyncRequested);
    this.syncing = false;
  }

  /** Repeats the reports of releases that control has not acted on. */
  reportReleases(): void {
    const nowMs = this.ports.runtime.nowMs();
    for (const [shard, release] of this.released) {
      if (nowMs - release.reportedMs >= RELEASE_REPORT_INTERVAL_MS) this.reportRelease(shard, release);
    }
  }

  private async syncDrain(): Promise<void> {
    const { table, backend, backendName } = this.ports;
    const draining = table.draining.has(backendName);
    if (draining === this.drainSent) return;
    const sent = await backend.setDraining(draining);
    if (sent.ok) this.drainSent = draining;
    else this.syncFailed = true;
  }

  private async syncGrants(): Promise<void> {
    const rows = this.ownRows();
    this.discardSettledReleases(rows);
    const grantable = rows.filter((row) => !this.released.has(row.shard));
    const added = grantable.filter((row) => this.granted.get(row.shard) !== row.epoch);
    const owned = new Set(rows.map((row) => row.shard));
    const lost = [...this.granted.keys()].filter((shard) => !owned.has(shard));
    if (lost.length > 0) await this.revoke(lost);
    if (added.length > 0) await this.install(added);
    this.hasMoves = grantable.some((row) => row.movingTo !== null);
    for (const row of grantable) {
      if (row.movingTo !== null) void this.handOver(row, row.movingTo);
    }
  }

  private ownRows(): ShardRow[] {
    const { service, backendName, table, lease } = this.ports;
    return [...table.rowsOf(service)].filter((row) => {
      return row.owner === backendName && row.session === lease.session;
    });
  }

  private async revoke(shards: readonly number[]): Promise<void> {
    const revoked = await this.ports.backend.revoke(shards);
    if (revoked.err) {
      this.syncFailed = true;
      return;
    }
    for (const shard of shards) this.granted.delete(shard);
  }

  private async install(rows: readonly ShardRow[]): Promise<void> {
    const { service, backend, receiver, lease } = this.ports;
    const grants = rows.map((row): Grant => {
      const window = [...receiver.takeWindow(service, row.shard, row.epoch - 1)];
      return { shard: row.shard, epoch: row.epoch, freshAfterMs: row.freshAfterMs, window };
    });
    const deadlineMs = toMonotonicDeadline(this.ports.runtime, lease.deadlineMs);
    const installed = await backend.addGrants(deadlineMs, grants);
    if (installed.err) {
      // Whether the windows arrived is unknown; with a new session, control treats them as lost.
      this.ports.onInstallFailed();
      return;
    }
    for (const row of rows) this.granted.set(row.shard, row.epoch);
    this.counters.grantsInstalled += rows.length;
  }

  /** Discards releases whose shard control has moved or whose move it has cancelled. */
  private discardSettledReleases(rows: readonly ShardRow[]): void {
    const moveIds = new Map(rows.map((row) => [row.shard, row.moveId]));
    for (const [shard, { moveId }] of this.released) {
      if (moveIds.get(shard) !== moveId) this.released.delete(shard);
    }
  }

  private reportRelease(shard: number, release: ReleasedShard): void {
    const { session } = this.ports.lease;
    if (session === null) return;
    const { moveId, windowHandedOver } = release;
    const { service } = this.ports;
    release.reportedMs = this.ports.runtime.nowMs();
    this.ports.send({ kind: 'move-released', session, service, shard, moveId, windowHandedOver });
  }

  private async handOver(row: ShardRow, target: string): Promise<void> {
    if (this.handingOver.has(row.shard)) return;
    this.handingOver.add(row.shard);
    try {
      await this.handOverShard(row, target);
    } finally {
      this.handingOver.delete(row.shard);
    }
  }

  private async handOverShard(row: ShardRow, target: string): Promise<void> {
    const { service, table, sender, backend } = this.ports;
    const { shard, epoch, moveId } = row;
    const address = table.sessionOf(target)?.agentAddress;
    const handover = { service, shard, epoch, target };
    const prepared = address !== undefined && (await sender.prepare(address, handover));
    if (!prepared) {
      this.refuseMove(row);
      return;
    }
    const startedMs = this.ports.runtime.nowMs();
    const released = await backend.release(shard, epoch);
    this.granted.delete(shard);
    if (released.err) {
      // Refuse the move; the shard is granted again once control has cancelled it.
      this.refuseMove(row);
      return;
    }
    this.released.set(shard, { moveId, windowHandedOver: false, reportedMs: Infinity });
    const windowHandedOver = await sender.sendWindow(address, handover, released.val.window);
    const release = { moveId, windowHandedOver, reportedMs: 0 };
    this.released.set(shard, release);
    this.reportRelease(shard, release);
    this.counters.handoversDone += 1;
    this.counters.longestReleaseMs = Math.max(
      this.counters.longestReleaseMs,
      this.ports.runtime.nowMs() - startedMs,
    );
  }

  private refuseMove({ session, shard, moveId }: ShardRow): void {
    this.counters.handoversRefused += 1;
    this.ports.send({ kind: 'move-refused', session, service: this.ports.service, shard, moveId });
  }
}
