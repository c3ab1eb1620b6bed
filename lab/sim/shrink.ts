/** Finds a shorter schedule of faults that still breaks the same invariant. */
import type { Scenario } from './scenarios.js';
import type { SimFault } from './sim-faults.js';
import { runSimulation, type SimResult } from './sim-run.js';

/** Leaves out one fault after the other while the first broken invariant stays broken. */
export async function shrink(scenario: Scenario, failing: SimResult): Promise<readonly SimFault[]> {
  const wanted = failing.violations[0]?.invariant;
  let faults = failing.faults;
  for (let at = 0; at < faults.length;) {
    const fewer = faults.filter((_, position) => position !== at);
    const { violations } = await runSimulation({ scenario, seed: failing.seed, faults: fewer });
    if (violations.some(({ invariant }) => invariant === wanted)) faults = fewer;
    else at += 1;
  }
  return faults;
}
