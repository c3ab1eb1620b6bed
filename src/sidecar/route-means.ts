/** Recent means by route, of what the requests of each route need at one back end. */

/** Weight of the newest sample. */
const NEWEST_WEIGHT = 0.1;

/** Routes that are remembered; the one that was added first is forgotten first. */
const REMEMBERED_ROUTES = 256;

/** Means by route. */
export class RouteMeans {
  private readonly means = new Map<string, number>();

  /** A request of the route needed so much. */
  note(route: string, amount: number): void {
    const mean = this.means.get(route);
    this.means.set(route, mean === undefined ? amount : mean + (amount - mean) * NEWEST_WEIGHT);
    if (this.means.size <= REMEMBERED_ROUTES) return;
    const first = this.means.keys().next();
    if (first.done !== true) this.means.delete(first.value);
  }

  /** The largest mean of any route; 0 before any was seen. */
  get largest(): number {
    let largest = 0;
    for (const mean of this.means.values()) largest = Math.max(largest, mean);
    return largest;
  }

  /** The smallest mean of any route; 0 before any was seen. */
  get smallest(): number {
    return this.means.size === 0 ? 0 : Math.min(...this.means.values());
  }

  /** Mean of the route; `otherwise` before any was seen. */
  of(route: string, otherwise: number): number {
    return this.means.get(route) ?? otherwise;
  }
}
