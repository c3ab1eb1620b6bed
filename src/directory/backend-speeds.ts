/**
 * How fast the back ends of one service are beside each other, from the time that a request keeps its place there.
 * Work is counted in the slot time of a back end of middle speed, so that load keeps its size when its keys move.
 */

/** Bounds of what is believed: a back end may be slow for a moment only, and samples differ. */
const LEAST_SPEED = 0.4;
const GREATEST_SPEED = 2.5;

/** Speeds of the back ends of one service. */
export class BackendSpeeds {
  /** Mean slot time in ms, by id of the back end. */
  private readonly serviceMs = new Map<string, number>();

  /** A back end's daemon tells its mean slot time in ms; null while that is not known. */
  note(id: string, serviceMs: number | null): void {
    if (serviceMs !== null && serviceMs > 0) this.serviceMs.set(id, serviceMs);
  }

  /** Forgets back ends that are gone. */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const id of this.serviceMs.keys()) if (!ids.has(id)) this.serviceMs.delete(id);
  }

  /** Speed of a back end, 1 being the middle; 1 while nothing is known of it. */
  speedOf(id: string): number {
    const own = this.serviceMs.get(id);
    if (own === undefined) return 1;
    const speed = this.middleMs() / own;
    return Math.min(GREATEST_SPEED, Math.max(LEAST_SPEED, speed));
  }

  private middleMs(): number {
    const sorted = [...this.serviceMs.values()].sort((left, right) => left - right);
    const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
    const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
    return (lower + upper) / 2;
  }
}
