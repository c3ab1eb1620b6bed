/** `aldertide-lab guards`: the table of guards. */
import { availableParallelism } from 'node:os';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import { printJson, printLine, type Options } from '../../src/cli/command-line.js';
import { checkGuards } from '../sim/guard-table.js';

/** Tries every guard; exit 1 when the absence of one is not noticed. */
export async function guardsCommand(options: Options): Promise<number> {
  const findings = await checkGuards(availableParallelism());
  if (options['json'] === true) printJson({ guards: findings });
  else for (const finding of findings) printLine(describe(finding));
  return findings.every(({ seed }) => seed !== null) ? EXIT_CODE.done : EXIT_CODE.refused;
}

function describe(finding: Awaited<ReturnType<typeof checkGuards>>[number]): string {
  const { guard, scenario, seed, invariant, seedsTried } = finding;
  const shown = seed === null ? `NOT NOTICED in ${seedsTried} seeds` : `${invariant ?? ''} at seed ${seed}`;
  return `${guard}: without it, ${scenario}: ${shown}`;
}
