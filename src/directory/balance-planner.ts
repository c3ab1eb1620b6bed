/** Plans moves of keys from busy to idle back ends. Pure: the same view gives the same plan. */
import type { KeySpan } from './directory-commands.js';
import type { KeyRange } from './directory-state.js';
import { KEYS_PER_BUCKET, bucketOf, type KeyLoad } from './key-load.js';
import { changeSpan } from './key-ranges.js';
import {
  leastUtilized,
  loadAt,
  type BalanceMove,
  type Candidate,
  type RangePlan,
  type RangeView,
} from './range-view.js';

/** Limit of balance moves in one plan: this many, or one per `BACK_ENDS_PER_BALANCE_MOVE` back ends if that is more. */
const MIN_BALANCE_MOVE_LIMIT = 6;

const BACK_ENDS_PER_BALANCE_MOVE = 2;

/**
 * Number of ranges from which on a back end takes part in no costly balance move. Each range is a row of about 45 bytes
 * in the answer to a heartbeat, of which back ends read up to 4 KiB; a loss of half of the back ends may double it.
 */
const MAX_BALANCED_RANGES = 40;

/** Minimum load in slots that justifies a balance move away from a back end that can use all its slots. */
const MIN_MOVED_LOAD = 0.2;

/** Thresholds for moving keys for balance. */
interface BalanceThresholds {
  /** Minimum share of used slots at a back end before keys are moved away from it. */
  readonly minUtilization: number;
  /** Minimum utilization difference between the source and the least utilized back end. */
  readonly minDifference: number;
}

/** Thresholds when a move takes only as long as the requests running on its keys. */
const CHEAP_MOVE_THRESHOLDS: BalanceThresholds = { minUtilization: 0.4, minDifference: 0.15 };

/** Thresholds when a move takes about a heartbeat, during which its keys are not served. */
const COSTLY_MOVE_THRESHOLDS: BalanceThresholds = { minUtilization: 1, minDifference: 0.25 };

/** Utilization to which a costly move reduces its source; the rest absorbs requests that come close together. */
const RELIEVED_UTILIZATION = 0.9;

/** Time in s for which keys are not served during a costly move: about one heartbeat of a back end. */
const MOVE_PAUSE_S = 0.87;

/** Slot time in s by slot of load that cold keys take at their new owner beyond their usual work. */
const COLD_WORK_S = 2;

/** Time in s within which a costly move must save more refused work than it costs; busy keys change about as often. */
const SAVING_HORIZON_S = 4;

/** Range of load accepted for a moved span, as fractions of the target load. */
const MIN_TARGET_FRACTION = 0.6;

const MAX_TARGET_FRACTION = 1.4;

/** Moves spans from busy to idle back ends until the load is balanced, no move helps, or a limit is reached. */
export function planBalance(
  view: RangeView,
  candidates: readonly Candidate[],
): Pick<RangePlan, 'moves' | 'limitedBy'> {
  // Costly moves are not delayed by others: while one takes a heartbeat, another back end may refuse work.
  if (!view.movesAreCostly && view.ranges.some(({ movingTo }) => movingTo !== null)) return { moves: [] };
  const maxMoves = Math.max(
    MIN_BALANCE_MOVE_LIMIT,
    Math.floor(candidates.length / BACK_ENDS_PER_BALANCE_MOVE),
  );
  const moves: BalanceMove[] = [];
  let { ranges } = view;
  const rejected = new Set<Candidate>();
  let movableLoad = view.movesAreCostly ? view.movableLoad : Infinity;
  while (moves.length < maxMoves) {
    const move = nextBalanceMove({ ...view, ranges }, candidates, rejected);
    if (move === null) return { moves };
    // The last move may exceed the limit: a single key can hold more load than the limit allows.
    if (movableLoad <= 0) return { moves, limitedBy: 'moved-load' };
    movableLoad -= move.load;
    moves.push(move);
    ranges = changeSpan(ranges, move, (range) => ({ ...range, owner: move.backend, movingTo: move.backend }));
  }
  return { moves, limitedBy: 'moves' };
}

/**
 * Plans one balance move. If the busiest back end has no span that can be moved, for example because a single very busy
 * key causes its load, the next busiest one is tried. Sources whose move would cost more than it saves are added to
 * `rejected`: the receivers of later moves have less room.
 */
function nextBalanceMove(
  view: RangeView,
  candidates: readonly Candidate[],
  rejected: Set<Candidate>,
): BalanceMove | null {
  const { ranges, load, movesAreCostly } = view;
  const thresholds = movesAreCostly ? COSTLY_MOVE_THRESHOLDS : CHEAP_MOVE_THRESHOLDS;
  const full = movesAreCostly ? ownersOfManyRanges(ranges) : new Set<string>();
  const receiver = leastUtilized(candidates.filter(({ id }) => !full.has(id)));
  if (receiver === null) return null;
  for (const source of [...candidates].sort((left, right) => utilization(right) - utilization(left))) {
    if (source === receiver || !isOutOfBalance(source, receiver, thresholds)) return null;
    if (rejected.has(source) || full.has(source.id)) continue;
    const targetLoad = movesAreCostly ? loadToRelieve(source, receiver) : loadToEqualize(source, receiver);
    const owned = ranges.filter(({ owner, movingTo }) => owner === source.id && movingTo === null);
    const minLoad = MIN_MOVED_LOAD * source.usableShare;
    const span = smallestSpan(owned, targetLoad, view) ?? mostLoadedSpan(owned, targetLoad, minLoad, view);
    if (span === null) continue;
    if (movesAreCostly && !isWorthItsCost(span, source, receiver, load)) {
      rejected.add(source);
      continue;
    }
    const move = {
      ...span,
      backend: receiver.id,
      source: source.id,
      load: round(load.ofSpan(span.from, span.to)),
      sourceUtilization: round(utilization(source)),
      receiverUtilization: round(utilization(receiver)),
    };
    source.busy -= loadAt(source, span, load);
    receiver.busy += loadAt(receiver, span, load);
    return move;
  }
  return null;
}

/** Returns the back ends with so many ranges, including those that move to them, that a move must not add another one. */
function ownersOfManyRanges(ranges: readonly KeyRange[]): ReadonlySet<string> {
  const counts = new Map<string, number>();
  for (const { owner, movingTo } of ranges) {
    for (const id of new Set([owner, movingTo])) {
      if (id !== null) counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  const full = [...counts].filter(([, count]) => count >= MAX_BALANCED_RANGES);
  return new Set(full.map(([id]) => id));
}

/** Whether a move saves more refused work within the horizon than the pause of its keys and their cold work cost. */
function isWorthItsCost(span: KeySpan, source: Candidate, receiver: Candidate, load: KeyLoad): boolean {
  const leaving = loadAt(source, span, load);
  const arriving = loadAt(receiver, span, load);
  const savedAtSource = Math.min(leaving, excess(source, 0));
  const refusedAtReceiver = excess(receiver, arriving) - excess(receiver, 0);
  const cost = arriving * (MOVE_PAUSE_S + COLD_WORK_S);
  return (savedAtSource - refusedAtReceiver) * SAVING_HORIZON_S > cost;
}

/** Load in slots that a back end with `added` load has no slots for. */
function excess({ busy, slots }: Candidate, added: number): number {
  return Math.max(0, busy + added - slots);
}

/** Rounds a logged figure to two decimals. */
function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function utilization({ busy, slots }: Candidate): number {
  return busy / slots;
}

/** Returns the load in slots whose move makes the utilization of both equal. */
function loadToEqualize(source: Candidate, receiver: Candidate): number {
  const difference = utilization(source) - utilization(receiver);
  return (difference * source.slots * receiver.slots) / (source.slots + receiver.slots);
}

/** Returns the load in slots that leaves the source with room, but at most what makes the utilization of both equal. */
function loadToRelieve(source: Candidate, receiver: Candidate): number {
  return Math.min(loadToEqualize(source, receiver), source.busy - RELIEVED_UTILIZATION * source.slots);
}

function isOutOfBalance(source: Candidate, receiver: Candidate, thresholds: BalanceThresholds): boolean {
  const used = utilization(source);
  return used >= thresholds.minUtilization && used - utilization(receiver) >= thresholds.minDifference;
}

/** Finds the span with the fewest keys and about `targetLoad`; null if there is none, such as when one bucket has far more. */
function smallestSpan(owned: readonly KeyRange[], targetLoad: number, view: RangeView): KeySpan | null {
  let best: KeySpan | null = null;
  for (const range of owned) {
    const span = smallestSpanIn(range, targetLoad, view);
    if (span === null) continue;
    if (best === null || span.to - span.from < best.to - best.from) best = span;
  }
  return best;
}

/** Finds the span with the most load not far above `targetLoad`: used to move the keys next to a very busy one. */
function mostLoadedSpan(
  owned: readonly KeyRange[],
  targetLoad: number,
  minLoad: number,
  { load, isCoolingDown }: RangeView,
): KeySpan | null {
  let best: KeySpan | null = null;
  let bestLoad = minLoad;
  for (const range of owned) {
    const last = bucketOf(range.to);
    let start = bucketOf(range.from);
    let sum = 0;
    for (let end = start; end <= last; end += 1) {
      if (isCoolingDown(end)) {
        start = end + 1;
        sum = 0;
        continue;
      }
      sum += load.ofBucket(end);
      while (start <= end && sum > targetLoad * MAX_TARGET_FRACTION) {
        sum -= load.ofBucket(start);
        start += 1;
      }
      if (sum <= bestLoad) continue;
      best = spanOfBuckets(range, start, end);
      bestLoad = sum;
    }
  }
  return best;
}

function smallestSpanIn(
  range: KeyRange,
  targetLoad: number,
  { load, isCoolingDown }: RangeView,
): KeySpan | null {
  const first = bucketOf(range.from);
  const last = bucketOf(range.to);
  let best: KeySpan | null = null;
  let start = first;
  let sum = 0;
  for (let end = first; end <= last; end += 1) {
    if (isCoolingDown(end)) {
      start = end + 1;
      sum = 0;
      continue;
    }
    sum += load.ofBucket(end);
    while (start < end && sum - load.ofBucket(start) >= targetLoad * MIN_TARGET_FRACTION) {
      sum -= load.ofBucket(start);
      start += 1;
    }
    if (sum < targetLoad * MIN_TARGET_FRACTION || sum > targetLoad * MAX_TARGET_FRACTION) continue;
    const span = spanOfBuckets(range, start, end);
    if (best === null || span.to - span.from < best.to - best.from) best = span;
  }
  return best;
}

function spanOfBuckets(range: KeyRange, start: number, end: number): KeySpan {
  return {
    from: Math.max(range.from, start * KEYS_PER_BUCKET),
    to: Math.min(range.to, (end + 1) * KEYS_PER_BUCKET - 1),
  };
}
