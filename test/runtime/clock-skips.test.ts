/** Detection of recent suspensions, after which a leader must not rely on the silence of its peers. */
import test from 'ava';
import { ClockSkips } from '../../src/runtime/clock-skips.js';

test('a skip of the clock is reported for the given period', (t) => {
  let steadyMs = 1_000;
  let skippedMs = 0;
  const skips = new ClockSkips({ steadyMs: () => steadyMs, nowMs: () => steadyMs + skippedMs });
  t.false(skips.skippedWithin(500));
  skippedMs = 4_000;
  t.true(skips.skippedWithin(500));
  steadyMs += 499;
  t.true(skips.skippedWithin(500));
  steadyMs += 1;
  t.false(skips.skippedWithin(500));
});
