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

test('the same seed gives the same trace, and another seed another', async (t) => {
  const traceOf = async (seed: number): Promise<string> => {
    const lines: string[] = [];
    await runSimulation({ scenario: scenario('everything'), seed, trace: (line) => void lines.push(line) });
    return lines.join('\n');
  };
  const first = await traceOf(7);
  t.is(await traceOf(7), first);
  t.not(await traceOf(8), first);
});

test('a replay file brings the same run back', async (t) => {
  const given = scenario('operators-race');
  const direct = await runSimulation({ scenario: given, seed: 5 });
  const text = writeReplay({ scenario: given.name, seed: 5, faults: direct.faults });
  const replay = readReplay(text).unwrap();
  t.deepEqual(await runSimulation({ scenario: given, seed: replay.seed, faults: replay.faults }), direct);
});

test('a replay file that makes no sense is an error, not an exception', (t) => {
  for (const text of ['', '{', '{}', '{"scenario":"calm","seed":1,"faults":[{"kind":"earthquake"}]}']) {
    t.true(readReplay(text).err, text);
  }
});
