/** Runs a deployment under load and faults, then checks every guarantee and computes the measurements. */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { readFileSync, writeFileSync } from 'node:fs';
import { imbalance, percentile, unavailableDurations } from '../../src/placement/measures.js';
import { formatAddress } from '../../src/model/socket-address.js';
import type { StateDocument } from '../../src/control/state-snapshot.js';
import { readJournal, type ExecutionRecord, type JournalRecord, type SendingRecord } from '../journal.js';
import type { LoadOptions, Traffic } from '../load/load-options.js';
import type { LoadSummary } from '../load/load-run.js';
import { Random } from '../random.js';
import type { Deployment } from './deployment.js';
import { findFault, keyedServices } from './faults.js';
import { isSettled, Fleet } from './fleet.js';
import { planFleet, type ProgramPaths } from './fleet-plan.js';
import { findViolations, type Violation } from './judge.js';
import { ManagedProcess } from './managed-process.js';

/** Fault and its start time. */
export interface ScheduledFault {
  readonly name: string;
  /** Seconds after the start of the load. */
  readonly atSeconds: number;
}

/** Options of a run. */
export interface FleetRunOptions {
  readonly deployment: Deployment;
  readonly folder: string;
  readonly seconds: number;
  readonly seed: number;
  readonly faults: readonly ScheduledFault[];
  /** Factor on the rates of the deployment's traffic. */
  readonly rateFactor: number;
  readonly programs: ProgramPaths;
}

/** Fault that was injected. */
export interface FaultReport {
  readonly name: string;
  readonly atSeconds: number;
  readonly target: string;
}

/** Result of a run; printed as the last line of `fleet run --json`. */
export interface FleetRunReport {
  readonly deployment: string;
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  readonly violations: readonly Violation[];
  /** Unavailable time per shard and outage; see docs/MEASURES.md. */
  readonly unavailableMs: { readonly p50: number; readonly p99: number; readonly max: number };
  /** Imbalance of the requests run by the back ends of a keyed service; the largest over all such services. */
  readonly imbalance: number;
  /** Changes of owner during the run. */
  readonly churn: number;
  readonly faults: readonly FaultReport[];
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly sendings: number;
  /** Number of sendings that were not answered, by outcome and detail as the caller saw them. */
  readonly refusals: Readonly<Record<string, number>>;
}

const SETTLE_MS = 1_000;

/** Starts a fleet, runs load and faults, stops the fleet and returns the report. */
export async function runFleet(
  options: FleetRunOptions,
  log: (line: string) => void,
): Promise<FleetRunReport> {
  const plan = await planFleet(options.deployment, options.folder, options.seed, options.programs);
  const fleet = new Fleet(plan);
  try {
    log(`starting ${plan.processes.length} processes; logs are in ${plan.folder}`);
    await fleet.start();
    const before = await fleet.snapshot();
    const load = startLoad(options, fleet);
    log(`load for ${options.seconds} s`);
    const [faults] = await Promise.all([runFaults(options, fleet, log), load.finished]);
    await sleep(SETTLE_MS);
    await fleet.waitFor('the fleet has settled', (statuses) => isSettled(statuses, fleet.names('router')));
    const after = await fleet.snapshot();
    await fleet.stop();
    return buildReport(options, fleet, load.read(), { before, after }, faults);
  } catch (error) {
    await fleet.killAll();
    throw error;
  }
}

interface RunningLoad {
  readonly finished: Promise<void>;
  read(): { readonly summary: LoadSummary; readonly sendings: JournalRecord[] };
}

function startLoad(options: FleetRunOptions, fleet: Fleet): RunningLoad {
  const journal = join(options.folder, 'callers.journal');
  const settings = join(options.folder, 'load.json');
  const summary = join(options.folder, 'load-summary.json');
  writeFileSync(settings, JSON.stringify(loadOptions(options, fleet, journal)));
  const programArguments = [options.programs.lab, 'load', '--settings', settings, '--summary', summary];
  const process = new ManagedProcess('load', programArguments, join(options.folder, 'load.log'));
  process.start();
  const finished = process.finished().then((code) => {
    if (code !== 0)
      throw new Error(`the load ended with ${code ?? 'a signal'}; see ${options.folder}/load.log`);
  });
  return {
    finished,
    read: () => ({
      summary: JSON.parse(readFileSync(summary, 'utf8')) as LoadSummary,
      sendings: readJournal(journal),
    }),
  };
}

function loadOptions(options: FleetRunOptions, fleet: Fleet, journal: string): LoadOptions {
  const { deployment, seconds, seed, rateFactor } = options;
  const traffic = Object.entries(deployment.services).map(([service, deployed]): Traffic => {
    const { rate, ...rest } = deployed.traffic;
    const shards = Number(deployed.configuration['shards']);
    const keyed = deployed.configuration['division'] === 'keyed';
    return { service, shards: keyed ? shards : null, rate: rate * rateFactor, ...rest };
  });
  const routers = [...fleet.plan.callerAddresses].map(([name, address]) => {
    return { name, url: `http://${formatAddress(address)}` };
  });
  const { callerDeadlineMs: deadlineMs } = deployment;
  return { routers, traffic, seconds, seed, deadlineMs, maxSendings: 8, duplicateShare: 0.05, journal };
}

async function runFaults(
  options: FleetRunOptions,
  fleet: Fleet,
  log: (line: string) => void,
): Promise<FaultReport[]> {
  const startedMs = performance.now();
  return await Promise.all(
    options.faults.map(async ({ name, atSeconds }, position) => {
      const fault = findFault(name);
      if (fault === undefined) throw new Error(`no fault is called ${name}`);
      await sleep(Math.max(0, startedMs + atSeconds * 1_000 - performance.now()));
      log(`fault ${name}`);
      const target = await fault.run(fleet, new Random(options.seed * 10 + position));
      log(`fault ${name} on ${target} is repaired`);
      return { name, atSeconds, target };
    }),
  );
}

function buildReport(
  options: FleetRunOptions,
  fleet: Fleet,
  load: ReturnType<RunningLoad['read']>,
  states: { readonly before: StateDocument; readonly after: StateDocument },
  faults: readonly FaultReport[],
): FleetRunReport {
  const executed = fleet.plan.backends.flatMap((backend) => readJournal(backend.journal));
  const executions = executed.filter((record) => record.kind === 'execution');
  const sendings = load.sendings.filter((record) => record.kind === 'sending');
  const outages = shardOutages(sendings);
  const { requests, answered, refused, unknown, p50Ms, p99Ms } = load.summary;
  return {
    deployment: options.deployment.name,
    seed: options.seed,
    requests,
    answered,
    refused,
    unknown,
    violations: findViolations([...executed, ...load.sendings]),
    unavailableMs: {
      p50: percentile(outages, 0.5),
      p99: percentile(outages, 0.99),
      max: Math.max(0, ...outages),
    },
    imbalance: maxImbalance(keyedServices(fleet.plan.configuration), executions, fleet),
    churn: sumOfEpochs(states.after) - sumOfEpochs(states.before),
    faults,
    p50Ms,
    p99Ms,
    sendings: load.summary.sendings,
    refusals: countRefusals(sendings),
  };
}

function shardOutages(sendings: readonly SendingRecord[]): number[] {
  const shards = new Map<string, SendingRecord[]>();
  for (const sending of sendings) {
    if (sending.shard === null) continue;
    const shardName = `${sending.service}/${sending.shard}`;
    shards.set(shardName, [...(shards.get(shardName) ?? []), sending]);
  }
  return [...shards.values()].flatMap((shardSendings) => {
    return unavailableDurations(
      shardSendings.map(({ sentMs, endedMs, outcome }) => ({
        sentMs,
        endedMs,
        answered: outcome === 'answered',
      })),
    );
  });
}

function maxImbalance(
  services: readonly string[],
  executions: readonly ExecutionRecord[],
  fleet: Fleet,
): number {
  const values = services.map((service) => {
    const backends = fleet.plan.backends.filter((backend) => backend.service === service);
    const loads = backends.map(({ name }) => executions.filter(({ backend }) => backend === name).length);
    return imbalance(loads);
  });
  return Math.max(1, ...values);
}

function sumOfEpochs(state: StateDocument): number {
  return state.shards.flatMap(({ rows }) => rows).reduce((sum, { epoch }) => sum + epoch, 0);
}

function countRefusals(sendings: readonly SendingRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome, detail } of sendings) {
    if (outcome === 'answered') continue;
    const reason = `${outcome}: ${detail}`;
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}
