/** Fence of a test back end: which shards it may serve, under which epoch, and until which deadline. */
import type { Grant, RefusalCode } from '../../src/backend-contract/grant-messages.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { ClaimWindow } from './claim-window.js';

interface GrantedShard {
  readonly epoch: number;
  readonly window: ClaimWindow;
  releasing: boolean;
  running: number;
  /** Called when `running` falls to 0. */
  readonly idleWaiters: (() => void)[];
}

/** Admission of a request; `end` must be called once. */
export interface Admission {
  readonly window: ClaimWindow;
  /** Whether the grant still holds; must be checked in the same turn of the event loop as the change of state. */
  stillValid(): boolean;
  end(): void;
}

/** Clocks of a back end, as `Runtime` provides them to daemons. */
export type BackendClocks = Pick<Runtime, 'nowMs' | 'steadyMs'>;

/**
 * Grants of one back end. Deadlines are received as readings of the host's steady clock, but expire by a clock that
 * also counts the time during which the host was suspended.
 */
export class GrantTable {
  private readonly shards = new Map<number, GrantedShard>();
  private holder: string | null = null;
  private deadlineMs = 0;

  constructor(
    private readonly clocks: BackendClocks,
    private readonly repeatHorizonMs: number,
  ) {}

  /** Makes `agent` the holder, ends all grants, and waits for the requests in flight. */
  async takeHolder(agent: string): Promise<void> {
    this.holder = agent;
    this.deadlineMs = 0;
    const endedGrants = [...this.shards.values()];
    this.shards.clear();
    await Promise.all(endedGrants.map((shard) => waitUntilIdle(shard)));
  }

  /** Whether `agent` is the holder. */
  isHolder(agent: string): boolean {
    return agent === this.holder;
  }

  /** Extends the lease of all grants; the deadline never moves backwards. */
  extend(steadyDeadlineMs: number): void {
    const suspendedMs = this.clocks.nowMs() - this.clocks.steadyMs();
    this.deadlineMs = Math.max(this.deadlineMs, steadyDeadlineMs + suspendedMs);
  }

  /**
   * Adds grants. A shard that is already granted under the same epoch admits requests again and keeps its claims; a
   * grant under an older epoch is ignored.
   */
  add(grants: readonly Grant[]): void {
    for (const { shard, epoch, freshAfterMs, window } of grants) {
      const existing = this.shards.get(shard);
      if (existing !== undefined && existing.epoch > epoch) continue;
      if (existing?.epoch === epoch) {
        existing.releasing = false;
        continue;
      }
      const claims = new ClaimWindow(window, freshAfterMs, this.repeatHorizonMs);
      this.shards.set(shard, { epoch, window: claims, releasing: false, running: 0, idleWaiters: [] });
    }
  }

  /** Ends the grants of `shards` at once. */
  revoke(shards: readonly number[]): void {
    for (const shard of shards) this.shards.delete(shard);
  }

  /**
   * Stops admitting requests to a shard and waits for those in flight; returns null when the shard is not granted
   * under `epoch`.
   */
  async release(shard: number, epoch: number): Promise<ClaimWindow | null> {
    const granted = this.shards.get(shard);
    if (granted?.epoch !== epoch) return null;
    granted.releasing = true;
    await waitUntilIdle(granted);
    return granted.window;
  }

  /** Returns the epoch under which a shard is granted, whether or not the lease has expired; null without a grant. */
  epochOf(shard: number): number | null {
    return this.shards.get(shard)?.epoch ?? null;
  }

  /** Returns the shards for which a request would be admitted now. */
  servableShards(): number[] {
    if (this.clocks.nowMs() >= this.deadlineMs) return [];
    return [...this.shards].filter(([, { releasing }]) => !releasing).map(([shard]) => shard);
  }

  /** Admits a request, or returns the code of the refusal. */
  admit(shard: number, epoch: number): Admission | RefusalCode {
    const granted = this.shards.get(shard);
    if (granted?.epoch !== epoch) return 'not-owner';
    if (this.clocks.nowMs() >= this.deadlineMs) return 'lease-expired';
    if (granted.releasing) return 'releasing';
    granted.running += 1;
    return {
      window: granted.window,
      stillValid: () => this.shards.get(shard) === granted && this.clocks.nowMs() < this.deadlineMs,
      end: () => {
        granted.running -= 1;
        if (granted.running === 0) for (const resolve of granted.idleWaiters.splice(0)) resolve();
      },
    };
  }
}

async function waitUntilIdle(shard: GrantedShard): Promise<void> {
  if (shard.running === 0) return;
  await new Promise<void>((resolve) => shard.idleWaiters.push(resolve));
}
