/** Tracks changes that no replica has acknowledged yet; without faults each must be acknowledged within a bound. */

/** Time in ms without faults after which a change is overdue. */
export interface AcknowledgementBound {
  readonly baseMs: number;
  /** Addition for each route of the change. */
  readonly perRouteMs: number;
}

/** A change that waits for its acknowledgement. */
interface AwaitedChange {
  readonly name: string;
  readonly boundMs: number;
  /** Start of the current wait without faults; null while there is a fault. */
  undisturbedSinceMs: number | null;
}

/** Pending changes of one operator. */
export class AwaitedChanges {
  private readonly awaited = new Set<AwaitedChange>();

  constructor(
    private readonly bound: AcknowledgementBound,
    private readonly onOverdue: (detail: string, nowMs: number) => void,
  ) {}

  /** Registers a change that is sent for the first time; the returned function ends the wait, once acknowledged or given up. */
  begin(name: string, routes: number): () => void {
    const { baseMs, perRouteMs } = this.bound;
    const change: AwaitedChange = { name, boundMs: baseMs + perRouteMs * routes, undisturbedSinceMs: null };
    this.awaited.add(change);
    return () => {
      this.awaited.delete(change);
    };
  }

  /** Reports overdue changes; called every few ms. */
  check(isUndisturbed: boolean, nowMs: number): void {
    for (const change of [...this.awaited]) {
      if (!isUndisturbed) change.undisturbedSinceMs = null;
      else change.undisturbedSinceMs ??= nowMs;
      const { name, boundMs, undisturbedSinceMs } = change;
      if (undisturbedSinceMs === null || nowMs - undisturbedSinceMs <= boundMs) continue;
      this.awaited.delete(change);
      this.onOverdue(
        `${name} has no acknowledgement after ${Math.round(nowMs - undisturbedSinceMs)} ms of calm`,
        nowMs,
      );
    }
  }
}
