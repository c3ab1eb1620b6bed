/** Retry allowances of all sidecars against the shared budget. */
import test from 'ava';
import { RetryAllowance } from '../../src/sidecar/retry-allowance.js';

const BUDGET = { ratio: 0.2, extra: 60, windowMs: 10_000 };

test('the allowances of all sidecars together stay within the budget in every window', (t) => {
  const daemons = 12;
  const allowances = Array.from({ length: daemons }, () => new RetryAllowance(BUDGET));
  const repeats: number[] = [];
  const requests: number[] = [];
  for (let nowMs = 0; nowMs < 40_000; nowMs += 20) {
    for (const allowance of allowances) {
      if (nowMs % 100 === 0) {
        allowance.recordRequest(nowMs);
        requests.push(nowMs);
      }
      if (allowance.takeRepeat(nowMs, daemons)) repeats.push(nowMs);
    }
  }
  for (let from = 0; from <= 30_000; from += 500) {
    const inWindow = (at: number): boolean => at >= from && at < from + BUDGET.windowMs;
    const allowed = requests.filter(inWindow).length * BUDGET.ratio + BUDGET.extra;
    t.true(repeats.filter(inWindow).length <= allowed);
  }
});

test('a single sidecar may use half of the fixed number at once', (t) => {
  const allowance = new RetryAllowance(BUDGET);
  let taken = 0;
  while (allowance.takeRepeat(0, 1)) taken += 1;
  t.is(taken, 30);
});
