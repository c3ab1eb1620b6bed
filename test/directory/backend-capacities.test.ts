/** Which capacities of back ends are in effect after reports that come and go. */
import test from 'ava';
import { BackendCapacities } from '../../src/directory/backend-capacities.js';
import type { BackendInstance } from '../../src/directory/directory-state.js';

const INSTANCE: BackendInstance = {
  id: 'a',
  service: 's',
  zone: 'z',
  daemonAddress: 'a:1',
  slots: 6,
  condition: 'ready',
  version: 'v1',
  session: 1,
};

function usable(capacities: BackendCapacities, nowMs: number): number | undefined {
  return capacities.usableSlots([INSTANCE], nowMs).get('a');
}

test('a back end without a report can use all its slots', (t) => {
  const capacities = new BackendCapacities();
  capacities.report('a', null, 0);
  t.is(usable(capacities, 0), undefined);
});

test('a lower capacity takes effect at once, a higher one when the lower has not been reported for 8 s', (t) => {
  const capacities = new BackendCapacities();
  capacities.report('a', 0.5, 0);
  t.is(usable(capacities, 10), 0.5);
  capacities.report('a', 2, 5_000);
  t.is(usable(capacities, 7_990), 0.5);
  capacities.report('a', 2, 8_000);
  t.is(usable(capacities, 8_000), 2);
});

test('a capacity that is no longer reported stays in effect for 8 s', (t) => {
  const capacities = new BackendCapacities();
  capacities.report('a', 0.5, 0);
  capacities.report('a', null, 1_000);
  t.is(usable(capacities, 7_990), 0.5);
  t.is(usable(capacities, 8_000), undefined);
});

test('a back end that accepts nothing counts with a small capacity', (t) => {
  const capacities = new BackendCapacities();
  capacities.report('a', 0, 0);
  t.is(usable(capacities, 0), 0.05);
});
