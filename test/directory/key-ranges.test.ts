/** Tests of the published changes of ranges and of their application by a daemon. */
import test from 'ava';
import fc from 'fast-check';
import type { KeyRange } from '../../src/directory/directory-state.js';
import {
  changedRanges,
  changeSpan,
  mergeAdjacentRanges,
  overlayRanges,
  unownedRanges,
} from '../../src/directory/key-ranges.js';

const SEED = 7;
const KEY = fc.integer({ min: 0, max: 65_535 });
const ASSIGNMENT = fc.record({
  one: KEY,
  other: KEY,
  owner: fc.constantFrom('a', 'b', 'c'),
  fence: fc.nat(3),
});

/** Applies changes of owner to ranges. */
function assign(
  start: readonly KeyRange[],
  edits: readonly { one: number; other: number; owner: string; fence: number }[],
): readonly KeyRange[] {
  return edits.reduce((ranges, { one, other, owner, fence }) => {
    const span = { from: Math.min(one, other), to: Math.max(one, other) };
    return mergeAdjacentRanges(changeSpan(ranges, span, (range) => ({ ...range, owner, fence })));
  }, start);
}

test('overlaying the changed ranges on the previous ranges gives the current ranges', (t) => {
  fc.assert(
    fc.property(
      fc.array(ASSIGNMENT, { maxLength: 12 }),
      fc.array(ASSIGNMENT, { maxLength: 4 }),
      (earlier, later) => {
        const before = assign(unownedRanges(), earlier);
        const after = assign(before, later);
        t.deepEqual(overlayRanges(before, changedRanges(before, after)), after);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test('moving one key publishes only the ranges around it', (t) => {
  const owners = Array.from({ length: 256 }, (_, at) => ({
    one: at * 256,
    other: at * 256 + 255,
    owner: at % 2 === 0 ? 'a' : 'b',
    fence: at,
  }));
  const before = assign(unownedRanges(), owners);
  const after = assign(before, [{ one: 1_000, other: 1_000, owner: 'c', fence: 9 }]);
  t.is(changedRanges(before, after).length, 3);
});
