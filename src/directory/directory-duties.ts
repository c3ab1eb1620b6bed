/** What the leader of a directory does by itself: it plans the ranges of every keyed service. */
import { policyIsOn } from '../policy-switches.js';
import type { Proposals } from '../control/proposals.js';
import type { DirectoryCommand, DirectoryOutcome } from './directory-commands.js';
import { serviceDefinition, type DirectoryState, type KeyRange } from './directory-state.js';
import { KeyLoad } from './key-load.js';
import { planRanges, type RangePlan } from './range-planner.js';

/** Time in ms without a new back end after which keys that were never assigned are assigned. */
const FIRST_ASSIGNMENT_QUIET_MS = 1_500;

/** Length of a window of load, in ms. */
const LOAD_WINDOW_MS = policyIsOn('quick-balance') ? 500 : 1_000;

/** Pause after a move for balance, in ms: the load must be seen anew first. */
const BALANCE_PAUSE_MS = 2_000;

interface ServiceProgress {
  readonly load: KeyLoad;
  instancesSeen: number;
  lastJoinMs: number;
  proposalUnderWay: boolean;
  balanceDueMs: number;
  windowEndMs: number;
}

/** The planning loop of a leader. */
export class DirectoryDuties {
  private readonly progress = new Map<string, ServiceProgress>();

  constructor(
    private readonly state: () => DirectoryState,
    private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>,
    private readonly onPlan: (service: string, plan: RangePlan) => void,
  ) {}

  /** This replica has become leader; the load is reported anew. */
  startLeading(): void {
    this.progress.clear();
  }

  /** A daemon reports the load of its back end. */
  reportLoad(service: string, load: readonly (readonly [number, number])[], nowMs: number): void {
    if (load.length > 0) this.progressOf(service, nowMs).load.add(load);
  }

  /** Plans every keyed service that no earlier plan is under way for. */
  run(nowMs: number): void {
    for (const [service, ranges] of this.state().ranges) this.planService(service, ranges, nowMs);
  }

  private planService(service: string, ranges: readonly KeyRange[], nowMs: number): void {
    const progress = this.progressOf(service, nowMs);
    this.closeWindow(progress, nowMs);
    const instances = [...this.state().instances.values()].filter((instance) => instance.service === service);
    if (instances.length !== progress.instancesSeen) {
      progress.instancesSeen = instances.length;
      progress.lastJoinMs = nowMs;
    }
    const neverAssigned = ranges.every(({ fence }) => fence === 0);
    if (neverAssigned && nowMs - progress.lastJoinMs < FIRST_ASSIGNMENT_QUIET_MS) return;
    if (progress.proposalUnderWay) return;
    const mayBalance = nowMs >= progress.balanceDueMs;
    const definition = serviceDefinition(this.state().items, service);
    const movesAreCostly = definition?.grantMode === 'heartbeat';
    const { load } = progress;
    const rests = (bucket: number): boolean => policyIsOn('move-rest') && load.rests(bucket, nowMs);
    const { evacuatedZones } = this.state();
    const plan = planRanges({
      ranges,
      instances,
      load,
      mayBalance,
      movesAreCostly,
      evacuatedZones,
      rests,
    });
    if (plan.assignments.length === 0 && plan.moves.length === 0) return;
    if (mayBalance) progress.balanceDueMs = nowMs + BALANCE_PAUSE_MS;
    if (plan.forBalance) for (const { from, to } of plan.moves) load.noteMoved(from, to, nowMs);
    this.onPlan(service, plan);
    void this.propose(service, plan, progress);
  }

  private async propose(service: string, plan: RangePlan, progress: ServiceProgress): Promise<void> {
    const commands: DirectoryCommand[] = [];
    if (plan.assignments.length > 0) {
      const assignments = plan.assignments.map(({ from, to, backend }) => ({ from, to, owner: backend }));
      commands.push({ kind: 'assign-ranges', service, assignments });
    }
    if (plan.moves.length > 0) {
      const moves = plan.moves.map(({ from, to, backend }) => ({ from, to, target: backend }));
      commands.push({ kind: 'begin-range-moves', service, moves });
    }
    progress.proposalUnderWay = true;
    await Promise.all(commands.map(async (command) => await this.proposals.propose(command)));
    progress.proposalUnderWay = false;
  }

  private closeWindow(progress: ServiceProgress, nowMs: number): void {
    const sinceMs = nowMs - (progress.windowEndMs - LOAD_WINDOW_MS);
    if (sinceMs < LOAD_WINDOW_MS) return;
    progress.load.closeWindow(sinceMs);
    progress.windowEndMs = nowMs + LOAD_WINDOW_MS;
  }

  private progressOf(service: string, nowMs: number): ServiceProgress {
    const known = this.progress.get(service);
    if (known !== undefined) return known;
    const progress: ServiceProgress = {
      load: new KeyLoad(),
      instancesSeen: 0,
      lastJoinMs: nowMs,
      proposalUnderWay: false,
      balanceDueMs: nowMs + BALANCE_PAUSE_MS,
      windowEndMs: nowMs + LOAD_WINDOW_MS,
    };
    this.progress.set(service, progress);
    return progress;
  }
}
