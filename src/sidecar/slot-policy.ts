/** Scheduling policy of the slots at a back end: order in the queue, maximum waits and reserves. Pure functions. */

/** Time limits that a request states, in ms. */
export interface RequestTimeLimits {
  /** Time left until the deadline. */
  readonly remainingMs: number;
  /** Time for which it may wait for a slot in any case. */
  readonly patienceMs: number;
  /** Time left to answer within the target latency, counted from the caller's current attempt. */
  readonly targetLeftMs: number;
  /** Time that its caller has spent on earlier attempts. */
  readonly spentMs: number;
}

/** Multiple of the mean work time that is planned for a request at the back end. */
const WORK_TIME_FACTOR = 1.3;

/**
 * Multiple of the mean work time that a late request must have left to start: work that ends after the deadline is
 * wasted.
 */
const LATE_WORK_TIME_FACTOR = 2;

/**
 * Minimum multiple of the mean work time that must be left for any request to start; with less, work rarely finishes.
 */
const MIN_WORK_TIME_FACTOR = 0.5;

/** Whether so little time is left that the deadline would interrupt the work, which would be wasted. */
export function isTooLateToStart(leftMs: number, meanMs: number): boolean {
  return leftMs <= Math.max(1, MIN_WORK_TIME_FACTOR * meanMs);
}

/** Share of the mean work time for which any request may wait for a slot. */
const MIN_SLOT_WAIT_SHARE = 0.2;

/** Offsets in ms that place retries, and late requests behind them, after requests with more valuable answers. */
const RETRY_ORDER_OFFSET_MS = 1_000_000;
const LATE_ORDER_OFFSET_MS = 2_000_000;

/** Returns the slack in ms: how long a request can wait and still meet its target, counted from the current attempt. */
export function slackTimeMs({ targetLeftMs }: RequestTimeLimits, meanMs: number): number {
  return Math.max(0, targetLeftMs - WORK_TIME_FACTOR * meanMs);
}

/**
 * Returns the sort key in the queue; the smallest goes first. Requests that can meet the target counted from the
 * caller's first attempt are worth most, then those that can meet it counted from the current attempt. Late requests
 * are worth least, and would make others late if they went before them.
 */
export function queueOrder(limits: RequestTimeLimits, arrivedMs: number, meanMs: number): number {
  const targetTimeMs = arrivedMs + limits.targetLeftMs;
  const slackMs = slackTimeMs(limits, meanMs);
  if (slackMs <= 0) return lateQueueOrder(limits, arrivedMs);
  return slackMs > limits.spentMs ? targetTimeMs - limits.spentMs : targetTimeMs + RETRY_ORDER_OFFSET_MS;
}

/**
 * Returns the sort key of a request that room was reserved for: as on the first attempt of its caller, and before all
 * that can meet their target, since the reservations already bound how many such requests there are.
 */
export function returnOrder({ targetLeftMs, spentMs }: RequestTimeLimits, arrivedMs: number): number {
  return arrivedMs + targetLeftMs - spentMs - RETRY_ORDER_OFFSET_MS;
}

/** Share of the longest mean work time at a back end up to which work counts as short. */
const SHORT_WORK_SHARE = 0.5;

/** Rank of short work, ahead of the priority of every route. */
export const SHORT_WORK_RANK = -1;

/**
 * Returns the rank in the queue of a back end; lower ranks go first. Short work goes first, since it delays others
 * little and is mostly calls from other back ends, which hold a slot there until they are answered.
 */
export function queueRank(priority: number, meanMs: number, longestMs: number): number {
  return meanMs <= longestMs * SHORT_WORK_SHARE ? SHORT_WORK_RANK : priority;
}

/** Share of the slots that late requests leave free for requests that can meet their target. */
const LATE_RESERVE_SHARE = 0.2;

/**
 * Returns the number of slots that late requests leave free (trunk reservation, with which telephone networks limit
 * traffic of lower value). A slot used by a late request is unavailable to those that arrive while it runs.
 */
export function lateReserve(slots: number): number {
  return Math.min(slots - 1, Math.ceil(slots * LATE_RESERVE_SHARE));
}

/**
 * Share of the slots, rounded down, that long work leaves free for short work. Reserving one slot of six by rounding up
 * cost more than it gained (docs/POLICY-ROUNDS.md, round 21).
 */
const SHORT_WORK_RESERVE_SHARE = 0.1;

/**
 * Returns the number of slots that long work leaves free for short work. Short work is mostly calls from other back
 * ends, which hold a slot there until they are answered, so time spent waiting for long work wastes slots elsewhere.
 */
export function shortWorkReserve(slots: number): number {
  return Math.floor(slots * SHORT_WORK_RESERVE_SHARE);
}

/** Returns the sort key of a late request, which puts it behind all requests that can meet their target. */
export function lateQueueOrder({ targetLeftMs }: RequestTimeLimits, arrivedMs: number): number {
  return arrivedMs + targetLeftMs + LATE_ORDER_OFFSET_MS;
}

/** Returns the time in ms for which a late request may still wait and then be answered before its deadline. */
export function maxLateWaitMs({ remainingMs }: RequestTimeLimits, waitedMs: number, meanMs: number): number {
  return Math.max(0, remainingMs - waitedMs - LATE_WORK_TIME_FACTOR * meanMs);
}

/**
 * Returns the time in ms for which a request may still wait for a slot. Longer waits under overload would make all
 * requests late. The wait ends while the mean work would still fit before the deadline, so that a caller without a slot
 * is refused before it times out.
 */
export function maxSlotWaitMs(limits: RequestTimeLimits, waitedMs: number, meanMs: number): number {
  const minWaitMs = Math.max(MIN_SLOT_WAIT_SHARE * meanMs, limits.patienceMs);
  const maxWaitMs = Math.max(0, limits.remainingMs - waitedMs - meanMs);
  return Math.min(maxWaitMs, Math.max(minWaitMs, slackTimeMs(limits, meanMs) - waitedMs));
}
