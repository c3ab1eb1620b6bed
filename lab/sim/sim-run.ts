/** Runs one simulation from start to end and checks its history. */
import { findViolations } from '../fleet/judge.js';
import type { ExecutionRecord } from '../journal.js';
import { Random } from '../random.js';
import { FaultRunner, type DrainedInterval } from './fault-runner.js';
import type { SimViolation } from './invariants.js';
import type { Scenario } from './scenarios.js';
import type { SimFault } from './sim-faults.js';
import type { GuardName } from './sim-guards.js';
import { SERVICE, SimWorld } from './sim-world.js';

const READY_MS = 3_500;
const SETUP_MS = 2_000;
const CALLS_UNTIL_MS = 13_000;
const REPAIR_LIMIT_MS = 20_000;
const SETTLE_MS = 9_000;
const CHECK_INTERVAL_MS = 5;
const INITIAL_DEADLINE_MS = 2_000;
const SETUP_ATTEMPTS = 10;

/** Options of a simulation run. */
export interface SimRunOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  /** Faults that replace those drawn by the scenario from the seed. */
  readonly faults?: readonly SimFault[];
  readonly withoutGuard?: GuardName | null;
  readonly trace?: (line: string) => void;
}

/** Result of a simulation run. */
export interface SimResult {
  readonly scenario: string;
  readonly seed: number;
  readonly faults: readonly SimFault[];
  readonly violations: readonly SimViolation[];
  readonly steps: number;
  readonly virtualSeconds: number;
  readonly requests: number;
  readonly answered: number;
}

/** Runs one simulation. The same options give the same trace. */
export async function runSimulation(options: SimRunOptions): Promise<SimResult> {
  const { scenario, seed } = options;
  const faults = options.faults ?? scenario.faults(new Random(seed));
  const world = new SimWorld({
    scenario,
    seed,
    withoutGuard: options.withoutGuard ?? null,
    trace: options.trace ?? null,
  });
  await world.start();
  const runner = new FaultRunner(world);
  const repaired = new Set<SimFault>();
  void submitFirstConfiguration(world);
  for (const fault of faults) void runner.run(fault).then(() => repaired.add(fault));
  world.callers.run(CALLS_UNTIL_MS);
  checkPeriodically(world);
  await runUntil(world, READY_MS);
  const sessionsAtStart = sessionsOf(world);
  await runUntil(world, CALLS_UNTIL_MS);
  while (repaired.size < faults.length && world.queue.nowMs < REPAIR_LIMIT_MS) {
    await runUntil(world, world.queue.nowMs + 500);
  }
  world.network.healAll();
  await runUntil(world, world.queue.nowMs + SETTLE_MS);
  checkHistory(world, runner.drained, sessionsAtStart);
  return {
    scenario: scenario.name,
    seed,
    faults,
    violations: world.violations,
    steps: world.queue.steps,
    virtualSeconds: world.queue.nowMs / 1_000,
    requests: world.callers.started,
    answered: world.callers.answered,
  };
}

/** Submits the first configuration, retrying until there is a leader that accepts it. */
async function submitFirstConfiguration(world: SimWorld): Promise<void> {
  for (let attempt = 0; attempt < SETUP_ATTEMPTS; attempt += 1) {
    await world.sleep(SETUP_MS / SETUP_ATTEMPTS);
    const outcome = await world.configure('first', 0, INITIAL_DEADLINE_MS);
    if (outcome?.kind === 'configured') return;
  }
}

function checkPeriodically(world: SimWorld): void {
  world.queue.at(world.queue.nowMs + CHECK_INTERVAL_MS, () => {
    world.checkInvariants();
    checkPeriodically(world);
  });
}

/** Runs events up to `untilMs`, after each also the microtasks and immediates that it queued. */
async function runUntil(world: SimWorld, untilMs: number): Promise<void> {
  while (world.queue.runNext(untilMs)) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function sessionsOf(world: SimWorld): readonly number[] {
  return [...(world.leader()?.node?.state.sessions.keys() ?? [])];
}

function checkHistory(
  world: SimWorld,
  drained: readonly DrainedInterval[],
  sessionsAtStart: readonly number[],
): void {
  for (const { promise, detail } of findViolations(world.journal))
    world.recordViolation({ invariant: promise, detail });
  for (const violation of findWorkWhileDrained(world, drained)) world.recordViolation(violation);
  checkFinalState(world);
  if (world.options.scenario.keepsOwners) checkSessionsKept(world, sessionsAtStart);
}

function findWorkWhileDrained(world: SimWorld, drained: readonly DrainedInterval[]): SimViolation[] {
  const executions = world.journal.filter((record): record is ExecutionRecord => record.kind === 'execution');
  return drained.flatMap(({ backend, fromMs, toMs }) => {
    const late = executions.filter((run) => run.backend === backend && run.atMs > fromMs && run.atMs < toMs);
    return late.map(({ atMs }) => ({
      invariant: 'leaving-gets-no-work',
      detail: `${backend} ran a request at ${atMs.toFixed(1)}, after ${fromMs.toFixed(1)}`,
    }));
  });
}

/** Checks the state after all repairs: a leader, an owner for every shard, the newest configuration everywhere. */
function checkFinalState(world: SimWorld): void {
  const state = world.leader()?.node?.state;
  if (state === undefined) {
    world.recordViolation({ invariant: 'recovers', detail: 'no replica leads at the end' });
    return;
  }
  const rows = state.shards.get(SERVICE)?.rows ?? [];
  const unowned = rows.filter((row) => row.owner === null).length;
  if (rows.length === 0 || unowned > 0) {
    world.recordViolation({
      invariant: 'recovers',
      detail: `${unowned} of ${rows.length} shards have no owner`,
    });
  }
  const { revision } = state.configuration;
  const { revision: acknowledged } = world.configurations;
  if (revision < acknowledged) {
    const detail = `revision ${acknowledged} was acknowledged, ${revision} is in force`;
    world.recordViolation({ invariant: 'acknowledged-survives', detail });
  }
  for (const { name, table } of world.routers) {
    if (table.revision === revision) continue;
    const detail = `${name} has revision ${table.revision}, control ${revision}`;
    world.recordViolation({ invariant: 'in-force-everywhere', detail });
  }
}

/** Faults of control replicas and routers alone must not end any session, so that no key loses its owner. */
function checkSessionsKept(world: SimWorld, sessionsAtStart: readonly number[]): void {
  const lost = sessionsAtStart.filter((id) => world.leader()?.node?.state.sessions.has(id) !== true);
  if (lost.length === 0) return;
  world.recordViolation({ invariant: 'owners-are-kept', detail: `sessions ${lost.join(', ')} were lost` });
}
