/** Plays one seed of a soak of configuration changes: real directories and sidecars, operators, troubles and rules. */
import { mkdirSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { STAND_IN_PORTS } from '../../../platform/stand-in-wire.js';
import { pause } from '../../pause.js';
import { Random } from '../../random.js';
import { SoakCallers, type CalledDaemon, type CallerCounts } from '../soak-callers.js';
import { SoakFleet } from '../soak-fleet.js';
import { SoakJudge } from '../soak-judge.js';
import { CHANGE_HOST, markerPrefix, STEADY_PREFIX } from './change-content.js';
import { ChangeJournal } from './change-journal.js';
import { ChangeJudge, type ChangeViolation } from './change-judge.js';
import { ChangeOperators } from './change-operators.js';
import {
  planChangeSoak,
  type ChangeSoakPlan,
  type ChangeSoakSize,
  type PlannedChange,
} from './change-plan.js';
import { ChangeTroubles } from './change-troubles.js';
import { directoryProgress } from './directory-progress.js';
import { DirectoryWatch } from './directory-watch.js';

const BYTES_PER_MB = 1024 * 1024;

/** Part of the machine's memory that a directory may take. */
const MEMORY_SHARE = 0.5;

const READ_PAUSE_MS = 400;
const REQUESTS_PER_SECOND = 15;

/** Number of ends by themselves after which a run is given up; it has failed by then. */
const MAX_ENDS = 12;

/** Time in ms without an answer to a change, troubles included, after which a run is given up. */
const MAX_WAIT_MS = 90_000;

/**
 * Time in ms, after all troubles, for the last change and read, for each member to catch up and for sidecars to serve it: a
 * fixed part, and one for the largest state and log that a member may have to take at 250 KB a second.
 */
const SETTLE_MS = 30_000;
const SETTLE_MS_PER_BYTE = 0.004;
const MAX_STATE_SHARE = 1 / 32;

const POLL_MS = 250;

/** Operator of the first and last changes. */
const OUTER_OPERATOR = -1;

const STATUS = { ok: 200, notFound: 404 } as const;

/** Options of a run. */
export interface ChangeSoakOptions {
  readonly seed: number;
  readonly size: ChangeSoakSize;
  readonly program: string;
  readonly folder: string;
}

/** Result of one seed. */
export interface ChangeSoakReport {
  readonly seed: number;
  readonly profile: string;
  readonly directories: number;
  readonly toleratedLosses: number;
  readonly answeredChanges: number;
  /** Numbers of answers by status; 0 for none. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly requests: CallerCounts;
  readonly troubles: readonly string[];
  readonly ends: number;
  /** Highest peak of the resident memory of a directory and of a sidecar, in bytes. */
  readonly directoryPeakBytes: number;
  readonly sidecarPeakBytes: number;
  readonly durationMs: number;
  readonly violations: readonly ChangeViolation[];
  /** Folder of the logs; null if they were removed. */
  readonly logs: string | null;
}

interface ChangeSoakParts {
  readonly plan: ChangeSoakPlan;
  readonly fleet: SoakFleet;
  readonly judge: ChangeJudge;
  readonly journal: ChangeJournal;
  readonly watch: DirectoryWatch;
  readonly operators: ChangeOperators;
  readonly callers: SoakCallers;
  readonly daemons: readonly CalledDaemon[];
  /** Whether no further changes follow. */
  readonly state: { isOver: boolean };
}

/** Plays one seed and returns its report. */
export async function runChangeSoak(options: ChangeSoakOptions): Promise<ChangeSoakReport> {
  const startMs = performance.now();
  const plan = planChangeSoak(options.seed, options.size);
  const folder = join(options.folder, `changes-${plan.seed}`);
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const parts = makeParts(plan, options.program, folder);
  const { fleet, judge, operators, callers, watch } = parts;
  const troubles = new ChangeTroubles({
    ...parts,
    answered: () => operators.answered,
    isOver: () => parts.state.isOver,
  });
  try {
    await fleet.up();
    watch.begin();
    await play(parts, troubles);
  } finally {
    parts.state.isOver = true;
    operators.close();
    callers.stop();
    watch.stop();
    await fleet.down();
    callers.close();
  }
  checkMemory(parts);
  const isFailed = judge.violations.length > 0;
  tidyFolder(folder, isFailed);
  const report = {
    seed: plan.seed,
    profile: plan.profile,
    directories: fleet.directories.length,
    toleratedLosses: plan.fleet.toleratedLosses,
    answeredChanges: operators.answered,
    statuses: Object.fromEntries(operators.statuses),
    requests: callers.counts,
    troubles: troubles.records,
    ends: watch.ends,
    directoryPeakBytes: highestPeak(parts, fleet.directories),
    sidecarPeakBytes: highestPeak(parts, fleet.sidecars),
    durationMs: performance.now() - startMs,
    violations: judge.violations,
    logs: isFailed ? folder : null,
  };
  if (isFailed) writeFileSync(join(folder, 'report.json'), JSON.stringify(report, null, 2));
  return report;
}

function makeParts(plan: ChangeSoakPlan, program: string, folder: string): ChangeSoakParts {
  const random = new Random(plan.seed + 1);
  const requestJudge = new SoakJudge(
    Infinity,
    Infinity,
    Infinity,
    () => false,
    () => false,
  );
  const fleet = new SoakFleet(plan.fleet, { program, folder }, requestJudge, random);
  const judge = new ChangeJudge();
  const journal = new ChangeJournal(join(folder, 'soak.log'));
  const daemons = fleet.sidecars.map(({ name, ip }) => ({
    machine: name,
    callers: { host: ip, port: STAND_IN_PORTS.callers },
    readiness: { host: ip, port: STAND_IN_PORTS.readiness },
  }));
  const steady = { host: CHANGE_HOST, prefix: STEADY_PREFIX, repeatable: true, keyed: false };
  const callers = new SoakCallers(plan.seed, daemons, [steady], {
    judge: requestJudge,
    random,
    onlyPlannedStops: () => false,
  });
  const operators = new ChangeOperators(fleet.operatorAddresses, judge);
  const watch = new DirectoryWatch(fleet, judge, journal);
  return { plan, fleet, judge, journal, watch, operators, callers, daemons, state: { isOver: false } };
}

async function play(parts: ChangeSoakParts, troubles: ChangeTroubles): Promise<void> {
  const { plan, operators, callers, state, journal, judge, watch } = parts;
  if (!(await change(parts, firstChange(plan.seed), 'the first change'))) return;
  callers.start(REQUESTS_PER_SECOND);
  const reads = operators.readRepeatedly(READ_PAUSE_MS);
  const changes = Promise.all(
    plan.operators.map(async (planned, operator) => {
      await operators.play(operator, planned);
    }),
  ).then(() => {
    state.isOver = true;
  });
  const series = plan.series.map(async (one) => {
    await troubles.play(one);
  });
  while (!state.isOver && watch.ends < MAX_ENDS && operators.longestWaitMs() < MAX_WAIT_MS)
    await pause(POLL_MS);
  if (!state.isOver && watch.ends < MAX_ENDS)
    judge.report('unanswered', `a change had no answer for ${MAX_WAIT_MS} ms`);
  const isGivenUp = !state.isOver;
  state.isOver = true;
  await Promise.all(series);
  journal.record('settling', { answered: operators.answered, isGivenUp });
  if (isGivenUp) operators.stop();
  await changes;
  if (!isGivenUp) await settle(parts);
  operators.stop();
  await reads;
}

/** Sends one more change after all troubles, and waits until every directory and sidecar has it. */
async function settle(parts: ChangeSoakParts): Promise<void> {
  const { plan, fleet, operators, judge, journal } = parts;
  const stateBytes = (plan.fleet.memoryMb ?? 0) * BYTES_PER_MB * MAX_STATE_SHARE;
  const limitMs = SETTLE_MS + stateBytes * SETTLE_MS_PER_BYTE;
  if (!(await change(parts, lastChange(plan.seed), 'the last change'))) return;
  const endMs = performance.now() + limitMs;
  const version = judge.newestAcknowledged;
  if (!(await until(async () => await operators.read(true), endMs)))
    judge.report('unanswered', `the configuration was not read within ${Math.round(limitMs)} ms at the end`);
  await Promise.all([
    ...fleet.directories.map(async ({ name, ip }) => {
      const isUpToDate = await until(async () => (await directoryProgress(ip))?.revision === version, endMs);
      if (isUpToDate) return;
      const present = await directoryProgress(ip);
      judge.report('not-caught-up', `${name} has ${present?.revision ?? 'no answer'}, not ${version}`);
    }),
    ...parts.daemons.map(async (daemon) => {
      if (await until(async () => await serves(parts, daemon, version), endMs)) return;
      judge.report('not-served', `${daemon.machine} doesn't serve ${version}`);
    }),
  ]);
  journal.record('settled', { version });
}

/** Whether a sidecar answers on the newest route and no longer on that of the version before. */
async function serves({ callers }: ChangeSoakParts, daemon: CalledDaemon, version: number): Promise<boolean> {
  const route = (prefix: string): Parameters<SoakCallers['send']>[1] => {
    return { host: CHANGE_HOST, prefix, repeatable: true, keyed: false };
  };
  const newest = await callers.send(daemon, route(markerPrefix(version)));
  const earlier = await callers.send(daemon, route(markerPrefix(version - 1)));
  return newest === STATUS.ok && earlier === STATUS.notFound;
}

/** Sends one change outside the plan, which must be acknowledged. */
async function change(
  { operators, judge }: ChangeSoakParts,
  planned: PlannedChange,
  name: string,
): Promise<boolean> {
  const status = await Promise.race([
    operators.change(OUTER_OPERATOR, planned),
    pause(MAX_WAIT_MS).then(() => null),
  ]);
  if (status !== STATUS.ok) judge.report('unanswered', `${name} was answered with ${status ?? 'nothing'}`);
  return status === STATUS.ok;
}

function firstChange(seed: number): PlannedChange {
  return { method: 'PUT', routes: 20, seed, isStale: false, invalid: null };
}

function lastChange(seed: number): PlannedChange {
  return { method: 'PATCH', routes: 1, seed, isStale: false, invalid: null };
}

function checkMemory({ plan, fleet, judge, watch }: ChangeSoakParts): void {
  const limitBytes = (plan.fleet.memoryMb ?? Infinity) * BYTES_PER_MB * MEMORY_SHARE;
  for (const { name } of fleet.directories) {
    const peakBytes = watch.peakBytes.get(name) ?? 0;
    if (peakBytes > limitBytes)
      judge.report('memory', `${name} had ${toMb(peakBytes)} MB resident, more than ${toMb(limitBytes)}`);
  }
}

function highestPeak({ watch }: ChangeSoakParts, machines: readonly { readonly name: string }[]): number {
  return Math.max(0, ...machines.map(({ name }) => watch.peakBytes.get(name) ?? 0));
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}

/** Removes the data of the directories, and after a run without violations also its logs. */
function tidyFolder(folder: string, isFailed: boolean): void {
  if (!isFailed) {
    rmSync(folder, { recursive: true, force: true });
    return;
  }
  for (const name of readdirSync(folder)) {
    if (name.endsWith('-data')) rmSync(join(folder, name), { recursive: true, force: true });
  }
}

async function until(holds: () => Promise<boolean>, endMs: number): Promise<boolean> {
  for (;;) {
    if (await holds()) return true;
    if (performance.now() >= endMs) return false;
    await pause(POLL_MS);
  }
}
