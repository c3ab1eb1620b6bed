/**
 * Keeps the grants at the back end as the table says: installs new ones, ends lost ones, and hands over
 * the shards that are to move.
 */
import type { Grant } from '../backend-contract/grant-messages.js';
import type { DaemonRequest } from '../control/daemon-messages.js';
import type { WatchedTable } from '../control-client/watched-table.js';
import type { Runtime } from '../runtime/runtime.js';
import type { ShardRow } from '../model/shard.js';
import type { BackendPort } from './backend-port.js';
import type { HandoverReceiver } from './handover-receiver.js';
import type { HandoverSender } from './handover-sender.js';
import { steadyDeadline, type LeaseHolder } from './lease-holder.js';

/** Pause between reports of a release that control has not acted on, in ms. */
const RELEASE_REPORT_MS = 300;

/** Counters of grants and handovers. */
export interface GrantCounters {
  grantsInstalled: number;
  handoversDone: number;
  handoversRefused: number;
  /** Longest time in ms from the stop of admission to the report of release. */
  longestReleaseMs: number;
}

/** What the keeper needs of its agent. */
export interface GrantKeeperPorts {
  readonly runtime: Runtime;
  readonly service: string;
  readonly backendName: string;
  readonly backend: BackendPort;
  readonly table: WatchedTable;
  readonly lease: LeaseHolder;
  readonly receiver: HandoverReceiver;
  readonly sender: HandoverSender;
  readonly send: (request: DaemonRequest) => void;
  /** The windows that came with shards may have been lost, so the session must be given up. */
  readonly onInstallFailed: () => void;
}

/** A shard that was released for a move; it must not be granted again while that move stands. */
interface ReleasedShard {
  readonly moveId: number;
  readonly windowHandedOver: boolean;
  /** When control was last told, in ms; infinite until the window has been sent. */
  reportedMs: number;
}

/** Grants of one back end. */
export class GrantKeeper {
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
  private syncAgain = false;
  private hasMoves = false;
  private hasFailed = false;

  constructor(private readonly ports: GrantKeeperPorts) {}

  /** Shards that are granted at present. */
  get grantedShards(): ReadonlyMap<number, number> {
    return this.granted;
  }

  /** Whether something is still to be done that no change of the table will announce. */
  get unsettled(): boolean {
    return this.hasMoves || this.hasFailed || this.released.size > 0;
  }

  /** The back end holds no grants any more. */
  clear(): void {
    this.granted.clear();
    this.released.clear();
    this.ports.receiver.clear();
    this.drainSent = false;
  }

  /** Makes the grants match the table; a change during this is taken up at its end. */
  async sync(): Promise<void> {
    if (this.syncing) {
      this.syncAgain = true;
      return;
    }
    this.syncing = true;
    do {
      this.syncAgain = false;
      this.hasFailed = false;
      await this.syncDrain();
      await this.syncGrants();
    } while (this.syncAgain);
    this.syncing = false;
  }

  /** Tells control again of releases that it has not acted on. */
  reportReleases(): void {
    const nowMs = this.ports.runtime.nowMs();
    for (const [shard, release] of this.released) {
      if (nowMs - release.reportedMs >= RELEASE_REPORT_MS) this.reportRelease(shard, release);
    }
  }

  private async syncDrain(): Promise<void> {
    const { table, backend, backendName } = this.ports;
    const draining = table.draining.has(backendName);
    if (draining === this.drainSent) return;
    const sent = await backend.setDraining(draining);
    if (sent.ok) this.drainSent = draining;
    else this.hasFailed = true;
  }

  private async syncGrants(): Promise<void> {
    const rows = this.ownRows();
    this.forgetSettledReleases(rows);
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
      this.hasFailed = true;
      return;
    }
    for (const shard of shards) this.granted.delete(shard);
  }

  private async install(rows: readonly ShardRow[]): Promise<void> {
    const { service, backend, receiver, lease } = this.ports;
    const grants = rows.map((row): Grant => {
      const window = [...receiver.take(service, row.shard, row.epoch - 1)];
      return { shard: row.shard, epoch: row.epoch, freshAfterMs: row.freshAfterMs, window };
    });
    const deadlineMs = steadyDeadline(this.ports.runtime, lease.deadlineMs);
    const installed = await backend.addGrants(deadlineMs, grants);
    if (installed.err) {
      // The windows may or may not have arrived; a new session makes control count them as lost.
      this.ports.onInstallFailed();
      return;
    }
    for (const row of rows) this.granted.set(row.shard, row.epoch);
    this.counters.grantsInstalled += rows.length;
  }

  /** A release stands until control has moved the shard or called the move off. */
  private forgetSettledReleases(rows: readonly ShardRow[]): void {
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
      // The move is called off; the shard is granted again once control has said so.
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
