/** Replays of uneven demand for keys against the planning loop; the figures are printed. */
import test from 'ava';
import { formatReplay, replayBalance, type ReplayOptions } from './balance-replay.js';

interface Load extends Omit<ReplayOptions, 'seed'> {
  readonly name: string;
  /** A plan that moves keys too late, or more of them than it helps, serves less than this share. */
  readonly minServed: number;
}

/** Keys moved in 45 s as a multiple of all keys; a plan that follows the noise of its measurements moves more. */
const MAX_MOVED = 0.2;

const LOADS: readonly Load[] = [
  { name: 'uneven demand', minServed: 0.93 },
  { name: 'uneven demand, a quarter of it', demand: 0.25, minServed: 0.98 },
  { name: 'even demand', uneven: false, minServed: 0.98 },
  { name: 'an owner 12 times slower for 9 s', slowdown: slowFor(9_000, 12), minServed: 0.93 },
  { name: 'an owner cold for 5 s', slowdown: slowFor(5_000, 3.9), minServed: 0.93 },
];

/** Returns the slowdown of one owner from the middle of a load's first wave on. */
function slowFor(durationMs: number, factor: number): (owner: number, nowMs: number) => number {
  return (owner, nowMs) => (owner === 5 && nowMs >= 8_000 && nowMs < 8_000 + durationMs ? factor : 1);
}

for (const { name, minServed, ...options } of LOADS) {
  test(`replay: ${name}`, async (t) => {
    for (const seed of [1, 2, 3]) {
      const result = await replayBalance({ ...options, seed });
      t.log(formatReplay(`seed ${String(seed)}`, result));
      t.true(result.served > minServed);
      t.true(result.moved < MAX_MOVED);
      t.is(result.returned, 0, 'keys moved back and forth');
    }
  });
}
