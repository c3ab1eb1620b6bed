/**
 * An operator's first change was answered as of unknown outcome within a second of the first election, although no leader
 * was lost: replicas that had never led gave up what waited with each change of their role, also what had just been asked
 * of them. What they have not appended to the log is certain not to be applied.
 */
import test from 'ava';
import { findScenario } from '../../lab/sim/scenarios.js';
import { SimWorld } from '../../lab/sim/sim-world.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const ASK_EVERY_MS = 0.5;
const FORMED_MS = 3_000;

for (const seed of SEEDS) {
  test(`during the first election nobody is told that an outcome is unknown: seed ${seed}`, async (t) => {
    const scenario = findScenario('calm');
    if (scenario === undefined) throw new Error('invariant broken: no scenario');
    const world = new SimWorld({ scenario, seed, withoutGuard: null, trace: null });
    await world.start();
    const answers: Record<string, number> = {};
    const count = (answer: string): void => {
      answers[answer] = (answers[answer] ?? 0) + 1;
    };
    const ask = (): void => {
      for (const { node } of world.control) {
        void node?.propose({ kind: 'set-drain', backend: 'none', draining: true }).then((answer) => {
          count(answer.ok ? 'an outcome' : answer.val.kind);
        });
      }
      if (world.queue.nowMs < FORMED_MS) world.queue.at(world.queue.nowMs + ASK_EVERY_MS, ask);
    };
    ask();
    while (world.queue.runNext(FORMED_MS)) await new Promise((resolve) => setImmediate(resolve));
    t.true((answers['an outcome'] ?? 0) > 0);
    t.is(answers['outcome-unknown'] ?? 0, 0, JSON.stringify(answers));
  });
}
