/**
 * Guards against a proposal being answered with an unknown outcome during the first election, although no leader was
 * lost. It happens when replicas that were never leader abandon their pending proposals at each role change, including
 * those just submitted within a second of the election: proposals not appended to the log are certain not to be applied.
 */
import test from 'ava';
import { findScenario } from '../../lab/sim/scenarios.js';
import { SimWorld } from '../../lab/sim/sim-world.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const PROPOSAL_INTERVAL_MS = 0.5;
const END_MS = 3_000;

for (const seed of SEEDS) {
  test(`no proposal has an unknown outcome during the first election: seed ${seed}`, async (t) => {
    const scenario = findScenario('calm');
    if (scenario === undefined) throw new Error('invariant broken: no scenario');
    const world = new SimWorld({ scenario, seed, withoutGuard: null, trace: null });
    await world.start();
    const answers: Record<string, number> = {};
    const count = (answer: string): void => {
      answers[answer] = (answers[answer] ?? 0) + 1;
    };
    const propose = (): void => {
      for (const { node } of world.control) {
        void node?.propose({ kind: 'set-drain', backend: 'none', draining: true }).then((answer) => {
          count(answer.ok ? 'an outcome' : answer.val.kind);
        });
      }
      if (world.queue.nowMs < END_MS) world.queue.at(world.queue.nowMs + PROPOSAL_INTERVAL_MS, propose);
    };
    propose();
    while (world.queue.runNext(END_MS)) await new Promise((resolve) => setImmediate(resolve));
    t.true((answers['an outcome'] ?? 0) > 0);
    t.is(answers['outcome-unknown'] ?? 0, 0, JSON.stringify(answers));
  });
}
