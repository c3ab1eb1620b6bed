/** Tests of the first assignment of keys. */
import test from 'ava';
import { firstAssignment, type SpanTarget } from '../../src/directory/first-assignment.js';

const KEYS = 65_536;

function backends(count: number, slots = 8): { readonly id: string; readonly slots: number }[] {
  return Array.from({ length: count }, (_, at) => ({ id: `b${at}`, slots }));
}

/** Share of the load of the busiest back end if only the keys from `from` to `to` are asked for. */
function busiestShare(assignments: readonly SpanTarget[], from: number, to: number): number {
  const keys = new Map<string, number>();
  for (const target of assignments) {
    const common = Math.min(target.to, to) - Math.max(target.from, from) + 1;
    if (common > 0) keys.set(target.backend, (keys.get(target.backend) ?? 0) + common);
  }
  return Math.max(...keys.values()) / (to - from + 1);
}

test('busy keys that lie close together are not all given to a few back ends', (t) => {
  const busyKeys = KEYS / 5;
  const contiguous = busiestShare(firstAssignment(backends(34), false), 26_000, 26_000 + busyKeys);
  const interleaved = busiestShare(firstAssignment(backends(34), true), 26_000, 26_000 + busyKeys);
  t.true(contiguous > 4 / 34);
  t.true(interleaved < 1.5 / 34);
});

test('no key is left out or given twice, and keys are in proportion to slots', (t) => {
  for (const interleaved of [false, true]) {
    const unequal = [
      { id: 'small', slots: 2 },
      { id: 'large', slots: 6 },
    ];
    const assignments = firstAssignment(unequal, interleaved);
    let next = 0;
    for (const { from, to } of assignments) {
      t.is(from, next);
      next = to + 1;
    }
    t.is(next, KEYS);
    const large = assignments.filter(({ backend }) => backend === 'large');
    t.is(
      large.reduce((sum, { from, to }) => sum + to - from + 1, 0),
      (KEYS * 3) / 4,
    );
  }
});

test('the number of ranges does not grow with the fleet', (t) => {
  t.true(firstAssignment(backends(300), true).length <= 1_024);
  t.is(firstAssignment(backends(3_000), true).length, 3_000);
});
