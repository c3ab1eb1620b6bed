/** `aldertide-lab change-soak`. */
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import { numberOption, printJson, printLine, usageError, type Options } from '../../src/cli/command-line.js';
import { runChangeSoak, type ChangeSoakReport } from '../soak/changes/change-run.js';
import type { ChangeSoakSize } from '../soak/changes/change-plan.js';
import { playSoakSeeds, readSoakSeeds } from './soak-seeds.js';

/** Seeds that run side by side. */
const MOST_SIDE_BY_SIDE = 4;

const MIN_DIRECTORIES = 3;
const MAX_DIRECTORIES = 9;
const USUAL_SIDECARS = 3;

/** Largest number of sidecars, which keeps a run below a few hundred processes and half of the memory. */
const MAX_SIDECARS = 120;

/** Machines of a large run. */
const LARGE_SIZE = { directories: 7, sidecars: 100 } as const;

const BYTES_PER_MB = 1024 * 1024;
const MS_PER_SECOND = 1_000;

/** `change-soak`. */
export async function changeSoakCommand(options: Options): Promise<number> {
  const seeds = readSoakSeeds(options, MOST_SIDE_BY_SIDE);
  if (seeds.err) return usageError(seeds.val);
  const size = readSize(options);
  if (typeof size === 'string') return usageError(size);
  const { program, folder } = seeds.val;
  const reports = await playSoakSeeds(seeds.val, async (seed) => {
    const report = await runChangeSoak({ seed, size, program, folder });
    process.stderr.write(`${formatReport(report)}\n`);
    return report;
  });
  return summarize(reports, options);
}

/** Returns the size, or a usage message. */
function readSize(options: Options): ChangeSoakSize | string {
  if (options['large'] === true) return LARGE_SIZE;
  const directories = numberOption(options, 'directories', 0);
  const sidecars = numberOption(options, 'sidecars', USUAL_SIDECARS);
  if (directories === null || sidecars === null) return '--directories and --sidecars take numbers';
  if (directories !== 0 && (directories < MIN_DIRECTORIES || directories > MAX_DIRECTORIES))
    return `--directories takes a number from ${MIN_DIRECTORIES} to ${MAX_DIRECTORIES}`;
  if (sidecars < 1 || sidecars > MAX_SIDECARS) return `--sidecars takes a number from 1 to ${MAX_SIDECARS}`;
  return { directories: directories === 0 ? null : directories, sidecars };
}

function formatReport(report: ChangeSoakReport): string {
  const { seed, profile, directories, toleratedLosses, answeredChanges, statuses, ends, requests } = report;
  const answers = Object.entries(statuses).map(([status, count]) => `${count} of ${status}`);
  const peaks = `peak ${toMb(report.directoryPeakBytes)} MB a directory, ${toMb(report.sidecarPeakBytes)} MB a sidecar`;
  const seconds = Math.round(report.durationMs / MS_PER_SECOND);
  return [
    `seed ${seed} (${profile}, ${directories} directories, ${toleratedLosses} tolerated): ${answeredChanges} changes (${answers.join(', ')}); ${ends} ends; ${peaks}; ${requests.answered} of ${requests.sent} requests answered; ${seconds} s`,
    `  ${report.troubles.join(', ')}`,
    ...report.violations.map(({ rule, detail }) => `  BROKEN ${rule}: ${detail}`),
    ...(report.logs === null ? [] : [`  logs: ${report.logs}`]),
  ].join('\n');
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}

function summarize(reports: readonly ChangeSoakReport[], options: Options): number {
  const failed = reports.filter(({ violations }) => violations.length > 0);
  const changes = reports.reduce((sum, { answeredChanges }) => sum + answeredChanges, 0);
  const troubles = reports.reduce((sum, report) => sum + report.troubles.length, 0);
  const peakBytes = Math.max(0, ...reports.map(({ directoryPeakBytes }) => directoryPeakBytes));
  if (options['json'] === true) printJson(reports);
  else
    printLine(
      `${reports.length} seeds, ${changes} changes, ${troubles} troubles, highest peak ${toMb(peakBytes)} MB; ${failed.length} seeds broke a rule`,
    );
  return failed.length === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}
