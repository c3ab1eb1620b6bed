/** What the leader does by itself: assigns shards without owner, empties leaving back ends, balances. */
import type { ServiceConfiguration } from '../config/configuration.js';
import type { ShardRow } from '../model/shard.js';
import { planPlacement, type PlacementBackend, type PlacementPlan } from '../placement/planner.js';
import { PolicyTable } from '../policy/policy-table.js';
import type { Change } from './changes.js';
import type { BackendAssignment, ControlCommand, ShardTarget } from './commands.js';
import type { ControlState } from './control-state.js';
import type { LoadTable } from './load-table.js';
import type { Proposals } from './proposals.js';

/** Time in ms without a new back end after which a service that was never assigned is assigned. */
const FIRST_ASSIGNMENT_QUIET_MS = 1_000;

/** Longest time in ms that a first assignment waits for back ends that go on coming. */
const FIRST_ASSIGNMENT_LIMIT_MS = 15_000;

/** Moves of one service that may be under way at a time. */
const MAX_CONCURRENT_MOVES = 16;

/** Pause between plans for balance, in ms; repairs and drains are planned whenever something has changed. */
const BALANCE_INTERVAL_MS = 1_000;

/**
 * Time in ms after which a run leaves the other services to the next one: a new leader that planned all of them at
 * once would keep its heartbeats waiting for longer than the election timeout.
 */
const RUN_BUDGET_MS = 20;

/**
 * Shards that one command assigns, so that applying and publishing it stays short on every replica; the next plan
 * goes on with the others.
 */
const MAX_ASSIGNMENTS = 1_000;

const MS_PER_MINUTE = 60_000;

interface ServiceProgress {
  firstSessionMs: number | null;
  /** Back ends that were there when one last came. */
  backendsSeen: number;
  lastJoinMs: number;
  /** Moves for balance that may be started now; grows with time up to a minute's worth. */
  moveAllowance: number;
  allowanceMs: number;
  proposalUnderWay: boolean;
  /** Whether something has changed since the last plan. */
  changed: boolean;
  balanceDueMs: number;
}

/** The planning loop of a leader. */
export class LeaderDuties {
  private readonly progress = new Map<string, ServiceProgress>();
  private readonly policies = new PolicyTable();
  /** Service after which the next run goes on. */
  private lastPlanned = '';
  private readonly problems = new Map<string, string>();

  constructor(
    private readonly state: () => ControlState,
    private readonly proposals: Proposals,
    private readonly loads: LoadTable,
    private readonly clockMs: () => number,
  ) {}

  /** This replica has become leader. */
  startLeading(): void {
    this.progress.clear();
    this.loads.clear();
  }

  /** Why the policy of a service could not be followed in its last plan; null when it was. */
  policyProblem(service: string): string | null {
    return this.problems.get(service) ?? null;
  }

  /** The state has changed: the services concerned are planned anew with the next run. */
  noteChanges(changes: readonly Change[]): void {
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

  /** Plans the services that are due, in turn, within the budget of one run, and proposes what follows. */
  run(nowMs: number): void {
    const { services } = this.state().configuration.document;
    for (const name of inTurn(Object.keys(services), this.lastPlanned)) {
      const service = services[name];
      const progress = this.progressOf(name, nowMs);
      const isDue = progress.changed || nowMs >= progress.balanceDueMs;
      if (service === undefined || !isDue || progress.proposalUnderWay) continue;
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
    const backends = liveBackends(this.state(), name, service);
    const rows = this.state().shards.get(name)?.rows ?? [];
    if (backends.length === 0 || !mayPlan(progress, service, backends, rows, nowMs)) return;
    const balances = nowMs >= progress.balanceDueMs;
    if (balances) progress.balanceDueMs = nowMs + BALANCE_INTERVAL_MS;
    progress.changed = false;
    refillAllowance(progress, service.placement.maxMovesPerMinute, nowMs);
    const underWay = rows.filter((row) => row.movingTo !== null).length;
    const freeMoves = Math.max(0, MAX_CONCURRENT_MOVES - underWay);
    const plan = planPlacement({
      rows,
      backends,
      loadOf: (shard) => this.loads.loadOf(name, shard),
      toleratedImbalance: service.placement.toleratedImbalance,
      maxAssignments: MAX_ASSIGNMENTS,
      policy: this.policies.policyOf(name, service),
      maxBalanceMoves: balances ? Math.min(freeMoves, Math.floor(progress.moveAllowance)) : 0,
    });
    if (plan.policyProblem === null) this.problems.delete(name);
    else this.problems.set(name, plan.policyProblem);
    void this.proposePlan(name, plan, freeMoves, progress);
  }

  private async proposePlan(
    service: string,
    plan: PlacementPlan,
    freeMoves: number,
    progress: ServiceProgress,
  ): Promise<void> {
    const moves = plan.moves.slice(0, freeMoves);
    const commands: ControlCommand[] = [];
    if (plan.assignments.length > 0) {
      commands.push({ kind: 'assign', service, assignments: groupByBackend(plan.assignments) });
    }
    if (moves.length > 0) commands.push({ kind: 'begin-moves', service, moves });
    if (commands.length === 0) return;
    progress.proposalUnderWay = true;
    progress.moveAllowance -= moves.length;
    const results = await Promise.all(commands.map(async (command) => await this.proposals.propose(command)));
    progress.proposalUnderWay = false;
    if (results.some((result) => result.err)) progress.changed = true;
  }

  private progressOf(name: string, nowMs: number): ServiceProgress {
    const known = this.progress.get(name);
    if (known !== undefined) return known;
    const progress: ServiceProgress = {
      firstSessionMs: null,
      backendsSeen: 0,
      lastJoinMs: nowMs,
      moveAllowance: 0,
      allowanceMs: nowMs,
      proposalUnderWay: false,
      changed: true,
      balanceDueMs: nowMs + BALANCE_INTERVAL_MS,
    };
    this.progress.set(name, progress);
    return progress;
  }
}

/** Names in order, those after `last` first. */
function inTurn(names: readonly string[], last: string): string[] {
  const sorted = [...names].sort();
  return [...sorted.filter((name) => name > last), ...sorted.filter((name) => name <= last)];
}

/**
 * A first assignment waits for all back ends, or until no more come: what goes to the first few would have to be
 * moved to the others one by one.
 */
function mayPlan(
  progress: ServiceProgress,
  service: ServiceConfiguration,
  backends: readonly PlacementBackend[],
  rows: readonly ShardRow[],
  nowMs: number,
): boolean {
  progress.firstSessionMs ??= nowMs;
  if (backends.length > progress.backendsSeen) progress.lastJoinMs = nowMs;
  progress.backendsSeen = backends.length;
  const neverOwned = rows.every((row) => row.epoch === 0);
  const allHere = backends.length >= Object.keys(service.backends).length;
  const quiet = nowMs - progress.lastJoinMs >= FIRST_ASSIGNMENT_QUIET_MS;
  const limitPassed = nowMs - progress.firstSessionMs >= FIRST_ASSIGNMENT_LIMIT_MS;
  return !neverOwned || allHere || quiet || limitPassed;
}

function refillAllowance(progress: ServiceProgress, perMinute: number, nowMs: number): void {
  const gained = ((nowMs - progress.allowanceMs) / MS_PER_MINUTE) * perMinute;
  progress.moveAllowance = Math.min(perMinute, progress.moveAllowance + gained);
  progress.allowanceMs = nowMs;
}

function liveBackends(state: ControlState, name: string, service: ServiceConfiguration): PlacementBackend[] {
  const backends: PlacementBackend[] = [];
  for (const session of state.sessions.values()) {
    if (session.service !== name) continue;
    const configured = service.backends[session.backend];
    // A back end that was taken out of the configuration is emptied like one that is leaving.
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
