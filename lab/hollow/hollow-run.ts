/**
 * Runs a hollow fleet: real control replicas on real disks, real agents and table watches many to a process.
 * Two stretches are measured: an ordinary one (load shifts and configuration changes as often as in letter 1),
 * for what a daemon spends; and one in which back ends fail and configurations change one after the other, for
 * how long a new owner and a new configuration take.
 */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { OperatorClient } from '../../src/cli/operator-client.js';
import type { ConfigurationDocument } from '../../src/config/configuration.js';
import { monotonicMs } from '../../src/runtime/clock.js';
import { formatAddress } from '../../src/model/socket-address.js';
import { percentile } from '../../src/placement/measures.js';
import { ManagedProcess } from '../fleet/managed-process.js';
import { Random } from '../random.js';
import { readControl, type ControlReading } from './control-reading.js';
import type { BackendFailed, HollowOptions, HollowReading, HotShards } from './hollow-options.js';
import { planHollow, type HollowPlan } from './hollow-plan.js';
import { HollowProcess } from './hollow-process.js';
import { measureSpent, type RoleSpent } from './hollow-spent.js';

const READY_TIMEOUT_MS = 180_000;
const POLL_MS = 500;

/** Part of the shards that must be granted for the fleet to be up: some are on their way at any moment. */
const GRANTED_SHARE = 0.995;

const SETTLE_MS = 10_000;

/**
 * All hosts share this machine's cores with control, so they are not started at once, and the configuration comes
 * when all are there: starting a process costs more than everything that is measured.
 */
const HOST_START_PAUSE_MS = 300;

const MS_PER_SHIFT = 60_000 / 12;
const MS_PER_CHANGE = 86_400_000 / 1_500;
const FAILURES = 6;
const CHANGES = 6;
const FAULT_PAUSE_MS = 6_000;
const REVIVE_PAUSE_MS = 3_000;
const HOT_SHARDS_PER_SERVICE = 10;

/** Times of one kind, in ms. */
export interface TimeSummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Result of a run; the last line of `hollow --json`. */
export interface HollowReport {
  readonly daemons: number;
  readonly shards: number;
  readonly agents: number;
  readonly routers: number;
  readonly processes: number;
  readonly startMs: number;
  /** Of the costlier of router and agent, both ways, payload of the internal connections. */
  readonly bytesPerSecond: number;
  readonly cpuPercent: number;
  readonly memoryMB: number;
  readonly roles: readonly RoleSpent[];
  readonly newOwnerMs: TimeSummary;
  readonly configInForceMs: TimeSummary;
  readonly missedRepairs: number;
  readonly missedChanges: number;
}

/** Runs it. */
export async function runHollow(
  options: HollowOptions,
  labProgram: string,
  log: (line: string) => void,
): Promise<HollowReport> {
  const plan = await planHollow(options);
  const run = new HollowRun(options, plan, labProgram, log);
  try {
    return await run.run();
  } finally {
    await run.end();
  }
}

class HollowRun {
  private readonly control: ManagedProcess[];
  private readonly hosts: HollowProcess[];
  private readonly operator: OperatorClient;
  private readonly random: Random;
  private readonly readings: HollowReading[] = [];
  private document: ConfigurationDocument;
  private revision = 0;

  constructor(
    private readonly options: HollowOptions,
    private readonly plan: HollowPlan,
    labProgram: string,
    private readonly log: (line: string) => void,
  ) {
    this.control = plan.control.map(({ name, settingsFile }) => {
      const given = [options.program, 'control', '--settings', settingsFile];
      return new ManagedProcess(name, given, join(options.folder, `${name}.log`));
    });
    this.hosts = plan.hosts.map(() => new HollowProcess(labProgram));
    const operators = plan.control.map(({ operator }) => formatAddress(operator));
    this.operator = new OperatorClient(operators, plan.token);
    this.random = new Random(options.seed);
    this.document = plan.document;
  }

  async run(): Promise<HollowReport> {
    const startedMs = monotonicMs();
    await this.start();
    const startMs = monotonicMs() - startedMs;
    this.log(`${this.options.daemons} daemons are up after ${Math.round(startMs)} ms`);
    await sleep(SETTLE_MS);
    const roles = await this.ordinaryStretch();
    const newOwner = await this.failures();
    const inForce = await this.configurationChanges();
    const spent = roles.filter(({ role }) => role === 'agent' || role === 'router');
    return {
      daemons: this.options.daemons,
      shards: this.options.shards,
      agents: this.plan.agents.length,
      routers: this.plan.routers.length,
      processes: this.hosts.length + this.control.length,
      startMs: Math.round(startMs),
      bytesPerSecond: Math.max(...spent.map((role) => role.bytesPerSecond)),
      cpuPercent: Math.max(...spent.map((role) => role.cpuPercent)),
      memoryMB: Math.max(...spent.map((role) => role.memoryMB)),
      roles,
      newOwnerMs: summarize(newOwner.times),
      configInForceMs: summarize(inForce.times),
      missedRepairs: newOwner.missed,
      missedChanges: inForce.missed,
    };
  }

  async end(): Promise<void> {
    for (const host of this.hosts) host.kill();
    await Promise.all(this.control.map(async (replica) => await replica.kill()));
  }

  private async start(): Promise<void> {
    for (const replica of this.control) replica.start();
    await this.waitForLeader();
    for (const [at, host] of this.hosts.entries()) {
      const settings = this.plan.hosts[at];
      if (settings !== undefined) await host.start(settings);
      await sleep(HOST_START_PAUSE_MS);
    }
    await this.submit();
    const untilMs = monotonicMs() + READY_TIMEOUT_MS;
    while (monotonicMs() < untilMs) {
      if (this.isReady(await this.read())) return;
      await sleep(POLL_MS);
    }
    throw new Error('the hollow fleet did not come up in time');
  }

  private async waitForLeader(): Promise<void> {
    const untilMs = monotonicMs() + READY_TIMEOUT_MS;
    while (monotonicMs() < untilMs) {
      const readings = await Promise.allSettled(
        this.plan.control.map(async ({ operator }) => await readControl(operator)),
      );
      if (readings.some((reading) => reading.status === 'fulfilled' && reading.value.isLeader)) return;
      await sleep(POLL_MS);
    }
    throw new Error('no control replica became leader in time');
  }

  private isReady(readings: readonly HollowReading[]): boolean {
    const sum = (pick: (reading: HollowReading) => number): number =>
      readings.reduce((total, reading) => total + pick(reading), 0);
    const granted = sum((reading) => reading.grantedShards);
    const shards = Object.values(this.document.services).reduce(
      (total, service) => total + service.shards,
      0,
    );
    return sum((reading) => reading.tables) === this.plan.routers.length && granted >= shards * GRANTED_SHARE;
  }

  private async read(): Promise<HollowReading[]> {
    const readings = await Promise.all(this.hosts.map(async (host) => await host.read()));
    this.readings.push(...readings);
    return readings;
  }

  private async readControl(): Promise<ControlReading[]> {
    return await Promise.all(this.plan.control.map(async ({ operator }) => await readControl(operator)));
  }

  /** Load shifts and configuration changes as often as in letter 1. */
  private async ordinaryStretch(): Promise<RoleSpent[]> {
    const before = { hosts: await this.read(), control: await this.readControl() };
    const untilMs = monotonicMs() + this.options.seconds * 1_000;
    let changeDueMs = monotonicMs() + MS_PER_CHANGE / 4;
    while (monotonicMs() < untilMs) {
      this.shift();
      if (monotonicMs() >= changeDueMs) {
        changeDueMs += MS_PER_CHANGE;
        await this.change();
      }
      await sleep(MS_PER_SHIFT);
    }
    const after = { hosts: await this.read(), control: await this.readControl() };
    return measureSpent(before, after);
  }

  /** One service gets other hot shards. */
  private shift(): void {
    const [service, { shards }] = this.random.pick(Object.entries(this.document.services));
    const drawn = Array.from({ length: HOT_SHARDS_PER_SERVICE }, () => this.random.below(shards));
    const hot: HotShards = [[service, drawn]];
    for (const host of this.hosts) host.tell({ kind: 'shift', hot });
  }

  /** Back ends fail one after the other; the time runs until every router knows all new owners and they are granted. */
  private async failures(): Promise<{ times: number[]; missed: number }> {
    const times: number[] = [];
    let missed = 0;
    for (let failure = 0; failure < FAILURES; failure += 1) {
      const { backend } = this.random.pick(this.plan.agents);
      await this.read();
      this.readings.length = 0;
      for (const host of this.hosts) host.tell({ kind: 'fail', backend });
      await sleep(FAULT_PAUSE_MS);
      await this.read();
      const repairs = this.readings.flatMap((reading) => reading.repairs);
      const own = repairs.filter((repair) => repair.backend === backend);
      const failed = this.readings.flatMap((reading) => reading.failures)[0];
      if (failed === undefined) throw new Error(`invariant broken: no host holds ${backend}`);
      const grantedMs = this.grantedAgainMs(failed);
      missed += this.plan.routers.length - own.length;
      times.push(...own.map(({ atMs }) => Math.max(atMs, grantedMs) - failed.atMs));
      this.log(`${backend} failed: ${own.length} of ${this.plan.routers.length} routers know all new owners`);
      for (const host of this.hosts) host.tell({ kind: 'revive', backend });
      await sleep(REVIVE_PAUSE_MS);
    }
    return { times, missed };
  }

  /** When the last of the shards that a failed back end held was granted elsewhere. */
  private grantedAgainMs({ service, shards }: BackendFailed): number {
    const grants = this.readings.flatMap((reading) => reading.grants);
    const ofService = grants.filter((grant) => grant.service === service);
    const times = shards.map((shard) => {
      return Math.min(...ofService.filter((grant) => grant.shards.includes(shard)).map(({ atMs }) => atMs));
    });
    return Math.max(...times);
  }

  private async configurationChanges(): Promise<{ times: number[]; missed: number }> {
    const times: number[] = [];
    let missed = 0;
    for (let change = 0; change < CHANGES; change += 1) {
      await this.read();
      this.readings.length = 0;
      const submittedMs = monotonicMs();
      await this.change();
      await sleep(REVIVE_PAUSE_MS);
      await this.read();
      const seen = this.readings
        .flatMap((reading) => reading.revisions)
        .filter(({ revision }) => revision >= this.revision);
      missed += this.plan.routers.length + this.plan.agents.length - seen.length;
      times.push(...seen.map(({ atMs }) => atMs - submittedMs));
    }
    return { times, missed };
  }

  /** Changes one service, as operators do. */
  private async change(): Promise<void> {
    const services = { ...this.document.services };
    const [name, service] = this.random.pick(Object.entries(services));
    services[name] = { ...service, deadlineMs: 1_000 + this.random.below(1_000) };
    this.document = { ...this.document, services };
    await this.submit();
  }

  private async submit(): Promise<void> {
    const submission = {
      submissionId: `hollow-${this.revision}`,
      baseRevision: this.revision,
      document: this.document,
    };
    const answer = await this.operator.call('PUT', 'configuration', submission);
    if (answer.err) throw new Error(answer.val.message);
    this.revision += 1;
  }
}

function summarize(times: readonly number[]): TimeSummary {
  const round = (value: number): number => Math.round(value);
  return {
    count: times.length,
    p50: round(percentile(times, 0.5)),
    p99: round(percentile(times, 0.99)),
    max: round(times.reduce((largest, time) => Math.max(largest, time), 0)),
  };
}
