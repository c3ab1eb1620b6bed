/** Load of each shard as agents report it; kept by the leader only and lost with it. */

import type { ServiceLoads } from './state-snapshot.js';

/** Load that every shard counts for beside what was measured, in requests a second; previews count it alike. */
export const BASE_LOAD = 1;

/** Load by service and shard, in requests a second. */
export class LoadTable {
  private readonly services = new Map<string, Map<number, number>>();

  /** Takes an agent's report: requests a second by shard, for shards whose rate has changed. */
  report(service: string, rates: readonly (readonly [number, number])[]): void {
    const table = this.tableOf(service);
    for (const [shard, rate] of rates) table.set(shard, rate);
  }

  /** Load of a shard, the base load included. */
  loadOf(service: string, shard: number): number {
    return BASE_LOAD + (this.services.get(service)?.get(shard) ?? 0);
  }

  /** Everything that was reported. */
  describe(): ServiceLoads[] {
    return [...this.services].map(([service, rates]) => ({ service, rates: [...rates] }));
  }

  /** Forgets everything. */
  clear(): void {
    this.services.clear();
  }

  private tableOf(service: string): Map<number, number> {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const table = new Map<number, number>();
    this.services.set(service, table);
    return table;
  }
}
