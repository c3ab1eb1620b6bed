import test from 'ava';
import { AwaitedChanges } from '../../../lab/soak/awaited-changes.js';

function setUp(): { changes: AwaitedChanges; overdue: string[] } {
  const overdue: string[] = [];
  const changes = new AwaitedChanges({ orderMs: 4_000, perRouteMs: 3 }, (detail) => overdue.push(detail));
  return { changes, overdue };
}

test('an order without an acknowledgement is told once it has waited for longer than its bound in calm', (t) => {
  const { changes, overdue } = setUp();
  changes.begin('one', 0);
  for (let nowMs = 0; nowMs <= 4_000; nowMs += 50) changes.look(true, nowMs);
  t.deepEqual(overdue, []);
  changes.look(true, 4_050);
  changes.look(true, 4_100);
  t.deepEqual(overdue, ['one has no acknowledgement after 4050 ms of calm']);
});

test('the bound is longer for each route, and an acknowledged order is due no more', (t) => {
  const { changes, overdue } = setUp();
  changes.begin('long', 1_000);
  const end = changes.begin('taken', 0);
  changes.look(true, 0);
  end();
  changes.look(true, 7_000);
  t.deepEqual(overdue, []);
  changes.look(true, 7_001);
  t.is(overdue.length, 1);
});

test('whatever goes amiss begins the wait anew', (t) => {
  const { changes, overdue } = setUp();
  changes.begin('one', 0);
  changes.look(true, 0);
  changes.look(true, 3_900);
  changes.look(false, 3_950);
  changes.look(true, 4_000);
  changes.look(true, 8_000);
  t.deepEqual(overdue, []);
  changes.look(true, 8_001);
  t.is(overdue.length, 1);
});
