/** `aldertide-lab request-cost`: what a request costs the sidecars, for one or more builds in alternating runs. */
import { join, resolve } from 'node:path';
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
import { measureRequestCost, type RequestCost } from '../soak/large/request-cost.js';

/** Root of the repository, as seen from the compiled file. */
const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const MS_PER_SECOND = 1_000;
const MIN_SIDECARS = 6;
const MAX_SIDECARS = 40;

/** `request-cost`. */
export async function requestCostCommand(options: Options): Promise<number> {
  const rounds = numberOption(options, 'rounds', 3);
  const sidecars = numberOption(options, 'sidecars', 8);
  const requestsPerSecond = numberOption(options, 'rate', 120);
  const slots = numberOption(options, 'slots', 8);
  const seconds = numberOption(options, 'seconds', 10);
  if (
    rounds === null ||
    sidecars === null ||
    requestsPerSecond === null ||
    slots === null ||
    seconds === null
  )
    return usageError('--rounds, --sidecars, --rate, --slots and --seconds take numbers');
  if (sidecars < MIN_SIDECARS || sidecars > MAX_SIDECARS)
    return usageError(`--sidecars takes ${MIN_SIDECARS} to ${MAX_SIDECARS}`);
  const programs = (textOption(options, 'programs') ?? 'target/aldertide.cjs').split(',');
  const folder = textOption(options, 'folder') ?? join(ROOT, 'runs', 'request-cost');
  const size = { sidecars, directories: 1, requestsPerSecond, slots, busyProcesses: 0 };
  let failed = 0;
  for (let round = 1; round <= rounds; round += 1) {
    for (const [index, program] of programs.entries()) {
      const cost = await measureRequestCost({
        seed: round,
        size,
        program: resolve(program),
        folder: join(folder, `round-${round}-program-${index}`),
        measuredMs: seconds * MS_PER_SECOND,
      });
      if (cost === null) failed += 1;
      else if (options['json'] === true) printJson({ round, program, ...cost });
      else printLine(`${program} round ${round}: ${formatCost(cost)}`);
    }
  }
  return failed === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}

function formatCost(cost: RequestCost): string {
  const { requests, answeredShare, refusedShare, processorMs, reads, writes, wakeUps } = cost;
  const outcomes = `${requests} requests, ${percent(answeredShare)} answered, ${percent(refusedShare)} refused`;
  const calls = `${reads.toFixed(2)} reads, ${writes.toFixed(2)} writes, ${wakeUps.toFixed(2)} wake-ups`;
  return `${outcomes}; each ${processorMs.toFixed(2)} ms of processor time, ${calls}`;
}

function percent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
