/** Guards against dense texts that are taken for sparse ones, and against texts that are refused for what their strings hold. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { mayHoldMoreValues } from '../../src/model/value-count.js';

const TEXTS = ['', ',[{', '\\', '"', '\\"', 'a,\\\\"[', 'ä€,'];

function randomValue(random: Random, depth: number): unknown {
  const kind = depth === 0 ? 0 : random.below(4);
  const count = random.below(5);
  if (kind === 1) return Array.from({ length: count }, () => randomValue(random, depth - 1));
  if (kind > 1) {
    const members = Array.from({ length: count }, (_, at) => [
      `${random.pick(TEXTS)}${at}`,
      randomValue(random, depth - 1),
    ]);
    return Object.fromEntries(members) as unknown;
  }
  return random.below(2) === 0 ? random.pick(TEXTS) : random.below(100);
}

/** Number of values, with each empty list and object counted once more for its bracket, and each first member not at all. */
function separatorsOf(value: unknown): number {
  if (typeof value !== 'object' || value === null) return 0;
  const members = Object.values(value);
  return members.reduce<number>(
    (sum, member) => sum + separatorsOf(member),
    1 + Math.max(0, members.length - 1),
  );
}

test('values are counted whatever the strings hold', (t) => {
  for (let seed = 1; seed <= 300; seed += 1) {
    const value = randomValue(new Random(seed), 4);
    for (const text of [JSON.stringify(value), JSON.stringify(value, null, 2)]) {
      const count = separatorsOf(value);
      t.false(mayHoldMoreValues(text, count), `seed ${seed}: ${text}`);
      if (count > 0) t.true(mayHoldMoreValues(text, count - 1), `seed ${seed}: ${text}`);
    }
  }
});
