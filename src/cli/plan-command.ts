/** `aldertide plan`: previews the effects of a configuration before it is submitted. */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { configurationSchema, type ConfigurationDocument } from '../config/configuration.js';
import { formatProblem, readYamlFile } from '../config/yaml-file.js';
import { findForbiddenChange } from '../control/state-machine.js';
import { previewPlacement, type PreviewState, type ServicePreview } from '../placement/placement-preview.js';
import { Err, Ok, type Result } from '../result.js';
import { printJson, printLine, textOption, usageError, type Options } from './command-line.js';
import { EXIT_CODE } from './exit-code.js';
import { OperatorClient } from './operator-client.js';

const rowSchema = z.object({
  shard: z.number(),
  epoch: z.number(),
  owner: z.string().nullable(),
  session: z.number(),
  movingTo: z.string().nullable(),
  moveId: z.number(),
  freshAfterMs: z.number(),
});

const snapshotSchema = z.object({
  configuration: z.object({ revision: z.number(), document: configurationSchema }),
  sessions: z.array(z.object({ backend: z.string(), service: z.string() })),
  draining: z.array(z.string()),
  shards: z.array(z.object({ service: z.string(), rows: z.array(rowSchema) })),
  loads: z.array(z.object({ service: z.string(), rates: z.array(z.tuple([z.number(), z.number()])) })),
});

interface PlanError {
  readonly exitCode: number;
  readonly message: string;
}

/** Prints the plan; the exit code is 1 if the change would be refused. */
export async function planCommand(file: string, options: Options): Promise<number> {
  const document = readYamlFile(file, configurationSchema);
  if (document.err) return usageError(document.val.map((problem) => formatProblem(problem)).join('\n'));
  const state = await readState(options);
  if (state.err) return reportError(state.val);
  const refused = findForbiddenChange(state.val.configuration.document, document.val);
  const services = previewPlacement(state.val, document.val);
  if (options['json'] === true) printJson({ revision: state.val.configuration.revision, refused, services });
  else printPlan(state.val.configuration.revision, refused, services);
  return refused === null ? EXIT_CODE.done : EXIT_CODE.refused;
}

async function readState(options: Options): Promise<Result<PreviewState, PlanError>> {
  const snapshot = textOption(options, 'snapshot');
  const snapshotData = snapshot === null ? await readLive(options) : readSnapshotFile(snapshot);
  if (snapshotData.err) return snapshotData;
  const parsed = snapshotSchema.safeParse(snapshotData.val);
  if (parsed.success)
    return Ok({ ...parsed.data, configuration: parsed.data.configuration as ConfigurationInForce });
  return Err({ exitCode: EXIT_CODE.usage, message: `the snapshot: ${z.prettifyError(parsed.error)}` });
}

interface ConfigurationInForce {
  readonly revision: number;
  readonly document: ConfigurationDocument;
}

async function readLive(options: Options): Promise<Result<unknown, PlanError>> {
  const client = OperatorClient.fromOptions(options);
  if (client.err) return Err({ exitCode: EXIT_CODE.usage, message: `${client.val}, or --snapshot FILE` });
  return await client.val.call('GET', 'snapshot');
}

function readSnapshotFile(file: string): Result<unknown, PlanError> {
  try {
    return Ok(JSON.parse(readFileSync(file, 'utf8')));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Err({ exitCode: EXIT_CODE.usage, message: `${file}: ${detail}` });
  }
}

function reportError({ exitCode, message }: PlanError): number {
  process.stderr.write(`${message}\n`);
  return exitCode;
}

function printPlan(revision: number, refused: string | null, services: readonly ServicePreview[]): void {
  printLine(`on revision ${revision}`);
  if (refused !== null) printLine(`WOULD BE REFUSED: ${refused}`);
  for (const preview of services) {
    const { service, change, assignments, churn, imbalanceBefore, imbalanceAfter, seconds } = preview;
    const balance = `imbalance ${imbalanceBefore.toFixed(2)} to ${imbalanceAfter.toFixed(2)}`;
    const moved = `${churn} moved in ${seconds} s (${preview.churnWithoutChange} without the change)`;
    printLine(`${service} (${change}): ${assignments} assigned, ${moved}, ${balance}`);
    if (preview.policyProblem !== null) printLine(`  policy not followed: ${preview.policyProblem}`);
  }
}
