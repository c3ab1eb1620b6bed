/** Random damage to what one process sends to another. */
import type { Random } from '../../lab/random.js';

const ODD_VALUES: readonly unknown[] = [
  null,
  true,
  '',
  'x',
  'a\r\nb: c',
  '\0',
  '\u{d800}',
  'é\u0100',
  0,
  -1,
  0.5,
  1e308,
  Number.MAX_SAFE_INTEGER,
  [],
  [null],
  ['a'],
  ['a', 1],
  [[]],
  {},
  { length: 2 },
  { __proto__: null, toString: 1 },
];

const MAX_NESTED_DAMAGE = 4;

/** Returns a JSON value with one of its parts replaced, removed or added. */
export function damageJson(value: unknown, random: Random, depth = 0): unknown {
  const isLeaf = typeof value !== 'object' || value === null || depth >= MAX_NESTED_DAMAGE;
  if (isLeaf || random.below(8) === 0) return random.pick(ODD_VALUES);
  if (Array.isArray(value)) return damageList(value, random, depth);
  const entries = Object.entries(value);
  if (entries.length === 0) return random.pick(ODD_VALUES);
  const at = random.below(entries.length);
  const kept = entries.filter((_, index) => index !== at);
  if (random.below(6) === 0) return Object.fromEntries(kept);
  const [name, part] = entries[at] ?? ['', null];
  return { ...Object.fromEntries(kept), [name]: damageJson(part, random, depth + 1) };
}

function damageList(list: readonly unknown[], random: Random, depth: number): unknown {
  if (list.length === 0) return [random.pick(ODD_VALUES)];
  const at = random.below(list.length);
  if (random.below(3) === 0) return list.toSpliced(at, 1);
  return list.with(at, damageJson(list[at], random, depth + 1));
}

/** Returns bytes of which a few are replaced, removed, doubled or added; at times only random bytes, or only a part. */
export function damageBytes(bytes: Buffer, random: Random): Buffer {
  const kind = random.below(8);
  if (kind === 0) return randomBytes(random, 1 + random.below(400));
  if (kind === 1) return bytes.subarray(0, random.below(bytes.length));
  let damaged = bytes;
  for (let count = 1 + random.below(3); count > 0; count -= 1) damaged = damageOnce(damaged, random);
  return damaged;
}

function damageOnce(bytes: Buffer, random: Random): Buffer {
  const at = random.below(bytes.length);
  const end = at + 1 + random.below(4);
  const before = bytes.subarray(0, at);
  switch (random.below(4)) {
    case 0:
      return Buffer.concat([before, bytes.subarray(end)]);
    case 1:
      return Buffer.concat([before, bytes.subarray(at, end), bytes.subarray(at)]);
    case 2:
      return Buffer.concat([before, randomBytes(random, 1 + random.below(4)), bytes.subarray(at)]);
    default:
      return Buffer.concat([before, randomBytes(random, 1), bytes.subarray(at + 1)]);
  }
}

function randomBytes(random: Random, count: number): Buffer {
  return Buffer.from(Array.from({ length: count }, () => random.below(256)));
}
