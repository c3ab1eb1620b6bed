/** Shows that each guard is needed: without it, a scenario breaks an invariant within a given number of seeds. */
import { GUARD_NAMES, GUARD_PURPOSE, type GuardName } from './sim-guards.js';
import { runTasks } from './seed-runner.js';

/** Scenario that detects the absence of a guard. */
interface GuardCase {
  readonly scenario: string;
  /** Number of seeds tried, starting at 1. */
  readonly seeds: number;
}

/** Scenario and number of seeds that detect the absence of each guard. */
export const GUARD_CASES: Readonly<Record<GuardName, GuardCase>> = {
  'vote-is-synced': { scenario: 'everything', seeds: 400 },
  'log-is-synced': { scenario: 'second-failure', seeds: 48 },
  'new-identity-after-lost-disk': { scenario: 'second-failure', seeds: 64 },
  'new-leader-waits-a-term': { scenario: 'leader-lost', seeds: 40 },
  'epoch-is-checked': { scenario: 'router-cut', seeds: 100 },
  'lease-deadline-is-checked': { scenario: 'owner-frozen', seeds: 40 },
  'grant-is-checked-again-before-the-change': { scenario: 'owner-frozen', seeds: 200 },
  'window-is-handed-over': { scenario: 'drain', seeds: 100 },
  'freshness-is-proven': { scenario: 'owner-lost', seeds: 200 },
  'holder-starts-from-sending': { scenario: 'machine-cut', seeds: 100 },
};

/**
 * Guards whose absence no scenario detects yet: they matter only when two replicas fail in ways that the schedules do not
 * produce. `npm run guards` reports them as not noticed; see docs/PROMISES.md.
 */
export const UNDETECTED_GUARDS: readonly GuardName[] = [
  'vote-is-synced',
  'log-is-synced',
  'new-identity-after-lost-disk',
];

/** Result for one guard. */
export interface GuardFinding {
  readonly guard: GuardName;
  readonly purpose: string;
  readonly scenario: string;
  /** First seed that breaks an invariant without the guard, or null if none of those tried does. */
  readonly seed: number | null;
  readonly invariant: string | null;
  readonly seedsTried: number;
}

/** Runs the scenarios of all guards. */
export async function checkGuards(threads: number): Promise<GuardFinding[]> {
  const findings: GuardFinding[] = [];
  for (const guard of GUARD_NAMES) findings.push(await checkGuard(guard, threads));
  return findings;
}

/** Runs the scenario of one guard without it, a batch of seeds at a time. */
export async function checkGuard(guard: GuardName, threads: number): Promise<GuardFinding> {
  const { scenario, seeds } = GUARD_CASES[guard];
  const found = { guard, purpose: GUARD_PURPOSE[guard], scenario };
  const batch = threads * 2;
  for (let first = 1; first <= seeds; first += batch) {
    const count = Math.min(batch, seeds - first + 1);
    const tasks = Array.from({ length: count }, (_, at) => ({
      scenario,
      seed: first + at,
      withoutGuard: guard,
    }));
    const results = await runTasks(tasks, threads);
    const broken = results.find(({ violations }) => violations.length > 0);
    if (broken === undefined) continue;
    const invariant = broken.violations[0]?.invariant ?? null;
    return { ...found, seed: broken.seed, invariant, seedsTried: first + count - 1 };
  }
  return { ...found, seed: null, invariant: null, seedsTried: seeds };
}
