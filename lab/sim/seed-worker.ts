/** Worker thread that runs simulations one at a time. */
import { parentPort } from 'node:worker_threads';
import { findScenario } from './scenarios.js';
import type { SeedTask } from './seed-runner.js';
import { GUARD_NAMES } from './sim-guards.js';
import { runSimulation } from './sim-run.js';

async function run({ scenario: name, seed, withoutGuard: guardName }: SeedTask): Promise<void> {
  const scenario = findScenario(name);
  if (scenario === undefined) throw new Error(`no scenario is called ${name}`);
  const withoutGuard = GUARD_NAMES.find((guard) => guard === guardName) ?? null;
  parentPort?.postMessage(await runSimulation({ scenario, seed, withoutGuard }));
}

parentPort?.on('message', (task: SeedTask) => {
  void run(task);
});
