import test from 'ava';
import { StallLog } from '../../../../lab/soak/large/stall-log.js';

test('what is seen right after a stall may have happened since its begin, and what is seen later may not', (t) => {
  let nowMs = 0;
  const stalls = new StallLog(() => nowMs);
  for (nowMs = 10; nowMs <= 100; nowMs += 10) stalls.check();
  nowMs = 600;
  t.is(stalls.earliestMs(600), 100);
  t.is(stalls.longestMs, 500);
  for (nowMs = 610; nowMs <= 700; nowMs += 10) stalls.check();
  t.is(stalls.earliestMs(700), 700);
});
