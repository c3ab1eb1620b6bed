/** Periodic duties of the leader: assigns unowned shards, empties draining back ends and balances the load. */
import type { ServiceConfiguration } from '../config/configuration.js';
import type { ShardRow } from '../model/shard.js';
import { planPlacement, type PlacementBackend, type PlacementPlan } from '../placement/planner.js';
import { PLANNED_LIMIT_SHARE } from '../placement/reduced-capacities.js';
import { PolicyTable } from '../policy/policy-table.js';
import type { Change } from './changes.js';
import type { BackendAssignment, ControlCommand, ShardTarget } from './commands.js';
import type { ControlState } from './control-state.js';
import { BASE_LOAD, type LoadTable } from './load-table.js';
import type { Proposals } from './proposals.js';

/** Time in ms without a new back end after which the first assignment of a service is made. */
const FIRST_ASSIGNMENT_QUIET_MS = 1_000;

/** Maximum time in ms that a first assignment waits while new back ends keep joining. */
const MAX_FIRST_ASSIGNMENT_WAIT_MS = 15_000;

/** Maximum number of moves in flight per service. */
const MAX_CONCURRENT_MOVES = 16;

/** Interval between balancing plans, in ms; repairs and drains are planned after every change. */
const BALANCE_INTERVAL_MS = 1_000;

/**
 * Time in ms after which a run leaves the remaining services to the next run. A new leader that planned all services
 * at once would delay its heartbeats beyond the election timeout.
 */
const RUN_BUDGET_MS = 20;

/**
 * Maximum number of shards assigned by one command, so that applying and publishing it takes little time on every
 * replica; the next plan continues with the remaining shards.
 */
const MAX_ASSIGNMENTS_PER_COMMAND = 1_000;

const MS_PER_MINUTE = 60_000;

interface ServiceProgress {
  firstSessionMs: number | null;
  /** Number of live back ends at the previous run. */
  lastBackendCount: number;
  lastJoinMs: number;
  /** Number of balancing moves that may be started now; refilled over time up to the limit per minute. */
  moveAllowance: number;
  allowanceRefilledMs: number;
  proposalInFlight: boolean;
  /** Whether the state has changed since the last plan. */
  changed: boolean;
  balanceDueMs: number;
}

/** Planning loop of the leader. */
export class LeaderDuties {
  private readonly progress = new Map<string, ServiceProgress>();
  private readonly policies = new PolicyTable();
  /** Last service planned; the next run continues after it. */
  private lastPlanned = '';
  private readonly problems = new Map<string, string>();

  constructor(
    private readonly state: () => ControlState,
    private readonly proposals: Proposals,
    private readonly loads: LoadTable,
    private readonly clockMs: () => number,
  ) {}

  /** Resets the planning state when this replica becomes the leader. */
  startLeading(): void {
    this.progress.clear();
    this.loads.clear();
  }

  /** Returns the reason why the last plan of a service could not follow its policy; null when it did. */
  policyProblem(service: string): string | null {
    return this.problems.get(service) ?? null;
  }

  /** Marks the services affected by changes of the state for planning in the next run. */
  recordChanges(changes: readonly Change[]): void {
    for (const change of changes) {
      if (change.kind === 'crash-records') continue;
      if (change.kind === 'configuration' || change.kind === 'drain') {
        for (const progress of this.progress.values()) progress.changed = true;
        continue;
      }
      const service = change.kind === 'session-opened' ? change.session.service : change.service;
      const progress = this.progress.get(service);
      if (progress !== undefined) progress.changed = true;
    }
  }

  /** Plans the services that are due in round-robin order within the time budget of one run, and proposes the plans. */
  run(nowMs: number): void {
    const { services } = this.state().configuration.document;
    for (const name of roundRobinOrder(Object.keys(services), this.lastPlanned)) {
      const service = services[name];
      const progress = this.progressOf(name, nowMs);
      const isDue = progress.changed || nowMs >= progress.balanceDueMs;
      if (service === undefined || !isDue || progress.proposalInFlight) continue;
      this.lastPlanned = name;
      this.planService(name, service, progress, nowMs);
      if (this.clockMs() - nowMs >= RUN_BUDGET_MS) return;
    }
  }

  private planService(
    name: string,
    service: ServiceConfiguration,
    progress: ServiceProgress,
    nowMs: number,
  ): void {
    const live = liveBackends(this.state(), name, service);
    const rows = this.state().shards.get(name)?.rows ?? [];
    const backends = live.map((backend) => ({
      ...backend,
      capacity: this.capacityOf(backend, rows, live, nowMs),
    }));
    if (backends.length === 0 || !isReadyToPlan(progress, service, backends, rows, nowMs)) return;
    const includesBalancing = nowMs >= progress.balanceDueMs;
    if (includesBalancing) progress.balanceDueMs = nowMs + BALANCE_INTERVAL_MS;
    progress.changed = false;
    refillAllowance(progress, service.placement.maxMovesPerMinute, nowMs);
    const movesInFlight = rows.filter((row) => row.movingTo !== null).length;
    const availableMoves = Math.max(0, MAX_CONCURRENT_MOVES - movesInFlight);
    const plan = planPlacement({
      rows,
      backends,
      loadOf: (shard) => this.loads.loadOf(name, shard),
      toleratedImbalance: service.placement.toleratedImbalance,
      maxAssignments: MAX_ASSIGNMENTS_PER_COMMAND,
      policy: this.policies.policyOf(name, service),
      maxBalanceMoves: includesBalancing ? Math.min(availableMoves, Math.floor(progress.moveAllowance)) : 0,
    });
    if (plan.policyProblem === null) this.problems.delete(name);
    else this.problems.set(name, plan.policyProblem);
    void this.proposePlan(name, plan, availableMoves, progress);
  }

  /** Returns the load that a back end with a request limit may have, and the base load of its share of the shards. */
  private capacityOf(
    { name }: LiveBackend,
    rows: readonly ShardRow[],
    backends: readonly LiveBackend[],
    nowMs: number,
  ): number | null {
    const limit = this.loads.limitOf(name, nowMs);
    if (limit === null) return null;
    return limit * PLANNED_LIMIT_SHARE + (BASE_LOAD * rows.length) / backends.length;
  }

  private async proposePlan(
    service: string,
    plan: PlacementPlan,
    availableMoves: number,
    progress: ServiceProgress,
  ): Promise<void> {
    const moves = plan.moves.slice(0, availableMoves);
    const commands: ControlCommand[] = [];
    if (plan.assignments.length > 0) {
      commands.push({ kind: 'assign', service, assignments: groupByBackend(plan.assignments) });
    }
    if (moves.length > 0) commands.push({ kind: 'begin-moves', service, moves });
    if (commands.length === 0) return;
    progress.proposalInFlight = true;
    progress.moveAllowance -= moves.length;
    const results = await Promise.all(commands.map(async (command) => await this.proposals.propose(command)));
    progress.proposalInFlight = false;
    if (results.some((result) => result.err)) progress.changed = true;
  }

  private progressOf(name: string, nowMs: number): ServiceProgress {
    const existing = this.progress.get(name);
    if (existing !== undefined) return existing;
    const progress: ServiceProgress = {
      firstSessionMs: null,
      lastBackendCount: 0,
      lastJoinMs: nowMs,
      moveAllowance: 0,
      allowanceRefilledMs: nowMs,
      proposalInFlight: false,
      changed: true,
      balanceDueMs: nowMs + BALANCE_INTERVAL_MS,
    };
    this.progress.set(name, progress);
    return progress;
  }
}

/** Returns the sorted names, starting with those after `last`. */
function roundRobinOrder(names: readonly string[], last: string): string[] {
  const sorted = [...names].sort();
  return [...sorted.filter((name) => name > last), ...sorted.filter((name) => name <= last)];
}

/**
 * A first assignment waits until all back ends have joined or no more are joining: shards assigned to the first few
 * would have to be moved to the others one by one.
 */
function isReadyToPlan(
  progress: ServiceProgress,
  service: ServiceConfiguration,
  backends: readonly PlacementBackend[],
  rows: readonly ShardRow[],
  nowMs: number,
): boolean {
  progress.firstSessionMs ??= nowMs;
  if (backends.length > progress.lastBackendCount) progress.lastJoinMs = nowMs;
  progress.lastBackendCount = backends.length;
  const isFirstAssignment = rows.every((row) => row.epoch === 0);
  const allJoined = backends.length >= Object.keys(service.backends).length;
  const noRecentJoin = nowMs - progress.lastJoinMs >= FIRST_ASSIGNMENT_QUIET_MS;
  const maxWaitPassed = nowMs - progress.firstSessionMs >= MAX_FIRST_ASSIGNMENT_WAIT_MS;
  return !isFirstAssignment || allJoined || noRecentJoin || maxWaitPassed;
}

function refillAllowance(progress: ServiceProgress, perMinute: number, nowMs: number): void {
  const gained = ((nowMs - progress.allowanceRefilledMs) / MS_PER_MINUTE) * perMinute;
  progress.moveAllowance = Math.min(perMinute, progress.moveAllowance + gained);
  progress.allowanceRefilledMs = nowMs;
}

type LiveBackend = Omit<PlacementBackend, 'capacity'>;

function liveBackends(state: ControlState, name: string, service: ServiceConfiguration): LiveBackend[] {
  const backends: LiveBackend[] = [];
  for (const session of state.sessions.values()) {
    if (session.service !== name) continue;
    const configured = service.backends[session.backend];
    // A back end that was removed from the configuration is emptied like a draining one.
    const draining = configured === undefined || state.draining.has(session.backend);
    backends.push({ name: session.backend, zone: configured?.zone ?? '', draining });
  }
  return backends;
}

function groupByBackend(targets: readonly ShardTarget[]): BackendAssignment[] {
  const groups = new Map<string, number[]>();
  for (const { shard, backend } of targets) {
    const group = groups.get(backend) ?? [];
    groups.set(backend, group);
    group.push(shard);
  }
  return [...groups].map(([backend, shards]) => ({ backend, shards: Uint32Array.from(shards) }));
}
