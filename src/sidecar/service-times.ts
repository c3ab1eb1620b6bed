/** Recent mean time that the requests of each route need at one back end. */

/** Weight of the newest sample. */
const NEWEST_WEIGHT = 0.1;

/** Routes that are remembered; the one that was added first is forgotten first. */
const REMEMBERED_ROUTES = 256;

/** Mean times by route. */
export class ServiceTimes {
  private readonly means = new Map<string, number>();

  /** A request of the route took `ms`. */
  note(route: string, ms: number): void {
    const mean = this.means.get(route);
    this.means.set(route, mean === undefined ? ms : mean + (ms - mean) * NEWEST_WEIGHT);
    if (this.means.size <= REMEMBERED_ROUTES) return;
    const first = this.means.keys().next();
    if (first.done !== true) this.means.delete(first.value);
  }

  /** Mean time of the route in ms; `otherwise` before any was seen. */
  meanMs(route: string, otherwise: number): number {
    return this.means.get(route) ?? otherwise;
  }
}
