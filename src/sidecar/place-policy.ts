/** Which waiting request gets the next place at a back end, and how long one may wait for it. Pure. */
import { policyIsOn } from '../policy-switches.js';

/** What a request says about its time, in ms. */
export interface PlaceClaim {
  /** Left for the whole request. */
  readonly remainingMs: number;
  /** For which it may wait whatever that costs its caller. */
  readonly patienceMs: number;
  /** Left until an answer loses its full value, counted from this try of its caller. */
  readonly targetLeftMs: number;
  /** Spent by its caller on earlier tries. */
  readonly spentMs: number;
}

/** Time that a request may need at the back end, by the mean time that requests need. */
const WORK_PER_MEAN = 1.3;

/** Time that a request must still have when it begins late, by the mean time: one that ends too late was work for none. */
const LATE_WORK_PER_MEAN = 2;

/** Time that must be left for a request to begin, by the mean time: less is hardly ever enough. */
const LEAST_WORK_PER_MEAN = 0.5;

/** Whether so little time is left that work would be broken off by the deadline and be lost. */
export function isTooLateToBegin(leftMs: number, meanMs: number): boolean {
  return leftMs <= Math.max(1, LEAST_WORK_PER_MEAN * meanMs);
}

/** Part of the mean time for which a request may wait for a place in any case. */
const LEAST_PLACE_WAIT_SHARE = 0.2;

/** What puts a request behind those whose answers are worth more, in ms. */
const SECOND_TRY_ORDER_MS = 1_000_000;
const LATE_ORDER_MS = 2_000_000;

/** Time for which a request can wait and still be answered in time, counted from this try. */
export function spareMs({ targetLeftMs }: PlaceClaim, meanMs: number): number {
  return Math.max(0, targetLeftMs - WORK_PER_MEAN * meanMs);
}

/**
 * Place in the queue: the smallest goes first. A request that can be answered in time, counted from the first try of
 * its caller, is worth most; one that is in time counted from this try is worth less; one that will be late is worth
 * least, and makes others late if it goes before them.
 */
export function placeOrder(claim: PlaceClaim, arrivedMs: number, meanMs: number): number {
  const targetMs = arrivedMs + claim.targetLeftMs;
  const spare = spareMs(claim, meanMs);
  if (spare <= 0) return lateOrder(claim, arrivedMs);
  return spare > claim.spentMs ? targetMs - claim.spentMs : targetMs + SECOND_TRY_ORDER_MS;
}

/**
 * Whether an answer should not be worked on now, since others that wait for the network link would make it late and
 * it would make those after it late in turn. `claim` counts its own time on the link already.
 */
export function comesTooLateForLink(claim: PlaceClaim, backlogMs: number, meanMs: number): boolean {
  return backlogMs > 0 && spareMs(claim, meanMs) <= 0;
}

/**
 * Times the foretold time on a network link that an answer must be able to bear: sizes vary, and small frames come in
 * bursts. A queue that is filled up to the target makes most answers late and carries no more of them: with 1.6, sheets
 * of 90 KB in time rose from 0.120 to 0.140 and from 0.428 to 0.485 of those asked for (an overloaded and a quiet day).
 */
const LINK_TIME_MARGIN = 1.6;

/** Time in ms on the network link that is reckoned with, by the time that is foretold. */
export function linkTimeMs(foretoldMs: number): number {
  return policyIsOn('link-margin') ? foretoldMs * LINK_TIME_MARGIN : foretoldMs;
}

/** Part of the longest work at a back end up to which work is short. */
const SHORT_WORK_SHARE = 0.5;

/** Rank that goes before every rank of a route. */
export const SHORT_WORK_RANK = -1;

/**
 * Rank at one back end. Short work goes first, since it delays others little: such requests are mostly calls of back
 * ends that keep a place elsewhere until they are answered, and those places would be lost to all who wait there.
 */
export function placeRank(priority: number, meanMs: number, longestMs: number): number {
  return meanMs <= longestMs * SHORT_WORK_SHARE ? SHORT_WORK_RANK : priority;
}

/** Part of the places that requests which will be late leave free for those that can be in time. */
const LATE_RESERVE_SHARE = 0.2;

/**
 * Places that a request which will be late leaves free. A place that it takes is lost to those that come while it
 * runs; so it gets what is left over (trunk reservation, as telephone networks bound traffic of lower value).
 */
export function lateReserve(slots: number): number {
  return Math.min(slots - 1, Math.ceil(slots * LATE_RESERVE_SHARE));
}

/**
 * Part of the places, rounded down, that long work leaves free for short work. One place of six, by rounding up, cost
 * more than it brought (docs/POLICY-ROUNDS.md, round 21).
 */
const SHORT_WORK_RESERVE_SHARE = 0.1;

/**
 * Places that long work leaves free for short work. Short work is mostly calls of back ends that keep a place elsewhere
 * until they are answered; the time that they would wait for the end of long work is lost there.
 */
export function shortWorkReserve(slots: number): number {
  return Math.floor(slots * SHORT_WORK_RESERVE_SHARE);
}

/** Place in the queue of a request that will be late: behind all that can be in time. */
export function lateOrder({ targetLeftMs }: PlaceClaim, arrivedMs: number): number {
  return arrivedMs + targetLeftMs + LATE_ORDER_MS;
}

/** Time for which a request that will be late may still wait and be answered before its deadline. */
export function lateWaitMs({ remainingMs }: PlaceClaim, waitedMs: number, meanMs: number): number {
  return Math.max(0, remainingMs - waitedMs - LATE_WORK_PER_MEAN * meanMs);
}

/**
 * Time for which a request still waits. Where hardly any can be answered in time, waiting makes all of them late. It
 * ends while the mean work would still fit, so that a caller who gets no place is told so before it has given up.
 */
export function placeWaitMs(claim: PlaceClaim, waitedMs: number, meanMs: number): number {
  const least = Math.max(LEAST_PLACE_WAIT_SHARE * meanMs, claim.patienceMs);
  const leftMs = Math.max(0, claim.remainingMs - waitedMs - meanMs);
  return Math.min(leftMs, Math.max(least, spareMs(claim, meanMs) - waitedMs));
}
