/** Shard loads reported by agents. Only the leader stores them; they are lost when the leader changes. */

import type { ServiceLoads } from './state-snapshot.js';

/** Load in requests per second added to the measured load of every shard, also in placement previews. */
export const BASE_LOAD = 1;

/** Load by service and shard, in requests per second. */
export class LoadTable {
  private readonly services = new Map<string, Map<number, number>>();

  /** Records an agent's report: requests per second by shard, for shards whose rate has changed. */
  report(service: string, rates: readonly (readonly [number, number])[]): void {
    const table = this.ratesOf(service);
    for (const [shard, rate] of rates) table.set(shard, rate);
  }

  /** Returns the load of a shard, including the base load. */
  loadOf(service: string, shard: number): number {
    return BASE_LOAD + (this.services.get(service)?.get(shard) ?? 0);
  }

  /** Returns all reported loads. */
  describe(): ServiceLoads[] {
    return [...this.services].map(([service, rates]) => ({ service, rates: [...rates] }));
  }

  /** Discards all reported loads. */
  clear(): void {
    this.services.clear();
  }

  private ratesOf(service: string): Map<number, number> {
    const existing = this.services.get(service);
    if (existing !== undefined) return existing;
    const rates = new Map<number, number>();
    this.services.set(service, rates);
    return rates;
  }
}
