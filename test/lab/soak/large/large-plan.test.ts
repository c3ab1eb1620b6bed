import test from 'ava';
import { planLargeSoak } from '../../../../lab/soak/large/large-plan.js';

const SIZE = { sidecars: 68, directories: 5, requestsPerSecond: 900, slots: 18, busyProcesses: 0 };

test('the same seed gives the same plan, and other seeds give other troubles', (t) => {
  t.deepEqual(planLargeSoak(7, SIZE), planLargeSoak(7, SIZE));
  t.notDeepEqual(planLargeSoak(7, SIZE).troubles, planLargeSoak(8, SIZE).troubles);
});

test('the machines have the requested numbers, and numbers of their own', (t) => {
  for (const sidecars of [6, 12, 68, 120]) {
    const { sidecarMachines, directoryMachines } = planLargeSoak(1, { ...SIZE, sidecars });
    t.is(sidecarMachines.length, sidecars);
    const numbers = [...sidecarMachines, ...directoryMachines].map(({ number }) => number);
    t.is(new Set(numbers).size, numbers.length);
    t.true(Math.max(...numbers) < 255);
  }
});

test('both ways of losing all daemons come up', (t) => {
  const kinds = new Set(Array.from({ length: 50 }, (_, seed) => planLargeSoak(seed, SIZE).loss));
  t.deepEqual([...kinds].sort(), ['all-killed', 'all-lose-power']);
});
