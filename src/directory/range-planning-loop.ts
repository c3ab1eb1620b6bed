/** Periodic task of the directory's leader that plans the key ranges of every keyed service. */
import { policyIsOn } from '../policy-switches.js';
import type { Proposals } from '../control/proposals.js';
import { ReducedCapacities } from '../placement/reduced-capacities.js';
import type { DirectoryCommand, DirectoryOutcome } from './directory-commands.js';
import {
  serviceDefinition,
  type BackendInstance,
  type DirectoryState,
  type KeyRange,
} from './directory-state.js';
import { KeyLoad } from './key-load.js';
import { planRanges } from './range-planner.js';
import type { RangePlan } from './range-view.js';

/** Time in ms without a change in the number of back ends before keys are assigned for the first time. */
const FIRST_ASSIGNMENT_QUIET_PERIOD_MS = 1_500;

/** Minimum time in ms between plans that may move keys for balance: the load must be measured again first. */
const MIN_REBALANCE_INTERVAL_MS = 2_000;

/**
 * The same when moves are costly, so that keys move only away from back ends that refuse work: each report of a back end
 * with waiting requests (every 300 ms) can lead to a plan.
 */
const MIN_RELIEF_INTERVAL_MS = policyIsOn('quick-balance') ? 500 : MIN_REBALANCE_INTERVAL_MS;

/**
 * Maximum share of a service's load whose keys are moved for balance within the cooldown of moved keys. Moves pause that
 * share of the requests; beyond it, refusals of a few back ends cost callers less than the moves.
 */
const MAX_MOVED_LOAD_SHARE = 0.25;

/** Minimum of usable slots, so that the utilization of a back end that accepts no requests is finite. */
const MIN_USABLE_SLOTS = 0.05;

interface ServicePlanningState {
  readonly load: KeyLoad;
  /** Usable slots of back ends that accept a limited request rate. */
  readonly capacities: ReducedCapacities;
  lastInstanceCount: number;
  lastInstanceChangeMs: number;
  proposalInFlight: boolean;
  nextRebalanceMs: number;
}

/** Plans key ranges while this replica leads. */
export class RangePlanningLoop {
  private readonly planningStates = new Map<string, ServicePlanningState>();

  /** Keys moved since the process start, by cause, and planning runs in which a limit on balance moves was reached. */
  readonly counters = { balancedKeys: 0, drainedKeys: 0, limitedPlans: 0 };

  constructor(
    private readonly state: () => DirectoryState,
    private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>,
    private readonly onPlan: (service: string, plan: RangePlan) => void,
  ) {}

  /** Discards all load figures when this replica becomes leader; daemons report their load again. */
  startLeading(): void {
    this.planningStates.clear();
  }

  /** Records the load that a daemon reported for its back end. */
  reportLoad(service: string, load: readonly (readonly [number, number])[], nowMs: number): void {
    if (load.length > 0) this.planningStateOf(service, nowMs).load.add(load, nowMs);
  }

  /** Records how many slots of a back end can be used, as its daemon reported; null if all can. */
  reportCapacity(service: string, id: string, usableSlots: number | null, nowMs: number): void {
    this.planningStateOf(service, nowMs).capacities.report(id, usableSlots, nowMs);
  }

  /** Plans every keyed service whose previous plan is no longer in flight. */
  run(nowMs: number): void {
    for (const [service, ranges] of this.state().ranges) this.planService(service, ranges, nowMs);
  }

  private planService(service: string, ranges: readonly KeyRange[], nowMs: number): void {
    const progress = this.planningStateOf(service, nowMs);
    progress.load.decay(nowMs);
    const instances = [...this.state().instances.values()].filter((instance) => instance.service === service);
    if (instances.length !== progress.lastInstanceCount) {
      progress.lastInstanceCount = instances.length;
      progress.lastInstanceChangeMs = nowMs;
    }
    const neverAssigned = ranges.every(({ fence }) => fence === 0);
    if (neverAssigned && nowMs - progress.lastInstanceChangeMs < FIRST_ASSIGNMENT_QUIET_PERIOD_MS) return;
    if (progress.proposalInFlight) return;
    const mayBalance = nowMs >= progress.nextRebalanceMs;
    const definition = serviceDefinition(this.state().items, service);
    const movesAreCostly = definition?.grantMode === 'heartbeat';
    const { load } = progress;
    const isCoolingDown = (bucket: number): boolean =>
      policyIsOn('move-rest') && load.isCoolingDown(bucket, nowMs);
    const { evacuatedZones } = this.state();
    const { all, coolingDown } = load.totals(nowMs);
    const plan = planRanges({
      ranges,
      instances,
      usableSlots: usableSlots(instances, progress.capacities, nowMs),
      load,
      mayBalance,
      movesAreCostly,
      movableLoad: Math.max(0, all * MAX_MOVED_LOAD_SHARE - coolingDown),
      evacuatedZones,
      isCoolingDown,
    });
    this.countMoves(plan);
    if (plan.assignments.length === 0 && plan.moves.length === 0) return;
    const intervalMs = movesAreCostly ? MIN_RELIEF_INTERVAL_MS : MIN_REBALANCE_INTERVAL_MS;
    if (mayBalance) progress.nextRebalanceMs = nowMs + intervalMs;
    if (plan.forBalance) for (const { from, to } of plan.moves) load.recordMove(from, to, nowMs);
    this.onPlan(service, plan);
    void this.propose(service, plan, progress);
  }

  private countMoves({ moves, forBalance, limitedBy }: RangePlan): void {
    const keys = moves.reduce((sum, { from, to }) => sum + to - from + 1, 0);
    this.counters[forBalance ? 'balancedKeys' : 'drainedKeys'] += keys;
    if (limitedBy !== undefined) this.counters.limitedPlans += 1;
  }

  private async propose(service: string, plan: RangePlan, progress: ServicePlanningState): Promise<void> {
    const commands: DirectoryCommand[] = [];
    if (plan.assignments.length > 0) {
      const assignments = plan.assignments.map(({ from, to, backend }) => ({ from, to, owner: backend }));
      commands.push({ kind: 'assign-ranges', service, assignments });
    }
    if (plan.moves.length > 0) {
      const moves = plan.moves.map(({ from, to, backend }) => ({ from, to, target: backend }));
      commands.push({ kind: 'begin-range-moves', service, moves });
    }
    progress.proposalInFlight = true;
    await Promise.all(commands.map(async (command) => await this.proposals.propose(command)));
    progress.proposalInFlight = false;
  }

  private planningStateOf(service: string, nowMs: number): ServicePlanningState {
    const known = this.planningStates.get(service);
    if (known !== undefined) return known;
    const progress: ServicePlanningState = {
      load: new KeyLoad(),
      capacities: new ReducedCapacities(),
      lastInstanceCount: 0,
      lastInstanceChangeMs: nowMs,
      proposalInFlight: false,
      nextRebalanceMs: nowMs + MIN_REBALANCE_INTERVAL_MS,
    };
    this.planningStates.set(service, progress);
    return progress;
  }
}

function usableSlots(
  instances: readonly BackendInstance[],
  capacities: ReducedCapacities,
  nowMs: number,
): ReadonlyMap<string, number> {
  const usable = new Map<string, number>();
  for (const { id, slots } of instances) {
    const capacity = capacities.capacityOf(id, nowMs);
    if (capacity !== null) usable.set(id, Math.max(MIN_USABLE_SLOTS, Math.min(slots, capacity)));
  }
  return usable;
}
