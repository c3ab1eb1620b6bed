/** Orders of the operator that no replica has acknowledged yet; in calm each must be within a bound. */

/** When an order is overdue, in ms of one stretch of calm. */
export interface AcknowledgementBound {
  readonly orderMs: number;
  /** How much longer it may take for each route that it brings. */
  readonly perRouteMs: number;
}

/** An order that waits for its acknowledgement. */
interface AwaitedOrder {
  readonly name: string;
  readonly boundMs: number;
  /** Since when it has waited in calm; null while something is amiss. */
  calmSinceMs: number | null;
}

/** The orders of one operator. */
export class AwaitedChanges {
  private readonly awaited = new Set<AwaitedOrder>();

  constructor(
    private readonly bound: AcknowledgementBound,
    private readonly onOverdue: (detail: string, nowMs: number) => void,
  ) {}

  /** An order is sent for the first time; returns what to call once it is acknowledged, or given up. */
  begin(name: string, routes: number): () => void {
    const { orderMs, perRouteMs } = this.bound;
    const order: AwaitedOrder = { name, boundMs: orderMs + perRouteMs * routes, calmSinceMs: null };
    this.awaited.add(order);
    return () => {
      this.awaited.delete(order);
    };
  }

  /** Called every few ms. */
  look(isCalm: boolean, nowMs: number): void {
    for (const order of [...this.awaited]) {
      if (!isCalm) order.calmSinceMs = null;
      else order.calmSinceMs ??= nowMs;
      const { name, boundMs, calmSinceMs } = order;
      if (calmSinceMs === null || nowMs - calmSinceMs <= boundMs) continue;
      this.awaited.delete(order);
      this.onOverdue(
        `${name} has no acknowledgement after ${Math.round(nowMs - calmSinceMs)} ms of calm`,
        nowMs,
      );
    }
  }
}
