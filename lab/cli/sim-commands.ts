/** `aldertide-lab sim`: the simulator, over seeds and scenarios, on all cores. */
import { writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import { printJson, printLine, textOption, usageError, type Options } from '../../src/cli/command-line.js';
import { findScenario, SCENARIOS, type Scenario } from '../sim/scenarios.js';
import { shrink } from '../sim/shrink.js';
import { runSimulation, type SimResult } from '../sim/sim-run.js';
import { writeReplay } from '../sim/replay-file.js';
import { runSeeds } from '../sim/seed-runner.js';

const PRINTED_VIOLATIONS = 20;

/** `sim list`. */
export function simListCommand(options: Options): number {
  const scenarios = SCENARIOS.map(({ name, brief }) => ({ name, brief }));
  if (options['json'] === true) printJson({ scenarios });
  else for (const { name, brief } of scenarios) printLine(`${name}: ${brief}`);
  return EXIT_CODE.done;
}

/** `sim`. */
export async function simCommand(options: Options): Promise<number> {
  const name = textOption(options, 'scenario') ?? 'all';
  const scenarios = name === 'all' ? SCENARIOS : [findScenario(name)].filter((found) => found !== undefined);
  if (scenarios.length === 0) return usageError(`no scenario is called ${name}; see aldertide-lab sim list`);
  if (options['seed'] !== undefined) return await runOne(scenarios, options);
  const range = /^(\d+)-(\d+)$/.exec(textOption(options, 'seeds') ?? '1-20');
  if (range === null) return usageError('--seeds takes a range such as 1-100');
  const [first, last] = [Number(range[1]), Number(range[2])];
  return await runRange(scenarios, first, last, options);
}

async function runRange(
  scenarios: readonly Scenario[],
  first: number,
  last: number,
  options: Options,
): Promise<number> {
  const startedMs = performance.now();
  const results = await runSeeds(
    scenarios.map(({ name }) => name),
    { first, last },
    availableParallelism(),
  );
  const violations = results.flatMap(({ scenario, seed, violations: broken }) =>
    broken.map(({ invariant, detail }) => ({ invariant, scenario, seed, detail })),
  );
  const summary = {
    scenarios: scenarios.length,
    runs: results.length,
    violations: violations.slice(0, PRINTED_VIOLATIONS),
    violationCount: violations.length,
    steps: results.reduce((sum, { steps }) => sum + steps, 0),
    virtualSeconds: Math.round(results.reduce((sum, result) => sum + result.virtualSeconds, 0)),
    requests: results.reduce((sum, { requests }) => sum + requests, 0),
    answered: results.reduce((sum, { answered }) => sum + answered, 0),
    wallSeconds: Math.round((performance.now() - startedMs) / 1_000),
  };
  if (options['json'] === true) printJson(summary);
  else printLine(JSON.stringify(summary, null, 2));
  return violations.length === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}

/** One seed, with a trace or a file for `aldertide replay` when that is asked for. */
async function runOne(scenarios: readonly Scenario[], options: Options): Promise<number> {
  const [scenario] = scenarios;
  const seed = Number(options['seed']);
  if (scenario === undefined || scenarios.length > 1) return usageError('--seed needs one --scenario');
  if (!Number.isInteger(seed)) return usageError('--seed takes a whole number');
  const result = await runSimulation({ scenario, seed });
  const file = textOption(options, 'trace');
  if (file !== null) await writeReplayFile(file, scenario, result);
  if (options['json'] === true) printJson(result);
  else printLine(JSON.stringify(result, null, 2));
  return result.violations.length === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}

async function writeReplayFile(file: string, scenario: Scenario, result: SimResult): Promise<void> {
  const faults = result.violations.length === 0 ? result.faults : await shrink(scenario, result);
  writeFileSync(file, writeReplay({ scenario: scenario.name, seed: result.seed, faults }));
}
