/** `aldertide-lab soak`. */
import { execFileSync } from 'node:child_process';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import {
  numberOption,
  printJson,
  printLine,
  textOption,
  usageError,
  type Options,
} from '../../src/cli/command-line.js';
import { ALL_SOAK_TROUBLES, type SoakTroubleKind } from '../soak/soak-plan.js';
import { SOAK_REGRESSIONS } from '../soak/soak-regressions.js';
import { runSoak, type SoakReport } from '../soak/soak-run.js';

/** Root of the repository, as seen from the compiled file. */
const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const MS_PER_MINUTE = 60_000;

/** Seeds that run side by side; each has nine processes. */
const USUAL_SIDE_BY_SIDE = 3;
const MOST_SIDE_BY_SIDE = 4;

/** `soak`. */
export async function soakCommand(options: Options): Promise<number> {
  const minutes = numberOption(options, 'minutes', 1);
  const first = numberOption(options, 'seed', 1);
  const sideBySide = numberOption(options, 'jobs', USUAL_SIDE_BY_SIDE);
  const only = textOption(options, 'only');
  const count = options['count'] === undefined ? null : numberOption(options, 'count', 1);
  if (minutes === null || first === null || sideBySide === null || minutes <= 0) {
    return usageError('--minutes, --seed and --jobs take numbers');
  }
  if (sideBySide < 1 || sideBySide > MOST_SIDE_BY_SIDE) {
    return usageError(`--jobs takes a number from 1 to ${MOST_SIDE_BY_SIDE}`);
  }
  const kind = ALL_SOAK_TROUBLES.find((known) => known === only) ?? null;
  if (only !== null && kind === null)
    return usageError(`--only takes one of ${ALL_SOAK_TROUBLES.join(', ')}`);
  execFileSync(process.execPath, ['deploy/build.mjs'], { cwd: ROOT, stdio: 'ignore' });
  const regressions = options['regressions'] === true;
  const seeds = seedsToPlay({ regressions, count, first, minutes });
  const reports = await playAll(seeds, sideBySide, kind, textOption(options, 'folder'));
  return summarize(reports, options);
}

/** What is played: the seeds that failed once, so many seeds, or new ones for some time. */
interface SeedChoice {
  readonly regressions: boolean;
  readonly count: number | null;
  readonly first: number;
  readonly minutes: number;
}

function seedsToPlay({ regressions, count, first, minutes }: SeedChoice): Iterator<number> {
  if (regressions) return SOAK_REGRESSIONS.map(({ seed }) => seed)[Symbol.iterator]();
  if (count !== null) return Array.from({ length: count }, (_, at) => first + at)[Symbol.iterator]();
  return freshSeeds(first, performance.now() + minutes * MS_PER_MINUTE);
}

function* freshSeeds(first: number, endMs: number): Generator<number> {
  for (let seed = first; performance.now() < endMs; seed += 1) yield seed;
}

async function playAll(
  seeds: Iterator<number>,
  sideBySide: number,
  only: SoakTroubleKind | null,
  folder: string | null,
): Promise<SoakReport[]> {
  const reports: SoakReport[] = [];
  const program = join(ROOT, 'target', 'aldertide.cjs');
  const player = async (): Promise<void> => {
    for (let next = seeds.next(); next.done !== true; next = seeds.next()) {
      const places = { program, folder: folder ?? join(ROOT, 'runs', 'soak') };
      const report = await runSoak({ seed: next.value, only, ...places });
      reports.push(report);
      process.stderr.write(`${formatReport(report)}\n`);
    }
  };
  await Promise.all(Array.from({ length: sideBySide }, player));
  return reports;
}

function formatReport({ seed, grantMode, counts, changes, troubles, violations }: SoakReport): string {
  const sums = `${counts.sent} requests: ${counts.answered} answered, ${counts.refused} refused, ${counts.failed} failed, ${counts.left} left`;
  const head = `seed ${seed} (${grantMode}): ${sums}; ${changes} changes; ${troubles.join(', ')}`;
  return [head, ...violations.map(({ promise, detail }) => `  BROKEN ${promise}: ${detail}`)].join('\n');
}

function summarize(reports: readonly SoakReport[], options: Options): number {
  const violations = reports.flatMap(({ seed, violations: found }) =>
    found.map((violation) => ({ seed, ...violation })),
  );
  const requests = reports.reduce((sum, { counts }) => sum + counts.sent, 0);
  const faults = reports.flatMap(({ troubles }) => troubles);
  if (options['json'] === true)
    printJson({ seeds: reports.map(({ seed }) => seed), requests, faults, violations });
  else
    printLine(
      `${reports.length} seeds, ${requests} requests, ${faults.length} troubles, ${violations.length} broken`,
    );
  return violations.length === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}
