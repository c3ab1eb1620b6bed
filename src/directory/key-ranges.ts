/** Pure operations on the ranges of one service. Ranges stay in key order, without gaps or overlaps. */
import type { KeySpan } from './directory-commands.js';
import { FIRST_KEY, LAST_KEY, type KeyRange } from './directory-state.js';

/** Returns a single unowned range of all keys. */
export function unownedRanges(): readonly KeyRange[] {
  return [{ from: FIRST_KEY, to: LAST_KEY, owner: null, session: 0, fence: 0, movingTo: null, handover: '' }];
}

/** Applies `change` to each range within `span`; ranges that cross an end of the span are split there. */
export function changeSpan(
  ranges: readonly KeyRange[],
  span: KeySpan,
  change: (range: KeyRange) => KeyRange,
): readonly KeyRange[] {
  const result: KeyRange[] = [];
  for (const range of ranges) {
    if (range.to < span.from || range.from > span.to) {
      result.push(range);
      continue;
    }
    const from = Math.max(range.from, span.from);
    const to = Math.min(range.to, span.to);
    if (range.from < from) result.push({ ...range, to: from - 1 });
    result.push(change({ ...range, from, to }));
    if (range.to > to) result.push({ ...range, from: to + 1 });
  }
  return result;
}

/** Merges adjacent ranges that differ only in their keys. */
export function mergeAdjacentRanges(ranges: readonly KeyRange[]): readonly KeyRange[] {
  const result: KeyRange[] = [];
  for (const range of ranges) {
    const last = result.at(-1);
    if (last !== undefined && isSameOwnership(last, range)) {
      result[result.length - 1] = { ...last, to: range.to };
    } else {
      result.push(range);
    }
  }
  return result;
}

/** Returns the ranges of `after` that are not in `before` unchanged. */
export function changedRanges(before: readonly KeyRange[], after: readonly KeyRange[]): readonly KeyRange[] {
  const previous = new Map(before.map((range) => [range.from, range]));
  return after.filter((range) => {
    const same = previous.get(range.from);
    return same?.to !== range.to || !isSameOwnership(same, range);
  });
}

/** Replaces the ranges that `changed` overlaps; the inverse of `changedRanges`. */
export function overlayRanges(
  ranges: readonly KeyRange[],
  changed: readonly KeyRange[],
): readonly KeyRange[] {
  const unaffected = ranges.filter((range) => !changed.some((other) => overlaps(range, other)));
  return [...unaffected, ...changed].sort((left, right) => left.from - right.from);
}

/** Finds the range that contains `key` by binary search; null when there is none. */
export function rangeOf(ranges: readonly KeyRange[], key: number): KeyRange | null {
  let low = 0;
  let high = ranges.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const range = ranges[middle];
    if (range === undefined) return null;
    if (key < range.from) high = middle - 1;
    else if (key > range.to) low = middle + 1;
    else return range;
  }
  return null;
}

/** Subtracts a span from an object that covers keys; returns the zero, one or two remaining parts. */
export function subtractSpan<T extends KeySpan>(whole: T, span: KeySpan): T[] {
  if (!overlaps(whole, span)) return [whole];
  const parts = [
    { ...whole, to: span.from - 1 },
    { ...whole, from: span.to + 1 },
  ];
  return parts.filter(({ from, to }) => from <= to);
}

/** Whether two spans have a key in common. */
export function overlaps(left: KeySpan, right: KeySpan): boolean {
  return left.from <= right.to && right.from <= left.to;
}

function isSameOwnership(left: KeyRange, right: KeyRange): boolean {
  const sameOwner = left.owner === right.owner && left.session === right.session;
  const sameMove = left.movingTo === right.movingTo && left.fence === right.fence;
  // The fence of an unowned range covers no grants, so such ranges may be merged as long as no handover data is lost.
  return sameOwner && sameMove && left.handover === right.handover;
}
