/**
 * Reduced capacities of back ends that have named a request limit, as their daemons report them with each renewal. A
 * reduced capacity stays in effect for some time after its last report, so that a limit which is lifted and named again
 * does not move keys back and forth. The unit is the caller's.
 */

/** Share of a request limit that ownership is planned with; the rest absorbs requests that come close together. */
export const PLANNED_LIMIT_SHARE = 0.5;

/** Time in ms after its last report for which a reduced capacity stays in effect. */
const HOLD_MS = 8_000;

interface ReducedCapacity {
  readonly capacity: number;
  readonly reportedMs: number;
}

/** Reduced capacities by back end. */
export class ReducedCapacities {
  private readonly reduced = new Map<string, ReducedCapacity>();

  /** Records the capacity of a back end; null if it is not reduced. */
  report(backend: string, capacity: number | null, nowMs: number): void {
    if (capacity === null) return;
    this.discardExpired(nowMs);
    const held = this.reduced.get(backend);
    if (held === undefined || capacity <= held.capacity)
      this.reduced.set(backend, { capacity, reportedMs: nowMs });
  }

  /** Returns the capacity of a back end; null if it is not reduced. */
  capacityOf(backend: string, nowMs: number): number | null {
    this.discardExpired(nowMs);
    return this.reduced.get(backend)?.capacity ?? null;
  }

  private discardExpired(nowMs: number): void {
    for (const [backend, { reportedMs }] of this.reduced) {
      if (nowMs - reportedMs >= HOLD_MS) this.reduced.delete(backend);
    }
  }
}
