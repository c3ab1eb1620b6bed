/** Pure operations on the ranges of one service: they stay in the order of keys, without gaps or overlaps. */
import type { KeySpan } from './directory-commands.js';
import { FIRST_KEY, LAST_KEY, type KeyRange } from './directory-state.js';

/** All keys, owned by nobody. */
export function unownedRanges(): readonly KeyRange[] {
  return [{ from: FIRST_KEY, to: LAST_KEY, owner: null, session: 0, fence: 0, movingTo: null, handover: '' }];
}

/** Replaces what lies inside `span`, range by range; ranges that cross its ends are cut. */
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

/** Joins neighbours that differ in nothing but their keys. */
export function joinNeighbours(ranges: readonly KeyRange[]): readonly KeyRange[] {
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

/** The ranges of `after` that do not stand in `before` as they are. */
export function changedRanges(before: readonly KeyRange[], after: readonly KeyRange[]): readonly KeyRange[] {
  const known = new Map(before.map((range) => [range.from, range]));
  return after.filter((range) => {
    const same = known.get(range.from);
    return same?.to !== range.to || !isSameOwnership(same, range);
  });
}

/** Puts ranges in the place of those that they overlap; the opposite of `changedRanges`. */
export function overlayRanges(
  ranges: readonly KeyRange[],
  changed: readonly KeyRange[],
): readonly KeyRange[] {
  const kept = ranges.filter((range) => !changed.some((other) => overlaps(range, other)));
  return [...kept, ...changed].sort((left, right) => left.from - right.from);
}

/** The range that holds `key`; ranges are found by halving. */
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

/** What is left of something that covers keys when a span is taken out of it: nothing, or up to two parts. */
export function withoutSpan<T extends KeySpan>(whole: T, span: KeySpan): T[] {
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
  // Without an owner nothing was granted under the fence, so ranges may be joined as long as no handover is lost.
  return sameOwner && sameMove && left.handover === right.handover;
}
