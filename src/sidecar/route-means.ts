/** Moving averages by route of what requests need at one back end, such as time or bytes. */

/** Weight of the newest sample in a moving average. */
const EWMA_WEIGHT = 0.1;

/** Maximum number of routes; the route that was added first is evicted first. */
const MAX_ROUTES = 256;

/** Exponentially weighted moving averages by route. */
export class RouteMeans {
  private readonly means = new Map<string, number>();

  /** Adds the amount that a request of the route needed. */
  note(route: string, amount: number): void {
    const mean = this.means.get(route);
    this.means.set(route, mean === undefined ? amount : mean + (amount - mean) * EWMA_WEIGHT);
    if (this.means.size <= MAX_ROUTES) return;
    const first = this.means.keys().next();
    if (first.done !== true) this.means.delete(first.value);
  }

  /** Largest average of any route; 0 before the first sample. */
  get largest(): number {
    let largest = 0;
    for (const mean of this.means.values()) largest = Math.max(largest, mean);
    return largest;
  }

  /** Smallest average of any route; 0 before the first sample. */
  get smallest(): number {
    return this.means.size === 0 ? 0 : Math.min(...this.means.values());
  }

  /** Returns the average of the route; `fallback` before its first sample. */
  of(route: string, fallback: number): number {
    return this.means.get(route) ?? fallback;
  }
}
