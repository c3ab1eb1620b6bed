/** `aldertide-lab large-soak`. */
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
import { runLargeSoak, type LargeSoakReport, type PhaseCounts } from '../soak/large/large-run.js';

/** Root of the repository, as seen from the compiled file. */
const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Largest number of sidecars, which keeps a run below a few hundred processes and half of the memory. */
const MAX_SIDECARS = 120;

/** `large-soak`. */
export async function largeSoakCommand(options: Options): Promise<number> {
  const seed = numberOption(options, 'seed', 1);
  const count = numberOption(options, 'count', 1);
  const sidecars = numberOption(options, 'sidecars', 1);
  const directories = numberOption(options, 'directories', 1);
  const requestsPerSecond = numberOption(options, 'rate', 1);
  const slots = numberOption(options, 'slots', 1);
  const busyProcesses = numberOption(options, 'busy', 0);
  if (
    seed === null ||
    count === null ||
    sidecars === null ||
    directories === null ||
    requestsPerSecond === null ||
    slots === null ||
    busyProcesses === null
  )
    return usageError('--seed, --count, --sidecars, --directories, --rate, --slots and --busy take numbers');
  if (sidecars < 6 || sidecars > MAX_SIDECARS) return usageError(`--sidecars takes 6 to ${MAX_SIDECARS}`);
  execFileSync(process.execPath, ['deploy/build.mjs'], { cwd: ROOT, stdio: 'ignore' });
  const program = join(ROOT, 'target', 'aldertide.cjs');
  const folder = textOption(options, 'folder') ?? join(ROOT, 'runs', 'large-soak');
  const size = { sidecars, directories, requestsPerSecond, slots, busyProcesses };
  let broken = 0;
  for (let next = seed; next < seed + count; next += 1) {
    const report = await runLargeSoak({ seed: next, size, program, folder: join(folder, `seed-${next}`) });
    broken += report.violations.length;
    if (options['json'] === true) printJson(report);
    else printLine(formatReport(report));
  }
  printLine(`${count} seeds, ${broken} broken`);
  return broken === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}

function formatReport(report: LargeSoakReport): string {
  const { seed, loss, troubles, before, after, lateWork, serviceReturn, violations } = report;
  const { returnedAfterMs, shareBefore, shareAfterBound } = serviceReturn;
  const returned = returnedAfterMs === null ? 'never' : `after ${(returnedAfterMs / 1_000).toFixed(1)} s`;
  return [
    `seed ${seed}: ${[...troubles, loss].join(', ')}`,
    `  before: ${formatCounts(before)}, ${report.coresBefore.toFixed(1)} cores when calm`,
    `  after: ${formatCounts(after)}, cores by second ${report.coresAfter.map((cores) => cores.toFixed(1)).join(' ')}`,
    `  answered before ${shareBefore.toFixed(2)}, after the bound ${shareAfterBound.toFixed(2)}; returned ${returned}`,
    `  answered by second ${serviceReturn.sharesAfter.map((share) => share.toFixed(2)).join(' ')}`,
    `  late: ${lateWork.lateArrivals.length} arrivals of ${lateWork.left} that left, ${lateWork.continuedRuns} of ${lateWork.interruptedRuns} runs; longest stall of a host ${Math.round(report.longestHostStallMs)} ms`,
    ...violations.map((violation) => `  BROKEN ${violation}`),
  ].join('\n');
}

function formatCounts({ answered, refused, failed, left }: PhaseCounts): string {
  return `${answered} answered, ${refused} refused, ${failed} failed, ${left} left`;
}
