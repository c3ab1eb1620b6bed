/** `aldertide-lab load`: runs callers as a settings file says. */
import { readFileSync, writeFileSync } from 'node:fs';
import { z } from 'zod';
import { printJson, textOption, usageError, type Options } from '../../src/cli/command-line.js';
import { loadOptionsSchema } from '../load/load-options.js';
import { LoadRun } from '../load/load-run.js';

/** Runs callers. */
export async function loadCommand(options: Options): Promise<number> {
  const file = textOption(options, 'settings');
  if (file === null) return usageError('aldertide-lab load: --settings FILE is needed');
  const parsed = loadOptionsSchema.safeParse(JSON.parse(readFileSync(file, 'utf8')));
  if (!parsed.success) return usageError(`${file}: ${z.prettifyError(parsed.error)}`);
  const summary = await new LoadRun(parsed.data).run();
  const summaryFile = textOption(options, 'summary');
  if (summaryFile !== null) writeFileSync(summaryFile, JSON.stringify(summary));
  printJson(summary);
  return 0;
}
