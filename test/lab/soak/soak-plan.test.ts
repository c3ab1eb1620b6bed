import test from 'ava';
import { ALL_SOAK_TROUBLES, planSoak } from '../../../lab/soak/soak-plan.js';

const SEEDS = Array.from({ length: 300 }, (_, at) => at + 1);

test('the same seed gives the same plan', (t) => {
  t.deepEqual(planSoak(7), planSoak(7));
});

test('the plans of many seeds contain every kind of trouble and both grant modes', (t) => {
  const plans = SEEDS.map((seed) => planSoak(seed));
  const kinds = new Set(plans.flatMap(({ troubles }) => troubles.map(({ kind }) => kind)));
  t.deepEqual([...kinds].sort(), [...ALL_SOAK_TROUBLES].sort());
  t.deepEqual([...new Set(plans.map(({ grantMode }) => grantMode))].sort(), ['heartbeat', 'invoke']);
});

test('troubles are ordered by time and begin within the troubled phase', (t) => {
  for (const plan of SEEDS.map((seed) => planSoak(seed))) {
    const times = plan.troubles.map(({ atMs }) => atMs);
    t.true(times.every((atMs) => atMs >= 0 && atMs < plan.troubledMs));
    t.deepEqual(
      times,
      [...times].sort((left, right) => left - right),
    );
  }
});

test('a plan can be limited to one kind of trouble', (t) => {
  const { troubles } = planSoak(3, 'wipe-directory');
  t.true(troubles.every(({ kind }) => kind === 'wipe-directory'));
});
