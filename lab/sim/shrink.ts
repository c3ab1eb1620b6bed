/** Shrinks a schedule of faults to a shorter one that still breaks the same invariant. */
import type { Scenario } from './scenarios.js';
import type { SimFault } from './sim-faults.js';
import { runSimulation, type SimResult } from './sim-run.js';

/** Removes each fault in turn if the first broken invariant is still broken without it. */
export async function shrink(scenario: Scenario, failing: SimResult): Promise<readonly SimFault[]> {
  const targetInvariant = failing.violations[0]?.invariant;
  let faults = failing.faults;
  for (let at = 0; at < faults.length;) {
    const fewer = faults.filter((_, position) => position !== at);
    const { violations } = await runSimulation({ scenario, seed: failing.seed, faults: fewer });
    if (violations.some(({ invariant }) => invariant === targetInvariant)) faults = fewer;
    else at += 1;
  }
  return faults;
}
