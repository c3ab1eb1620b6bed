/** A back end without requests: holds grants as a stand-in does, and counts a made-up load. */
import { randomUUID } from 'node:crypto';
import type { BackendCallError, BackendPort } from '../../src/agent/backend-port.js';
import type { Claim, Grant, HolderAnswer } from '../../src/backend-contract/grant-messages.js';
import { monotonicMs } from '../../src/runtime/clock.js';
import { Err, Ok, type Result } from '../../src/result.js';
import { GrantTable } from '../backend/grant-table.js';

const REPEAT_HORIZON_MS = 30_000;

/** How many times the usual load a hot shard gets. */
const HOT_FACTOR = 8;

const HTTP_CONFLICT = 409;

/** What the back end tells its host. */
export type OnGranted = (shards: readonly number[]) => void;

/** A hollow back end. */
export class HollowBackend implements BackendPort {
  private readonly instance = randomUUID();
  private readonly table = new GrantTable(monotonicMs, REPEAT_HORIZON_MS);
  private readonly granted = new Set<number>();
  private countedMs = monotonicMs();

  constructor(
    private readonly agent: string,
    private readonly requestsPerShard: number,
    private readonly hotShards: () => ReadonlySet<number>,
    private readonly onGranted: OnGranted,
  ) {}

  /** Shards that are granted now. */
  get grantedShards(): readonly number[] {
    return [...this.granted];
  }

  /** See `BackendPort`. */
  async takeHolder(): Promise<Result<HolderAnswer, BackendCallError>> {
    await this.table.takeHolder(this.agent);
    this.granted.clear();
    return Ok(this.answer());
  }

  /** See `BackendPort`. */
  extendLease(deadlineMs: number): Promise<Result<HolderAnswer, BackendCallError>> {
    this.table.extend(deadlineMs);
    return Promise.resolve(Ok(this.answer()));
  }

  /** See `BackendPort`. */
  addGrants(deadlineMs: number, grants: readonly Grant[]): Promise<Result<unknown, BackendCallError>> {
    this.table.extend(deadlineMs);
    this.table.add(grants);
    for (const { shard } of grants) this.granted.add(shard);
    this.onGranted(grants.map(({ shard }) => shard));
    return Promise.resolve(Ok(undefined));
  }

  /** See `BackendPort`. */
  revoke(shards: readonly number[]): Promise<Result<unknown, BackendCallError>> {
    this.table.revoke(shards);
    for (const shard of shards) this.granted.delete(shard);
    return Promise.resolve(Ok(undefined));
  }

  /** See `BackendPort`. */
  async release(shard: number, epoch: number): Promise<Result<{ window: Claim[] }, BackendCallError>> {
    const window = await this.table.release(shard, epoch);
    if (window === null) return Err({ kind: 'refused', status: HTTP_CONFLICT });
    this.granted.delete(shard);
    return Ok({ window: window.export() });
  }

  /** See `BackendPort`. */
  setDraining(): Promise<Result<unknown, BackendCallError>> {
    return Promise.resolve(Ok(undefined));
  }

  /** See `BackendPort`. */
  async close(): Promise<void> {
    await Promise.resolve();
  }

  private answer(): HolderAnswer {
    const nowMs = monotonicMs();
    const seconds = (nowMs - this.countedMs) / 1_000;
    this.countedMs = nowMs;
    const hot = this.hotShards();
    const load = [...this.granted].map((shard): [number, number] => {
      return [shard, this.requestsPerShard * seconds * (hot.has(shard) ? HOT_FACTOR : 1)];
    });
    return { instance: this.instance, load, inFlight: 0 };
  }
}
