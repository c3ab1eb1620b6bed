/**
 * Shard loads and request limits of back ends, as reported by agents. Only the leader stores them; they are lost when the
 * leader changes.
 */

import { ReducedCapacities } from '../placement/reduced-capacities.js';
import type { ServiceLoads } from './state-snapshot.js';

/** Load in requests per second added to the measured load of every shard, also in placement previews. */
export const BASE_LOAD = 1;

/** Load by service and shard, in requests per second. */
export class LoadTable {
  private readonly services = new Map<string, Map<number, number>>();
  private limits = new ReducedCapacities();

  /** Records an agent's report: requests per second by shard, for shards whose rate has changed. */
  report(service: string, rates: readonly (readonly [number, number])[]): void {
    const table = this.ratesOf(service);
    for (const [shard, rate] of rates) table.set(shard, rate);
  }

  /** Records the request limit of a back end per second; null if it names none. */
  reportLimit(backend: string, perSecond: number | null, nowMs: number): void {
    this.limits.report(backend, perSecond, nowMs);
  }

  /** Returns the request limit to plan with for a back end; null if there is none. */
  limitOf(backend: string, nowMs: number): number | null {
    return this.limits.capacityOf(backend, nowMs);
  }

  /** Returns the load of a shard, including the base load. */
  loadOf(service: string, shard: number): number {
    return BASE_LOAD + (this.services.get(service)?.get(shard) ?? 0);
  }

  /** Returns all reported loads. */
  describe(): ServiceLoads[] {
    return [...this.services].map(([service, rates]) => ({ service, rates: [...rates] }));
  }

  /** Discards all reports. */
  clear(): void {
    this.limits = new ReducedCapacities();
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
