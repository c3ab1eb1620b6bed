/** Replays a simulation from a file and prints its trace; called by `aldertide replay`. */
import { readFileSync } from 'node:fs';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import { printJson, printLine, usageError } from '../../src/cli/command-line.js';
import { readReplay } from './replay-file.js';
import { findScenario } from './scenarios.js';
import { runSimulation } from './sim-run.js';

/** Replays `file`; returns exit code 1 if an invariant is broken. */
export async function replayFile(file: string, json: boolean): Promise<number> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return usageError(`${file}: ${error instanceof Error ? error.message : String(error)}`);
  }
  const replay = readReplay(text);
  if (replay.err) return usageError(`${file}: ${replay.val}`);
  const scenario = findScenario(replay.val.scenario);
  if (scenario === undefined) return usageError(`${file}: no scenario is called ${replay.val.scenario}`);
  const { seed, faults } = replay.val;
  const trace = (line: string): void => {
    if (!json) printLine(line);
  };
  const result = await runSimulation({ scenario, seed, faults, trace });
  if (json) printJson(result);
  else printLine(`${result.violations.length} broken invariants, ${result.steps} steps`);
  return result.violations.length === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}
