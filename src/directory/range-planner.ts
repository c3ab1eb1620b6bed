/**
 * Decides which back end gets which keys: first assignment, repair after a loss, emptying of leaving back ends, and
 * balance by load. Pure: the same view gives the same plan.
 */
import type { KeySpan } from './directory-commands.js';
import { FIRST_KEY, LAST_KEY, type BackendInstance, type KeyRange } from './directory-state.js';
import { policyIsOn } from '../policy-switches.js';
import { changeSpan } from './key-ranges.js';
import { KEYS_PER_BUCKET, bucketOf, type KeyLoad } from './key-load.js';

/** Pieces that one lost or leaving range is cut into at most. */
const MAX_PIECES = 4;

/** Difference in shares of slots that a taker of lost keys may be above the next one. */
const PLACING_DIFFERENCE = 0.1;

/** Moves for balance in one plan: so many at least, and more where there are many back ends. */
const LEAST_BALANCE_MOVES = 6;
const BACK_ENDS_PER_BALANCE_MOVE = 2;

/** Least load that is worth a move for balance, in slots. */
const LEAST_MOVED_LOAD = 0.2;

/** When keys are moved for balance. */
interface BalanceLimits {
  /** Share of its slots that must be in use at a back end before keys leave it. */
  readonly utilization: number;
  /** Least difference between the busiest and the idlest back end, in shares of slots. */
  readonly difference: number;
}

/** Where a move takes as long as what runs on its keys. */
const CHEAP_MOVE_LIMITS: BalanceLimits = { utilization: 0.4, difference: 0.15 };

/** Where a move takes about a heartbeat, in which nobody serves its keys. */
const COSTLY_MOVE_LIMITS: BalanceLimits = policyIsOn('move-rest')
  ? { utilization: 0.65, difference: 0.25 }
  : { utilization: 0.5, difference: 0.25 };

/** Part of all slots that unknown load is taken to need, spread evenly over the keys. */
const ASSUMED_SHARE_OF_SLOTS = 0.1;

/** A span that is to go to a back end. */
export interface SpanTarget extends KeySpan {
  readonly backend: string;
}

/** What is known of one service. */
export interface RangeView {
  readonly ranges: readonly KeyRange[];
  readonly instances: readonly BackendInstance[];
  readonly load: KeyLoad;
  /** Whether keys may be moved for balance now. */
  readonly mayBalance: boolean;
  /** Whether nobody serves keys for long while they move. */
  readonly movesAreCostly: boolean;
  /** Zones whose back ends must hold no keys. */
  readonly evacuatedZones: ReadonlySet<string>;
  /** Whether a bucket of keys must stay where it is, unless its owner leaves. */
  readonly rests: (bucket: number) => boolean;
}

/** What is to be done. */
export interface RangePlan {
  /** Keys without owner. */
  readonly assignments: readonly SpanTarget[];
  /** Keys that change their owner. */
  readonly moves: readonly SpanTarget[];
  /** Whether the moves are for balance, and not because an owner leaves. */
  readonly forBalance: boolean;
}

/** A back end that can take keys, and how busy it will be. */
interface Candidate {
  readonly id: string;
  readonly slots: number;
  busy: number;
  keys: number;
}

/** Plans one service. */
export function planRanges(view: RangeView): RangePlan {
  const slots = view.instances.reduce((sum, instance) => sum + instance.slots, 0);
  view.load.assume((slots * ASSUMED_SHARE_OF_SLOTS) / (LAST_KEY - FIRST_KEY + 1));
  const candidates = makeCandidates(view);
  if (candidates.length === 0) return { assignments: [], moves: [], forBalance: false };
  if (view.ranges.every(({ owner, fence }) => owner === null && fence === 0)) {
    return { assignments: divideEvenly(candidates), moves: [], forBalance: false };
  }
  const unowned = view.ranges.filter(({ owner }) => owner === null);
  const assignments = unowned.flatMap((range) => placeRange(range, candidates, view.load));
  const leaving = new Set(view.instances.filter((instance) => !mayHold(instance, view)).map(({ id }) => id));
  const toEmpty = view.ranges.filter(({ owner, movingTo }) => {
    return owner !== null && leaving.has(owner) && movingTo === null;
  });
  const moves = toEmpty.flatMap((range) => placeRange(range, candidates, view.load));
  if (moves.length > 0 || assignments.length > 0 || !view.mayBalance) {
    return { assignments, moves, forBalance: false };
  }
  return { assignments, moves: planBalance(view, candidates), forBalance: true };
}

function mayHold({ condition, zone }: BackendInstance, { evacuatedZones }: RangeView): boolean {
  return condition === 'ready' && !evacuatedZones.has(zone);
}

function makeCandidates(view: RangeView): Candidate[] {
  const { ranges, instances, load } = view;
  const ready = instances.filter((instance) => mayHold(instance, view));
  const candidates = ready.map(({ id, slots }) => ({ id, slots, busy: 0, keys: 0 }));
  const byId = new Map(candidates.map((candidate) => [candidate.id, candidate]));
  for (const range of ranges) {
    const holder = byId.get(range.movingTo ?? range.owner ?? '');
    if (holder === undefined) continue;
    holder.busy += load.ofSpan(range.from, range.to);
    holder.keys += range.to - range.from + 1;
  }
  return candidates.sort((left, right) => (left.id < right.id ? -1 : 1));
}

/** Nothing is known of the load yet, so each back end gets keys in proportion to its slots. */
function divideEvenly(candidates: readonly Candidate[]): SpanTarget[] {
  const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
  const keys = LAST_KEY - FIRST_KEY + 1;
  const targets: SpanTarget[] = [];
  let from = FIRST_KEY;
  let slotsSoFar = 0;
  for (const candidate of candidates) {
    slotsSoFar += candidate.slots;
    const end = FIRST_KEY + Math.floor((keys * slotsSoFar) / slots);
    targets.push({ from, to: end - 1, backend: candidate.id });
    from = end;
  }
  return targets;
}

/** Gives a range to the back ends that have most room, in pieces if it would overload one. */
function placeRange(range: KeyRange, candidates: readonly Candidate[], load: KeyLoad): SpanTarget[] {
  const targets: SpanTarget[] = [];
  let from = range.from;
  let rest = load.ofSpan(range.from, range.to);
  for (let piece = 1; from <= range.to; piece += 1) {
    const taker = leastBusy(candidates);
    if (taker === null) break;
    const next = candidates.filter((candidate) => candidate !== taker);
    const room = roomBefore(taker, leastBusy(next));
    const takesAll = piece >= MAX_PIECES || next.length === 0 || rest <= Math.max(room, taker.slots * 0.1);
    const to = takesAll ? range.to : endOfLoad(from, range.to, room, load);
    const taken = load.ofSpan(from, to);
    targets.push({ from, to, backend: taker.id });
    taker.busy += taken;
    taker.keys += to - from + 1;
    rest -= taken;
    from = to + 1;
  }
  return targets;
}

/** Load that a back end can take before it is as busy as the next one, plus a fair part of the rest. */
function roomBefore(taker: Candidate, next: Candidate | null): number {
  if (next === null) return Infinity;
  const level = next.busy / next.slots + PLACING_DIFFERENCE / 2;
  return Math.max(0, level * taker.slots - taker.busy);
}

function endOfLoad(from: number, to: number, wanted: number, load: KeyLoad): number {
  let sum = 0;
  for (let bucket = bucketOf(from); bucket < bucketOf(to); bucket += 1) {
    sum += load.ofBucket(bucket);
    if (sum >= wanted) return Math.max(from, (bucket + 1) * KEYS_PER_BUCKET - 1);
  }
  return to;
}

function leastBusy(candidates: readonly Candidate[]): Candidate | null {
  let best: Candidate | null = null;
  for (const candidate of candidates) {
    if (best === null || isIdler(candidate, best)) best = candidate;
  }
  return best;
}

function isIdler(left: Candidate, right: Candidate): boolean {
  const difference = left.busy / left.slots - right.busy / right.slots;
  if (Math.abs(difference) > 0.01) return difference < 0;
  return left.keys < right.keys;
}

/** Moves spans from busy to idle back ends until none is far from the others, or none can be helped. */
function planBalance(view: RangeView, candidates: readonly Candidate[]): SpanTarget[] {
  if (view.ranges.some(({ movingTo }) => movingTo !== null)) return [];
  const limits = view.movesAreCostly ? COSTLY_MOVE_LIMITS : CHEAP_MOVE_LIMITS;
  const mostMoves = Math.max(LEAST_BALANCE_MOVES, Math.floor(candidates.length / BACK_ENDS_PER_BALANCE_MOVE));
  const moves: SpanTarget[] = [];
  let { ranges } = view;
  while (moves.length < mostMoves) {
    const move = nextBalanceMove({ ...view, ranges }, candidates, limits);
    if (move === null) break;
    moves.push(move);
    ranges = changeSpan(ranges, move, (range) => ({ ...range, owner: move.backend, movingTo: move.backend }));
  }
  return moves;
}

/** The busiest back end may hold nothing that can leave it, such as one very busy key; then the next one is helped. */
function nextBalanceMove(
  view: RangeView,
  candidates: readonly Candidate[],
  limits: BalanceLimits,
): SpanTarget | null {
  const { ranges, load } = view;
  const idlest = leastBusy(candidates);
  if (idlest === null) return null;
  for (const giver of [...candidates].sort((left, right) => utilization(right) - utilization(left))) {
    if (giver === idlest || !isOutOfBalance(giver, idlest, limits)) return null;
    const wanted = ((utilization(giver) - utilization(idlest)) / 2) * Math.min(giver.slots, idlest.slots);
    const owned = ranges.filter(({ owner, movingTo }) => owner === giver.id && movingTo === null);
    const span = smallestSpan(owned, wanted, view) ?? mostLoadedSpan(owned, wanted, view);
    if (span === null) continue;
    const moved = load.ofSpan(span.from, span.to);
    giver.busy -= moved;
    idlest.busy += moved;
    return { ...span, backend: idlest.id };
  }
  return null;
}

function utilization({ busy, slots }: Candidate): number {
  return busy / slots;
}

function isOutOfBalance(giver: Candidate, idlest: Candidate, limits: BalanceLimits): boolean {
  const busy = utilization(giver);
  return busy >= limits.utilization && busy - utilization(idlest) >= limits.difference;
}

/** The fewest keys that carry about `wanted`; null when there are none, as where one bucket carries far more. */
function smallestSpan(owned: readonly KeyRange[], wanted: number, view: RangeView): KeySpan | null {
  let best: KeySpan | null = null;
  for (const range of owned) {
    const span = smallestSpanIn(range, wanted, view);
    if (span === null) continue;
    if (best === null || span.to - span.from < best.to - best.from) best = span;
  }
  return best;
}

/** The keys beside a very busy one: the span that carries most without carrying much more than `wanted`. */
function mostLoadedSpan(
  owned: readonly KeyRange[],
  wanted: number,
  { load, rests }: RangeView,
): KeySpan | null {
  let best: KeySpan | null = null;
  let bestLoad = LEAST_MOVED_LOAD;
  for (const range of owned) {
    const last = bucketOf(range.to);
    let start = bucketOf(range.from);
    let sum = 0;
    for (let end = start; end <= last; end += 1) {
      if (rests(end)) {
        start = end + 1;
        sum = 0;
        continue;
      }
      sum += load.ofBucket(end);
      while (start <= end && sum > wanted * LARGEST_PART_OF_WANTED) {
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

const LEAST_PART_OF_WANTED = 0.6;
const LARGEST_PART_OF_WANTED = 1.4;

function smallestSpanIn(range: KeyRange, wanted: number, { load, rests }: RangeView): KeySpan | null {
  const first = bucketOf(range.from);
  const last = bucketOf(range.to);
  let best: KeySpan | null = null;
  let start = first;
  let sum = 0;
  for (let end = first; end <= last; end += 1) {
    if (rests(end)) {
      start = end + 1;
      sum = 0;
      continue;
    }
    sum += load.ofBucket(end);
    while (start < end && sum - load.ofBucket(start) >= wanted * LEAST_PART_OF_WANTED) {
      sum -= load.ofBucket(start);
      start += 1;
    }
    if (sum < wanted * LEAST_PART_OF_WANTED || sum > wanted * LARGEST_PART_OF_WANTED) continue;
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
