/** The fence of a stand-in back end: which shards it may serve, under which epoch, and until when. */
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

/** A request that was admitted; it must be ended. */
export interface Admission {
  readonly window: ClaimWindow;
  /** Whether the grant still holds; to be asked in the same turn as the change of state. */
  stillValid(): boolean;
  end(): void;
}

/** Clocks that a back end reads, as `Runtime` gives them to daemons. */
export type BackendClocks = Pick<Runtime, 'nowMs' | 'steadyMs'>;

/** Grants of one back end. Deadlines come as readings of the host's steady clock, and end by a clock that skips nothing. */
export class GrantTable {
  private readonly shards = new Map<number, GrantedShard>();
  private holder: string | null = null;
  private deadlineMs = 0;

  constructor(
    private readonly clocks: BackendClocks,
    private readonly repeatHorizonMs: number,
  ) {}

  /** Makes `agent` the holder, ends all grants, and waits for what is running. */
  async takeHolder(agent: string): Promise<void> {
    this.holder = agent;
    this.deadlineMs = 0;
    const ended = [...this.shards.values()];
    this.shards.clear();
    await Promise.all(ended.map((shard) => idle(shard)));
  }

  /** Whether `agent` is the holder. */
  isHolder(agent: string): boolean {
    return agent === this.holder;
  }

  /** Lengthens all grants; a deadline never goes back. */
  extend(steadyDeadlineMs: number): void {
    const skippedMs = this.clocks.nowMs() - this.clocks.steadyMs();
    this.deadlineMs = Math.max(this.deadlineMs, steadyDeadlineMs + skippedMs);
  }

  /** Adds grants. A grant that is there under the same epoch is admitted to again and keeps its claims. */
  add(grants: readonly Grant[]): void {
    for (const { shard, epoch, freshAfterMs, window } of grants) {
      const known = this.shards.get(shard);
      if (known !== undefined && known.epoch > epoch) continue;
      if (known?.epoch === epoch) {
        known.releasing = false;
        continue;
      }
      const claims = new ClaimWindow(window, freshAfterMs, this.repeatHorizonMs);
      this.shards.set(shard, { epoch, window: claims, releasing: false, running: 0, idleWaiters: [] });
    }
  }

  /** Ends grants at once. */
  revoke(shards: readonly number[]): void {
    for (const shard of shards) this.shards.delete(shard);
  }

  /** Stops admitting to a shard and waits for what is running; null when it is not granted under `epoch`. */
  async release(shard: number, epoch: number): Promise<ClaimWindow | null> {
    const granted = this.shards.get(shard);
    if (granted?.epoch !== epoch) return null;
    granted.releasing = true;
    await idle(granted);
    return granted.window;
  }

  /** Epoch under which a shard is granted, whether or not the lease still holds. */
  epochOf(shard: number): number | null {
    return this.shards.get(shard)?.epoch ?? null;
  }

  /** Shards that a request would be admitted to now. */
  servableShards(): number[] {
    if (this.clocks.nowMs() >= this.deadlineMs) return [];
    return [...this.shards].filter(([, { releasing }]) => !releasing).map(([shard]) => shard);
  }

  /** Admits a request, or says why not. */
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
        if (granted.running === 0) for (const wake of granted.idleWaiters.splice(0)) wake();
      },
    };
  }
}

async function idle(shard: GrantedShard): Promise<void> {
  if (shard.running === 0) return;
  await new Promise<void>((resolve) => shard.idleWaiters.push(resolve));
}
