/** Load of each shard as agents report it, smoothed; kept by the leader only and lost with it. */

/** Weight of the newest report. */
const SMOOTHING = 0.2;

/** Load that every shard counts for beside what was measured, in requests a second. */
const BASE_LOAD = 1;

/** Smoothed load by service and shard, in requests a second. */
export class LoadTable {
  private readonly services = new Map<string, Map<number, number>>();

  /** Takes an agent's report: requests by shard during `seconds`. */
  report(service: string, load: readonly (readonly [number, number])[], seconds: number): void {
    if (seconds <= 0) return;
    const table = this.tableOf(service);
    for (const [shard, requests] of load) {
      const previous = table.get(shard) ?? 0;
      table.set(shard, previous + SMOOTHING * (requests / seconds - previous));
    }
  }

  /** Load of a shard, the base load included. */
  loadOf(service: string, shard: number): number {
    return BASE_LOAD + (this.services.get(service)?.get(shard) ?? 0);
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
