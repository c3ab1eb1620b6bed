/** `aldertide-lab bench`: workloads x placement policies x seeds, with a report. */
import { writeFileSync } from 'node:fs';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import {
  numberOption,
  printJson,
  printLine,
  textOption,
  usageError,
  type Options,
} from '../../src/cli/command-line.js';
import { runBench, summarizeBench } from '../emulator/bench.js';
import { describeSpread, writeReport } from '../emulator/report.js';
import { WORKLOADS } from '../emulator/workloads.js';

/** Runs the bench. */
export async function benchCommand(options: Options): Promise<number> {
  const workload = textOption(options, 'workload') ?? 'all';
  const seeds = numberOption(options, 'seeds', 5);
  const names = Object.keys(WORKLOADS);
  if (workload !== 'all' && !names.includes(workload)) {
    return usageError(`no workload is called ${workload}; there are ${names.join(', ')}`);
  }
  if (seeds === null || !Number.isInteger(seeds) || seeds < 1)
    return usageError('--seeds takes a whole number');
  const rows = runBench(workload === 'all' ? names : [workload], seeds);
  const file = textOption(options, 'report');
  if (file !== null) writeFileSync(file, await writeReport(rows));
  if (options['json'] === true) {
    printJson({ rows });
    return EXIT_CODE.done;
  }
  for (const { workload: name, policy, imbalance, churn, unavailableMs, p99Ms } of summarizeBench(rows)) {
    const shown = [imbalance, churn, unavailableMs, p99Ms].map(describeSpread);
    printLine(
      `${name} ${policy}: imbalance ${shown[0]}, churn ${shown[1]}, unavailable ms ${shown[2]}, p99 ms ${shown[3]}`,
    );
  }
  return EXIT_CODE.done;
}
