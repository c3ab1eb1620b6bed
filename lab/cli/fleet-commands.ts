/** `aldertide-lab fleet ...` and `demo`. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { formatAddress } from '../../src/model/socket-address.js';
import { formatProblem } from '../../src/config/yaml-file.js';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import {
  numberOption,
  printJson,
  printLine,
  textOption,
  usageError,
  type Options,
} from '../../src/cli/command-line.js';
import { readDeployment, type Deployment } from '../fleet/deployment.js';
import { FAULTS, findFault } from '../fleet/faults.js';
import { Fleet } from '../fleet/fleet.js';
import { planFleet, type ProgramPaths } from '../fleet/fleet-plan.js';
import { runFleet, type FleetRunReport, type ScheduledFault } from '../fleet/fleet-run.js';

/** Root of the repository, as seen from the compiled file. */
const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** The programs that a fleet starts. */
export const PROGRAMS: ProgramPaths = {
  aldertide: join(ROOT, 'bin', 'aldertide.mjs'),
  lab: join(ROOT, 'bin', 'aldertide-lab.mjs'),
};

/** When a fault starts that names no second: this share of the run. */
const DEFAULT_FAULT_SHARE = 0.3;

const DEMO_SECONDS = 10;
const DEMO_FAULT_SECOND = 4;

/** `fleet run`. */
export async function fleetRunCommand(file: string, options: Options): Promise<number> {
  const seconds = numberOption(options, 'seconds', 10);
  const seed = numberOption(options, 'seed', 1);
  const rateFactor = numberOption(options, 'rate-factor', 1);
  if (seconds === null || seed === null || rateFactor === null || seconds <= 0) {
    return usageError('--seconds, --seed and --rate-factor take numbers');
  }
  const faults = parseFaults(options['fault'], seconds);
  if (typeof faults === 'string') return usageError(faults);
  const deployment = readDeployment(file);
  if (deployment.err) return usageError(deployment.val.map((problem) => formatProblem(problem)).join('\n'));
  const log = (line: string): void => void process.stderr.write(`${line}\n`);
  const folder = folderOf(options, deployment.val);
  const report = await runFleet(
    { deployment: deployment.val, folder, seconds, seed, faults, rateFactor, programs: PROGRAMS },
    log,
  );
  if (options['json'] === true) printJson(report);
  else printLine(formatReport(report));
  return report.violations.length === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}

/** `fleet up`. */
export async function fleetUpCommand(file: string, options: Options): Promise<number> {
  const deployment = readDeployment(file);
  if (deployment.err) return usageError(deployment.val.map((problem) => formatProblem(problem)).join('\n'));
  const seed = numberOption(options, 'seed', 1) ?? 1;
  const plan = await planFleet(deployment.val, folderOf(options, deployment.val), seed, PROGRAMS);
  const fleet = new Fleet(plan);
  await fleet.start();
  const operators = [...plan.operators.values()].map((address) => formatAddress(address)).join(',');
  printLine(`operators: --control ${operators} --token-file ${plan.tokenFile}`);
  for (const [name, address] of plan.callerAddresses) printLine(`${name}: http://${formatAddress(address)}`);
  await new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await fleet.stop();
  return EXIT_CODE.done;
}

/** `fleet faults`. */
export function fleetFaultsCommand(options: Options): number {
  const faults = FAULTS.map(({ name, describe }) => ({ name, describe }));
  if (options['json'] === true) printJson({ faults });
  else for (const { name, describe } of faults) printLine(`${name}: ${describe}`);
  return EXIT_CODE.done;
}

/** `demo`: the main job in one command. */
export async function demoCommand(options: Options): Promise<number> {
  const file = join(ROOT, 'deployments', 'imigongo.yaml');
  const given = { ...options, seconds: DEMO_SECONDS, fault: `kill-owner@${DEMO_FAULT_SECOND}` };
  return await fleetRunCommand(file, given);
}

function folderOf(options: Options, deployment: Deployment): string {
  return textOption(options, 'folder') ?? mkdtempSync(join(tmpdir(), `aldertide-${deployment.name}-`));
}

function parseFaults(given: unknown, seconds: number): ScheduledFault[] | string {
  const texts = (Array.isArray(given) ? given : given === undefined ? [] : [given]).map(String);
  const faults: ScheduledFault[] = [];
  for (const text of texts) {
    const [name = '', second] = text.split('@');
    const atSeconds = second === undefined ? seconds * DEFAULT_FAULT_SHARE : Number(second);
    if (findFault(name) === undefined) return `no fault is called ${name}; see aldertide-lab fleet faults`;
    if (!Number.isFinite(atSeconds) || atSeconds < 0) return `${text}: the second is not a number`;
    faults.push({ name, atSeconds });
  }
  return faults;
}

function formatReport(report: FleetRunReport): string {
  const { unavailableMs, violations } = report;
  const ms = (value: number): string => `${value.toFixed(1)} ms`;
  return [
    `deployment        ${report.deployment}, seed ${report.seed}`,
    `faults            ${report.faults.map((fault) => `${fault.name} on ${fault.target}`).join(', ') || 'none'}`,
    `requests          ${report.requests}: ${report.answered} answered, ${report.refused} refused, ${report.unknown} of unknown outcome`,
    `answer time       p50 ${ms(report.p50Ms)}, p99 ${ms(report.p99Ms)}, retries of callers included`,
    `unavailable time  p50 ${ms(unavailableMs.p50)}, p99 ${ms(unavailableMs.p99)}, max ${ms(unavailableMs.max)} a shard and outage`,
    `imbalance         ${report.imbalance.toFixed(2)} (largest over mean)`,
    `churn             ${report.churn} changes of owner`,
    `broken promises   ${violations.length === 0 ? 'none' : violations.map(({ promise, detail }) => `\n  ${promise}: ${detail}`).join('')}`,
  ].join('\n');
}
