/** How fast back ends are beside each other. */
import test from 'ava';
import { BackendSpeeds } from '../../src/directory/backend-speeds.js';

interface Case {
  readonly name: string;
  readonly told: readonly (readonly [string, number | null])[];
  readonly speed: number;
}

const CASES: readonly Case[] = [
  { name: 'nothing is known', told: [], speed: 1 },
  { name: 'one alone is in the middle', told: [['a', 300]], speed: 1 },
  {
    name: 'what is not known is not counted',
    told: [
      ['a', 300],
      ['b', null],
    ],
    speed: 1,
  },
  {
    name: 'one that needs half the time of the middle one',
    told: [
      ['a', 100],
      ['b', 200],
      ['c', 400],
    ],
    speed: 2,
  },
  {
    name: 'the middle of an even number',
    told: [
      ['a', 300],
      ['b', 100],
    ],
    speed: 2 / 3,
  },
  {
    name: 'no more than a bound is believed',
    told: [
      ['a', 9_000],
      ['b', 100],
      ['c', 100],
    ],
    speed: 0.4,
  },
];

for (const { name, told, speed } of CASES) {
  test(name, (t) => {
    const speeds = new BackendSpeeds();
    for (const [id, serviceMs] of told) speeds.note(id, serviceMs);
    t.true(Math.abs(speeds.speedOf('a') - speed) < 1e-9);
  });
}

test('a back end that is gone counts no more', (t) => {
  const speeds = new BackendSpeeds();
  speeds.note('a', 100);
  speeds.note('b', 300);
  speeds.keepOnly(new Set(['a']));
  t.is(speeds.speedOf('a'), 1);
  t.is(speeds.speedOf('b'), 1);
});
