/** Operator commands: check, apply, get, status, drain, evacuate, quarantine. */
import { randomUUID } from 'node:crypto';
import { stringify } from 'yaml';
import { z } from 'zod';
import { configurationSchema } from '../config/configuration.js';
import { formatProblem, readYamlFile, type FileProblem } from '../config/yaml-file.js';
import type { ConfigurationRevision } from '../control/control-state.js';
import type { ControlStatus } from '../control/control-status.js';
import type { CrashReport } from '../quarantine/crash-report.js';
import { numberOption, printJson, printLine, textOption, usageError, type Options } from './command-line.js';
import { EXIT_CODE } from './exit-code.js';
import { OperatorClient, type OperatorError } from './operator-client.js';
import { formatCrashes, formatStatus } from './status-table.js';

/** Fields that distinguish a deployment file of the lab from a configuration. */
const deploymentSchema = z.looseObject({
  routers: z.array(z.unknown()),
  services: z.record(z.string(), z.unknown()),
});

/** `check FILE`: reports all problems in a configuration, or in the configuration within a lab deployment file. */
export async function checkCommand(file: string, options: Options): Promise<number> {
  const errors = await findProblems(file);
  const ok = errors.length === 0;
  if (options['json'] === true) printJson({ ok, errors });
  else printLine(ok ? `${file}: ok` : errors.map((problem) => formatProblem(problem)).join('\n'));
  return ok ? EXIT_CODE.done : EXIT_CODE.refused;
}

async function findProblems(file: string): Promise<readonly FileProblem[]> {
  if (readYamlFile(file, deploymentSchema).ok) {
    // Imported on demand: deployment files are part of the lab, which daemons never load.
    const { readDeployment } = await import('../../lab/fleet/deployment.js');
    const deployment = readDeployment(file);
    return deployment.err ? deployment.val : [];
  }
  const read = readYamlFile(file, configurationSchema);
  return read.err ? read.val : [];
}

/** `apply FILE`: submits a configuration based on the revision in force, or on `--base-revision`. */
export async function applyCommand(file: string, options: Options): Promise<number> {
  const read = readYamlFile(file, configurationSchema);
  if (read.err) return await checkCommand(file, options);
  const client = OperatorClient.fromOptions(options);
  if (client.err) return usageError(client.val);
  const base = numberOption(options, 'base-revision', -1);
  if (base === null) return usageError('--base-revision takes a number');
  const baseRevision = base >= 0 ? base : await currentRevision(client.val);
  if (typeof baseRevision !== 'number') return reportError(baseRevision, options);
  const submissionId = textOption(options, 'submission-id') ?? randomUUID();
  const submission = { submissionId, baseRevision, document: read.val };
  const answer = await client.val.call('PUT', 'configuration', submission);
  if (answer.err) return reportError(answer.val, options);
  const { revision } = answer.val as { revision: number };
  if (options['json'] === true) printJson({ ok: true, revision, submissionId });
  else printLine(`revision ${revision} accepted`);
  return EXIT_CODE.done;
}

/** `get`: prints the configuration in force. */
export async function getCommand(options: Options): Promise<number> {
  const client = OperatorClient.fromOptions(options);
  if (client.err) return usageError(client.val);
  const answer = await client.val.call('GET', 'configuration');
  if (answer.err) return reportError(answer.val, options);
  const { revision, document } = answer.val as ConfigurationRevision;
  if (options['json'] === true) printJson({ revision, document });
  else printLine(`# revision ${revision}\n${stringify(document).trimEnd()}`);
  return EXIT_CODE.done;
}

/** `status`: shows replicas, services, back ends, and the revision in force at every daemon. */
export async function statusCommand(options: Options): Promise<number> {
  const client = OperatorClient.fromOptions(options);
  if (client.err) return usageError(client.val);
  const answers = await client.val.callEach('status');
  const statuses = answers.map(([, status]) => status as ControlStatus);
  if (statuses.length === 0) {
    return reportError(
      { exitCode: EXIT_CODE.unreachable, message: 'no replica answered', problem: null },
      options,
    );
  }
  if (options['json'] === true) printJson({ replicas: statuses });
  else printLine(formatStatus(statuses));
  return EXIT_CODE.done;
}

/** `drain BACKEND`: moves all shards off a back end; `--undo` returns it to service. */
export async function drainCommand(backend: string, options: Options): Promise<number> {
  const client = OperatorClient.fromOptions(options);
  if (client.err) return usageError(client.val);
  const undo = options['undo'] === true;
  const path = `backends/${encodeURIComponent(backend)}/drain`;
  const answer = await client.val.call(undo ? 'DELETE' : 'PUT', path);
  if (answer.err) return reportError(answer.val, options);
  if (options['json'] === true) printJson({ ok: true, backend, draining: !undo });
  else printLine(undo ? `${backend} is back in service` : `${backend} is leaving`);
  return EXIT_CODE.done;
}

/** `evacuate ZONE`: moves all shards off the back ends of a zone; `--end` returns them to service. */
export async function evacuateCommand(zone: string, options: Options): Promise<number> {
  const client = OperatorClient.fromOptions(options);
  if (client.err) return usageError(client.val);
  const end = options['end'] === true;
  const path = `zones/${encodeURIComponent(zone)}/evacuation`;
  const answer = await client.val.call(end ? 'DELETE' : 'PUT', path);
  if (answer.err) return reportError(answer.val, options);
  if (options['json'] === true) printJson({ ok: true, zone, evacuated: !end });
  else printLine(end ? `${zone} is back in service` : `${zone} is evacuated`);
  return EXIT_CODE.done;
}

/**
 * `quarantine`: lists the requests that crash back ends. With a fingerprint, `--reopen` permits this request a further
 * run, and `--forget` discards its record.
 */
export async function quarantineCommand(fingerprint: string | undefined, options: Options): Promise<number> {
  const client = OperatorClient.fromOptions(options);
  if (client.err) return usageError(client.val);
  const reopen = options['reopen'] === true;
  const forget = options['forget'] === true;
  if (fingerprint === undefined && !reopen && !forget) return await showQuarantine(client.val, options);
  if (fingerprint === undefined || reopen === forget) {
    return usageError('give a fingerprint and one of --reopen and --forget');
  }
  const path = `quarantine/${encodeURIComponent(fingerprint)}`;
  const answer = await client.val.call(forget ? 'DELETE' : 'PUT', forget ? path : `${path}/reopen`);
  if (answer.err) return reportError(answer.val, options);
  if (options['json'] === true)
    printJson({ ok: true, fingerprint, change: forget ? 'forgotten' : 'reopened' });
  else printLine(forget ? `${fingerprint} is forgotten` : `${fingerprint} may be run once more`);
  return EXIT_CODE.done;
}

async function showQuarantine(client: OperatorClient, options: Options): Promise<number> {
  const answer = await client.call('GET', 'quarantine');
  if (answer.err) return reportError(answer.val, options);
  const reports = answer.val as readonly CrashReport[];
  if (options['json'] === true) printJson({ requests: reports });
  else printLine(formatCrashes(reports));
  return EXIT_CODE.done;
}

async function currentRevision(client: OperatorClient): Promise<number | OperatorError> {
  const answer = await client.call('GET', 'configuration');
  return answer.ok ? (answer.val as ConfigurationRevision).revision : answer.val;
}

function reportError(error: OperatorError, options: Options): number {
  if (options['json'] === true) printJson({ ok: false, message: error.message, problem: error.problem });
  else process.stderr.write(`${error.message}\n`);
  return error.exitCode;
}
