/**
 * Plans which back end owns which keys: first assignment, reassignment after a loss, draining of leaving back ends;
 * `balance-planner.ts` plans moves for balance. Pure: the same view gives the same plan.
 */
import { FIRST_KEY, LAST_KEY, type BackendInstance, type KeyRange } from './directory-state.js';
import { planBalance } from './balance-planner.js';
import { firstAssignment, type SpanTarget } from './first-assignment.js';
import { KEYS_PER_BUCKET, bucketOf, type KeyLoad } from './key-load.js';
import { leastUtilized, loadAt, type Candidate, type RangePlan, type RangeView } from './range-view.js';

/**
 * Maximum number of pieces into which one lost or drained range is split, for each even share of the load that it holds.
 * After a loss of many back ends, their ranges form one.
 */
const MAX_PIECES_PER_SHARE = 4;

/** Allowed utilization difference between a receiving back end and the next least utilized one; half of it is used. */
const ALLOWED_UTILIZATION_DIFFERENCE = 0.1;

/** Share of all slots that unknown load is assumed to need, spread evenly over the keys. */
const ASSUMED_UTILIZATION = 0.1;

/** Plans the ranges of one service. */
export function planRanges(view: RangeView): RangePlan {
  const slots = view.instances.reduce((sum, instance) => sum + instance.slots, 0);
  view.load.setAssumedLoad((slots * ASSUMED_UTILIZATION) / (LAST_KEY - FIRST_KEY + 1));
  const candidates = makeCandidates(view);
  if (candidates.length === 0) return { assignments: [], moves: [], forBalance: false };
  if (view.ranges.every(({ owner, fence }) => owner === null && fence === 0)) {
    // Where a grant of keys is a call, many ranges would be many calls, and moving keys later costs little.
    const assignments = firstAssignment(candidates, view.movesAreCostly);
    return { assignments, moves: [], forBalance: false };
  }
  const unowned = view.ranges.filter(({ owner }) => owner === null);
  const evenUtilization = evenUtilizationOf(candidates, view.load);
  const place = (range: KeyRange): SpanTarget[] => placeRange(range, candidates, view.load, evenUtilization);
  const assignments = unowned.flatMap(place);
  const leaving = new Set(
    view.instances.filter((instance) => !mayOwnKeys(instance, view)).map(({ id }) => id),
  );
  const rangesToDrain = view.ranges.filter(({ owner, movingTo }) => {
    return owner !== null && leaving.has(owner) && movingTo === null;
  });
  const moves = rangesToDrain.flatMap(place);
  if (moves.length > 0 || assignments.length > 0 || !view.mayBalance) {
    return { assignments, moves, forBalance: false };
  }
  if (!view.movesAreCostly) return { assignments, forBalance: true, ...planBalance(view, candidates) };
  // Moving keys without measured load costs callers nothing, but saves nothing either.
  view.load.setAssumedLoad(0);
  return { assignments, forBalance: true, ...planBalance(view, makeCandidates(view)) };
}

function mayOwnKeys({ condition, zone }: BackendInstance, { evacuatedZones }: RangeView): boolean {
  return condition === 'ready' && !evacuatedZones.has(zone);
}

function makeCandidates(view: RangeView): Candidate[] {
  const { ranges, instances, usableSlots, load } = view;
  const ready = instances.filter((instance) => mayOwnKeys(instance, view));
  const candidates = ready.map(({ id, slots }) => {
    const usable = usableSlots.get(id) ?? slots;
    return { id, slots: usable, usableShare: usable / slots, busy: 0, keys: 0 };
  });
  const byId = new Map(candidates.map((candidate) => [candidate.id, candidate]));
  for (const range of ranges) {
    const owner = byId.get(range.movingTo ?? range.owner ?? '');
    if (owner === undefined) continue;
    owner.busy += loadAt(owner, range, load);
    owner.keys += range.to - range.from + 1;
  }
  return candidates.sort((left, right) => (left.id < right.id ? -1 : 1));
}

/** Returns the utilization of every back end if the load of all keys were divided evenly. */
function evenUtilizationOf(candidates: readonly Candidate[], load: KeyLoad): number {
  const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
  return load.ofSpan(FIRST_KEY, LAST_KEY) / slots;
}

/** Assigns a range to the least utilized back ends, in pieces if it would overload a single one. */
function placeRange(
  range: KeyRange,
  candidates: readonly Candidate[],
  load: KeyLoad,
  evenUtilization: number,
): SpanTarget[] {
  const targets: SpanTarget[] = [];
  let from = range.from;
  let remainingLoad = load.ofSpan(range.from, range.to);
  const evenShares = (remainingLoad * candidates.length) / load.ofSpan(FIRST_KEY, LAST_KEY);
  const maxPieces = MAX_PIECES_PER_SHARE * Math.max(1, Math.ceil(evenShares));
  for (let piece = 1; from <= range.to; piece += 1) {
    const receiver = leastUtilized(candidates);
    if (receiver === null) break;
    const otherCandidates = candidates.filter((candidate) => candidate !== receiver);
    const capacity = Math.max(
      capacityBeforeNext(receiver, leastUtilized(otherCandidates)),
      evenUtilization * receiver.slots - receiver.busy,
    );
    const assignsAll =
      piece >= maxPieces ||
      otherCandidates.length === 0 ||
      remainingLoad <= Math.max(capacity, receiver.slots * 0.1);
    const to = assignsAll ? range.to : endOfSpanWithLoad(from, range.to, capacity, load);
    const assignedLoad = load.ofSpan(from, to);
    targets.push({ from, to, backend: receiver.id });
    receiver.busy += loadAt(receiver, { from, to }, load);
    receiver.keys += to - from + 1;
    remainingLoad -= assignedLoad;
    from = to + 1;
  }
  return targets;
}

/** Load that a back end can receive until its utilization exceeds that of the next one by half the allowed difference. */
function capacityBeforeNext(receiver: Candidate, next: Candidate | null): number {
  if (next === null) return Infinity;
  const maxUtilization = next.busy / next.slots + ALLOWED_UTILIZATION_DIFFERENCE / 2;
  return Math.max(0, maxUtilization * receiver.slots - receiver.busy);
}

function endOfSpanWithLoad(from: number, to: number, targetLoad: number, load: KeyLoad): number {
  let sum = 0;
  for (let bucket = bucketOf(from); bucket < bucketOf(to); bucket += 1) {
    sum += load.ofBucket(bucket);
    if (sum >= targetLoad) return Math.max(from, (bucket + 1) * KEYS_PER_BUCKET - 1);
  }
  return to;
}
