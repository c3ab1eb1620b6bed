import test from 'ava';
import { SCENARIOS, findScenario, type Scenario } from '../../lab/sim/scenarios.js';
import { readReplay, writeReplay } from '../../lab/sim/replay-file.js';
import { runSimulation } from '../../lab/sim/sim-run.js';

const SEEDS = [1, 2, 3];

function scenario(name: string): Scenario {
  const found = findScenario(name);
  if (found === undefined) throw new Error(`no scenario ${name}`);
  return found;
}

for (const given of SCENARIOS) {
  test(`simulation: ${given.name} (${given.brief})`, async (t) => {
    for (const seed of SEEDS) {
      const { violations, answered } = await runSimulation({ scenario: given, seed });
      t.deepEqual(violations, [], `seed ${seed}`);
      t.true(answered > 0, `seed ${seed}`);
    }
  });
}

/** Seeds that once broke an invariant, and the cause. */
const REGRESSIONS: readonly (readonly [string, number, string])[] = [
  ['leader-frozen', 910_080, 'agents went back to the frozen leader, which others still named'],
  ['leader-frozen', 910_120, 'as above'],
  ['leader-frozen', 910_130, 'as above'],
  ['everything', 910_019, 'a change was lost on the way to a router, and later ones hid that'],
  ['everything', 910_087, 'as above'],
  ['everything', 910_104, 'as above'],
];

for (const [name, seed, cause] of REGRESSIONS) {
  test(`regression: ${name} ${seed} (${cause})`, async (t) => {
    const { violations } = await runSimulation({ scenario: scenario(name), seed });
    t.deepEqual(violations, []);
  });
}

test('the same seed gives the same trace, and a different seed a different one', async (t) => {
  const traceOf = async (seed: number): Promise<string> => {
    const lines: string[] = [];
    await runSimulation({ scenario: scenario('everything'), seed, trace: (line) => void lines.push(line) });
    return lines.join('\n');
  };
  const first = await traceOf(7);
  t.is(await traceOf(7), first);
  t.not(await traceOf(8), first);
});

test('a replay file reproduces the run', async (t) => {
  const given = scenario('operators-race');
  const direct = await runSimulation({ scenario: given, seed: 5 });
  const text = writeReplay({ scenario: given.name, seed: 5, faults: direct.faults });
  const replay = readReplay(text).unwrap();
  t.deepEqual(await runSimulation({ scenario: given, seed: replay.seed, faults: replay.faults }), direct);
});

test('an invalid replay file is an error, not an exception', (t) => {
  for (const text of ['', '{', '{}', '{"scenario":"calm","seed":1,"faults":[{"kind":"earthquake"}]}']) {
    t.true(readReplay(text).err, text);
  }
});
