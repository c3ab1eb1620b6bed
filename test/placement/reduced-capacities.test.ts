/** Which capacities of back ends are in effect after reports that come and go. */
import test from 'ava';
import { ReducedCapacities } from '../../src/placement/reduced-capacities.js';

test('a back end without a report is not reduced', (t) => {
  const capacities = new ReducedCapacities();
  capacities.report('a', null, 0);
  t.is(capacities.capacityOf('a', 0), null);
});

test('a lower capacity takes effect at once, a higher one when the lower has not been reported for 8 s', (t) => {
  const capacities = new ReducedCapacities();
  capacities.report('a', 0.5, 0);
  t.is(capacities.capacityOf('a', 10), 0.5);
  capacities.report('a', 2, 5_000);
  t.is(capacities.capacityOf('a', 7_990), 0.5);
  capacities.report('a', 2, 8_000);
  t.is(capacities.capacityOf('a', 8_000), 2);
});

test('a capacity that is no longer reported stays in effect for 8 s', (t) => {
  const capacities = new ReducedCapacities();
  capacities.report('a', 0, 0);
  capacities.report('a', null, 1_000);
  t.is(capacities.capacityOf('a', 7_990), 0);
  t.is(capacities.capacityOf('a', 8_000), null);
});
