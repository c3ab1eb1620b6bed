/** `aldertide-lab router-bench`. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import { numberOption, printJson, printLine, usageError, type Options } from '../../src/cli/command-line.js';
import { runRouterBench } from '../bench/router-bench.js';
import { PROGRAMS } from './fleet-commands.js';

/** Measures a router beside direct connections. */
export async function routerBenchCommand(options: Options): Promise<number> {
  const seconds = numberOption(options, 'seconds', 4);
  if (seconds === null || seconds <= 0) return usageError('--seconds takes a number');
  const folder = mkdtempSync(join(tmpdir(), 'aldertide-router-bench-'));
  const report = await runRouterBench(folder, PROGRAMS, seconds);
  if (options['json'] === true) printJson(report);
  else printLine(JSON.stringify(report, null, 2));
  return EXIT_CODE.done;
}
