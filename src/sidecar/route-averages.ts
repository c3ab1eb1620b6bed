/** Moving averages by route of what requests need at one back end, such as time or bytes. */

/** Weight of the newest sample in a moving average. */
const EWMA_WEIGHT = 0.1;

/** Maximum number of routes; the route that was added first is evicted first. */
const MAX_ROUTES = 256;

/** Exponentially weighted moving averages by route. */
export class RouteAverages {
  private readonly averages = new Map<string, number>();

  /** Adds the amount that a request of the route needed. */
  record(route: string, amount: number): void {
    const average = this.averages.get(route);
    this.averages.set(route, average === undefined ? amount : average + (amount - average) * EWMA_WEIGHT);
    if (this.averages.size <= MAX_ROUTES) return;
    const first = this.averages.keys().next();
    if (first.done !== true) this.averages.delete(first.value);
  }

  /** Largest average of any route; 0 before the first sample. */
  get largest(): number {
    let largest = 0;
    for (const average of this.averages.values()) largest = Math.max(largest, average);
    return largest;
  }

  /** Smallest average of any route; 0 before the first sample. */
  get smallest(): number {
    return this.averages.size === 0 ? 0 : Math.min(...this.averages.values());
  }

  /** Returns the average of the route; `fallback` before its first sample. */
  averageOf(route: string, fallback: number): number {
    return this.averages.get(route) ?? fallback;
  }
}
