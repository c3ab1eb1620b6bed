/**
 * Reduced capacities of back ends that have named a request limit, as their daemons report them with each renewal. A
 * reduced capacity stays in effect for some time after its last report, so that a limit which is lifted and named again
 * does not move keys back and forth.
 */

import type { BackendInstance } from './directory-state.js';

/** Time in ms after its last report for which a reduced capacity stays in effect. */
const HOLD_MS = 8_000;

/** Minimum capacity in slots, so that the utilization of a back end that accepts no requests is finite. */
const MIN_SLOTS = 0.05;

interface ReducedCapacity {
  readonly slots: number;
  readonly reportedMs: number;
}

/** Capacities of the back ends of one service. */
export class BackendCapacities {
  private readonly reduced = new Map<string, ReducedCapacity>();

  /** Records the number of slots that a back end can use at the rate that it accepts; null if it can use all. */
  report(id: string, slots: number | null, nowMs: number): void {
    if (slots === null) return;
    this.discardExpired(nowMs);
    const held = this.reduced.get(id);
    if (held === undefined || slots <= held.slots) this.reduced.set(id, { slots, reportedMs: nowMs });
  }

  /** Returns the usable slots of those back ends whose capacity is reduced, by id. */
  usableSlots(instances: readonly BackendInstance[], nowMs: number): ReadonlyMap<string, number> {
    this.discardExpired(nowMs);
    const usable = new Map<string, number>();
    for (const { id, slots } of instances) {
      const known = this.reduced.get(id);
      if (known !== undefined) usable.set(id, Math.max(MIN_SLOTS, Math.min(slots, known.slots)));
    }
    return usable;
  }

  private discardExpired(nowMs: number): void {
    for (const [id, { reportedMs }] of this.reduced) {
      if (nowMs - reportedMs >= HOLD_MS) this.reduced.delete(id);
    }
  }
}
