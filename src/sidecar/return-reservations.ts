/**
 * Reserves room at one back end for callers that it has refused and told when to come back. Handles overload by callers
 * of whom some retry at once and some wait: without a reservation, those that wait find the room taken by the others.
 * Times are given out one after another by the capacity of the back end, so that callers return spread out. A
 * reservation that is not used lapses. Pure state; all times are in ms of the daemon's clock.
 */

/**
 * Share of a back end's capacity that is given out. At 1.6 times the capacity, with two fifths callers that wait are
 * served about as often as those that retry at once, and new requests are not shut out.
 */
const RETURN_SHARE = 0.4;

/** Time in ms around the due time within which a return is honored: timers and links of callers are not exact. */
const GRACE_MS = 120;

/**
 * Difference in ms up to which the time that a caller has spent identifies its reservation, if it returns with another
 * request id: that time is read from its deadline in steps of 20 ms, and includes the ways to and from the gateway.
 */
const MATCH_TOLERANCE_MS = 50;

/** Maximum number of open reservations; further callers are refused without one. */
const MAX_RESERVATIONS = 1_024;

/**
 * Weight of the newest reservation in the share that is used, and the minimum of that share. Below, the times would be so
 * close that all callers of a pause in the load could return at once.
 */
const EWMA_WEIGHT = 0.05;
const MIN_USED_SHARE = 0.2;

/** Capacity of the back end that room is reserved at. */
export interface ReturnCapacity {
  readonly slots: number;
  /** Time for which a request holds a slot. */
  readonly serviceMs: number;
}

/** A refused request. */
export interface RefusedRequest {
  readonly requestId: string;
  /** Bounds of the time after which its caller may return. */
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

/** A request whose caller has been refused before. */
export interface ReturningRequest {
  readonly requestId: string;
  /** Time that the caller has spent on earlier attempts. */
  readonly spentMs: number;
}

interface Reservation {
  readonly requestId: string;
  readonly madeMs: number;
  readonly dueMs: number;
}

/** Room that is reserved at one back end. */
export class ReturnReservations {
  /** Ended reservations by how they ended. */
  readonly ended = { honored: 0, lapsed: 0 };
  private open: Reservation[] = [];
  private lastDueMs = -Infinity;
  /** Share of the reservations that are used; the others cost no capacity. */
  private usedShare = 1;

  /** Number of open reservations. */
  get openCount(): number {
    return this.open.length;
  }

  /**
   * Returns the time in ms after which the caller of a refused request is to return, and reserves room for it then; null
   * if there is none within its bounds. A caller that was refused again before its time keeps its reservation.
   */
  reserve(refused: RefusedRequest, { slots, serviceMs }: ReturnCapacity, nowMs: number): number | null {
    this.expire(nowMs);
    const held = this.open.find(({ requestId }) => requestId === refused.requestId);
    if (held !== undefined) return Math.max(0, held.dueMs - nowMs);
    const intervalMs = (serviceMs * this.usedShare) / (slots * RETURN_SHARE);
    const dueMs = Math.max(nowMs + refused.minDelayMs, this.lastDueMs + intervalMs);
    const fits = dueMs <= nowMs + refused.maxDelayMs && this.open.length < MAX_RESERVATIONS;
    if (!fits) return null;
    this.lastDueMs = dueMs;
    this.open.push({ requestId: refused.requestId, madeMs: nowMs, dueMs });
    return dueMs - nowMs;
  }

  /** Uses the reservation of a returning request; false if it has none that is due. */
  claim(returning: ReturningRequest, nowMs: number): boolean {
    this.expire(nowMs);
    const at = this.open.findIndex((reservation) => isFor(reservation, returning, nowMs));
    if (at < 0) return false;
    this.open.splice(at, 1);
    this.end('honored');
    return true;
  }

  private expire(nowMs: number): void {
    const isLapsed = ({ dueMs }: Reservation): boolean => dueMs + GRACE_MS < nowMs;
    const lapsedCount = this.open.filter(isLapsed).length;
    if (lapsedCount === 0) return;
    this.open = this.open.filter((reservation) => !isLapsed(reservation));
    for (let ended = 0; ended < lapsedCount; ended += 1) this.end('lapsed');
  }

  private end(outcome: 'honored' | 'lapsed'): void {
    this.ended[outcome] += 1;
    const used = outcome === 'honored' ? 1 : 0;
    this.usedShare = Math.max(MIN_USED_SHARE, this.usedShare + (used - this.usedShare) * EWMA_WEIGHT);
  }
}

function isFor(
  { requestId, madeMs, dueMs }: Reservation,
  returning: ReturningRequest,
  nowMs: number,
): boolean {
  if (nowMs < dueMs - GRACE_MS) return false;
  return (
    requestId === returning.requestId || Math.abs(nowMs - returning.spentMs - madeMs) <= MATCH_TOLERANCE_MS
  );
}
