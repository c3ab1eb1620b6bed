/** What the leader does by itself: assigns shards without owner, empties leaving back ends, balances. */
import type { ServiceConfiguration } from '../config/configuration.js';
import type { ShardRow } from '../model/shard.js';
import { planPlacement, type PlacementBackend, type PlacementPlan } from '../placement/planner.js';
import type { ControlState } from './control-state.js';
import type { LoadTable } from './load-table.js';
import type { Proposals } from './proposals.js';

/** Time in ms after a service's first session in which its other back ends may still come. */
const FIRST_ASSIGNMENT_WAIT_MS = 1_000;

/** Moves of one service that may be under way at a time. */
const MAX_CONCURRENT_MOVES = 16;

const MS_PER_MINUTE = 60_000;

interface ServiceProgress {
  firstSessionMs: number | null;
  /** Moves for balance that may be started now; grows with time up to a minute's worth. */
  moveAllowance: number;
  allowanceMs: number;
  proposalUnderWay: boolean;
}

/** The planning loop of a leader. */
export class LeaderDuties {
  private readonly progress = new Map<string, ServiceProgress>();

  constructor(
    private readonly state: () => ControlState,
    private readonly proposals: Proposals,
    private readonly loads: LoadTable,
  ) {}

  /** This replica has become leader. */
  startLeading(): void {
    this.progress.clear();
    this.loads.clear();
  }

  /** Plans every service and proposes what is due. */
  run(nowMs: number): void {
    const { services } = this.state().configuration.document;
    for (const [name, service] of Object.entries(services)) this.runService(name, service, nowMs);
  }

  private runService(name: string, service: ServiceConfiguration, nowMs: number): void {
    const progress = this.progressOf(name, nowMs);
    if (progress.proposalUnderWay) return;
    const backends = liveBackends(this.state(), name, service);
    const rows = this.state().shards.get(name) ?? [];
    if (backends.length === 0 || !this.mayPlan(progress, service, backends, rows, nowMs)) return;
    refillAllowance(progress, service.placement.maxMovesPerMinute, nowMs);
    const underWay = rows.filter((row) => row.movingTo !== null).length;
    const freeMoves = Math.max(0, MAX_CONCURRENT_MOVES - underWay);
    const plan = planPlacement({
      rows,
      backends,
      loadOf: (shard) => this.loads.loadOf(name, shard),
      toleratedImbalance: service.placement.toleratedImbalance,
      maxBalanceMoves: Math.min(freeMoves, Math.floor(progress.moveAllowance)),
    });
    void this.proposePlan(name, plan, freeMoves, progress);
  }

  private async proposePlan(
    service: string,
    plan: PlacementPlan,
    freeMoves: number,
    progress: ServiceProgress,
  ): Promise<void> {
    const moves = plan.moves.slice(0, freeMoves);
    if (plan.assignments.length === 0 && moves.length === 0) return;
    progress.proposalUnderWay = true;
    progress.moveAllowance -= moves.length;
    const proposed = [];
    if (plan.assignments.length > 0) {
      proposed.push(this.proposals.propose({ kind: 'assign', service, assignments: plan.assignments }));
    }
    if (moves.length > 0) proposed.push(this.proposals.propose({ kind: 'begin-moves', service, moves }));
    await Promise.all(proposed);
    progress.proposalUnderWay = false;
  }

  /** A first assignment waits for all back ends, so that they need not be balanced at once. */
  private mayPlan(
    progress: ServiceProgress,
    service: ServiceConfiguration,
    backends: readonly PlacementBackend[],
    rows: readonly ShardRow[],
    nowMs: number,
  ): boolean {
    progress.firstSessionMs ??= nowMs;
    const neverOwned = rows.every((row) => row.epoch === 0);
    const allHere = backends.length >= Object.keys(service.backends).length;
    return !neverOwned || allHere || nowMs - progress.firstSessionMs >= FIRST_ASSIGNMENT_WAIT_MS;
  }

  private progressOf(name: string, nowMs: number): ServiceProgress {
    const known = this.progress.get(name);
    if (known !== undefined) return known;
    const progress = { firstSessionMs: null, moveAllowance: 0, allowanceMs: nowMs, proposalUnderWay: false };
    this.progress.set(name, progress);
    return progress;
  }
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
