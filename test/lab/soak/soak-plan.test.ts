import test from 'ava';
import { ALL_SOAK_TROUBLES, planSoak } from '../../../lab/soak/soak-plan.js';

const SEEDS = Array.from({ length: 300 }, (_, at) => at + 1);

test('the same seed gives the same plan', (t) => {
  t.deepEqual(planSoak(7), planSoak(7));
});

test('over the seeds every kind of trouble and both ways of granting come', (t) => {
  const plans = SEEDS.map((seed) => planSoak(seed));
  const kinds = new Set(plans.flatMap(({ troubles }) => troubles.map(({ kind }) => kind)));
  t.deepEqual([...kinds].sort(), [...ALL_SOAK_TROUBLES].sort());
  t.deepEqual([...new Set(plans.map(({ grantMode }) => grantMode))].sort(), ['heartbeat', 'invoke']);
});

test('troubles begin while there is time for them, in order', (t) => {
  for (const plan of SEEDS.map((seed) => planSoak(seed))) {
    const times = plan.troubles.map(({ atMs }) => atMs);
    t.true(times.every((atMs) => atMs >= 0 && atMs < plan.troubledMs));
    t.deepEqual(
      times,
      [...times].sort((left, right) => left - right),
    );
  }
});

test('one kind alone can be asked for', (t) => {
  const { troubles } = planSoak(3, 'wipe-directory');
  t.true(troubles.every(({ kind }) => kind === 'wipe-directory'));
});
