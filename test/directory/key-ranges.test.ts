/** What is published of a change of ranges, and what a daemon makes of it. */
import test from 'ava';
import fc from 'fast-check';
import type { KeyRange } from '../../src/directory/directory-state.js';
import {
  changedRanges,
  changeSpan,
  joinNeighbours,
  overlayRanges,
  unownedRanges,
} from '../../src/directory/key-ranges.js';

const SEED = 7;
const KEY = fc.integer({ min: 0, max: 65_535 });
const EDIT = fc.record({ one: KEY, other: KEY, owner: fc.constantFrom('a', 'b', 'c'), fence: fc.nat(3) });

/** Ranges after some changes of owner. */
function edited(
  start: readonly KeyRange[],
  edits: readonly { one: number; other: number; owner: string; fence: number }[],
): readonly KeyRange[] {
  return edits.reduce((ranges, { one, other, owner, fence }) => {
    const span = { from: Math.min(one, other), to: Math.max(one, other) };
    return joinNeighbours(changeSpan(ranges, span, (range) => ({ ...range, owner, fence })));
  }, start);
}

test('what was changed, put over what was known, gives what is', (t) => {
  fc.assert(
    fc.property(fc.array(EDIT, { maxLength: 12 }), fc.array(EDIT, { maxLength: 4 }), (earlier, later) => {
      const before = edited(unownedRanges(), earlier);
      const after = edited(before, later);
      t.deepEqual(overlayRanges(before, changedRanges(before, after)), after);
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('one moved key among many ranges publishes the pieces around it, not all ranges', (t) => {
  const owners = Array.from({ length: 256 }, (_, at) => ({
    one: at * 256,
    other: at * 256 + 255,
    owner: at % 2 === 0 ? 'a' : 'b',
    fence: at,
  }));
  const before = edited(unownedRanges(), owners);
  const after = edited(before, [{ one: 1_000, other: 1_000, owner: 'c', fence: 9 }]);
  t.is(changedRanges(before, after).length, 3);
});
