import test from 'ava';
import { AwaitedChanges } from '../../../lab/soak/awaited-changes.js';

function setUp(): { changes: AwaitedChanges; overdue: string[] } {
  const overdue: string[] = [];
  const changes = new AwaitedChanges({ baseMs: 4_000, perRouteMs: 3 }, (detail) => overdue.push(detail));
  return { changes, overdue };
}

test('an unacknowledged change is reported once, after it has waited for longer than its bound without faults', (t) => {
  const { changes, overdue } = setUp();
  changes.begin('one', 0);
  for (let nowMs = 0; nowMs <= 4_000; nowMs += 50) changes.check(true, nowMs);
  t.deepEqual(overdue, []);
  changes.check(true, 4_050);
  changes.check(true, 4_100);
  t.deepEqual(overdue, ['one has no acknowledgement after 4050 ms of calm']);
});

test('the bound grows with each route, and an acknowledged change is not reported', (t) => {
  const { changes, overdue } = setUp();
  changes.begin('long', 1_000);
  const end = changes.begin('taken', 0);
  changes.check(true, 0);
  end();
  changes.check(true, 7_000);
  t.deepEqual(overdue, []);
  changes.check(true, 7_001);
  t.is(overdue.length, 1);
});

test('a fault restarts the wait', (t) => {
  const { changes, overdue } = setUp();
  changes.begin('one', 0);
  changes.check(true, 0);
  changes.check(true, 3_900);
  changes.check(false, 3_950);
  changes.check(true, 4_000);
  changes.check(true, 8_000);
  t.deepEqual(overdue, []);
  changes.check(true, 8_001);
  t.is(overdue.length, 1);
});
