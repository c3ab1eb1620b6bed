/** Previews the effect of a configuration change on placement by running the planner to completion on a copy. */
import type { ConfigurationDocument, ServiceConfiguration } from '../config/configuration.js';
import { emptyShardRow, type ShardRow } from '../model/shard.js';
import { BASE_LOAD } from '../control/load-table.js';
import { compilePolicy, type Policy } from '../policy/policy.js';
import { imbalance } from './measures.js';
import { planPlacement, type PlacementBackend } from './planner.js';

/** Maximum number of consecutive plans in a preview, in case placement does not converge. */
const MAX_PLANS = 2_000;

const MAX_BALANCE_MOVES_PER_PLAN = 16;

const SECONDS_PER_MINUTE = 60;

/** State from which a preview starts. */
export interface PreviewState {
  readonly configuration: { readonly revision: number; readonly document: ConfigurationDocument };
  readonly sessions: readonly { readonly backend: string; readonly service: string }[];
  readonly draining: readonly string[];
  readonly shards: readonly { readonly service: string; readonly rows: readonly ShardRow[] }[];
  /** Requests per second by service and shard. */
  readonly loads: readonly {
    readonly service: string;
    readonly rates: readonly (readonly [number, number])[];
  }[];
}

/** Effect of the change on one service. */
export interface ServicePreview {
  readonly service: string;
  readonly change: 'added' | 'changed' | 'removed' | 'unchanged';
  /** Number of unowned shards that would be assigned. */
  readonly assignments: number;
  /** Number of shards that would change owner by planned moves. */
  readonly churn: number;
  /** The same number without the change: moves that balancing would make anyway. */
  readonly churnWithoutChange: number;
  /** Ratio of largest to mean load, now and after all moves. */
  readonly imbalanceBefore: number;
  readonly imbalanceAfter: number;
  /** Duration of the moves in seconds at the configured rate. */
  readonly seconds: number;
  /** Shards with their new owners, in the order of assignment. */
  readonly moves: readonly { readonly shard: number; readonly from: string | null; readonly to: string }[];
  readonly policyProblem: string | null;
}

/** Previews every service of the current and the new configuration. */
export function previewPlacement(state: PreviewState, document: ConfigurationDocument): ServicePreview[] {
  const before = state.configuration.document.services;
  const names = new Set([...Object.keys(before), ...Object.keys(document.services)]);
  return [...names].sort().map((name) => previewService(state, name, before[name], document.services[name]));
}

function previewService(
  state: PreviewState,
  name: string,
  before: ServiceConfiguration | undefined,
  after: ServiceConfiguration | undefined,
): ServicePreview {
  const change = describeChange(before, after);
  if (after === undefined) {
    const none = {
      assignments: 0,
      churn: 0,
      churnWithoutChange: 0,
      imbalanceBefore: 1,
      imbalanceAfter: 1,
      seconds: 0,
    };
    return { service: name, change, ...none, moves: [], policyProblem: null };
  }
  const preview = new Preview(state, name, after).run(change);
  if (before === undefined || change === 'unchanged') return preview;
  const { churn: churnWithoutChange } = new Preview(state, name, before).run('unchanged');
  return { ...preview, churnWithoutChange };
}

function describeChange(
  before: ServiceConfiguration | undefined,
  after: ServiceConfiguration | undefined,
): ServicePreview['change'] {
  if (before === undefined) return 'added';
  if (after === undefined) return 'removed';
  return JSON.stringify(before) === JSON.stringify(after) ? 'unchanged' : 'changed';
}

class Preview {
  private readonly rows: ShardRow[];
  private readonly backends: readonly PlacementBackend[];
  private readonly rates: ReadonlyMap<number, number>;
  private readonly policy: Policy | null;
  private readonly moves: { shard: number; from: string | null; to: string }[] = [];
  private policyProblem: string | null = null;

  constructor(
    state: PreviewState,
    private readonly name: string,
    private readonly service: ServiceConfiguration,
  ) {
    const known = state.shards.find((shards) => shards.service === name)?.rows;
    this.rows = [...(known ?? Array.from({ length: service.shards }, (_, shard) => emptyShardRow(shard)))];
    this.backends = backendsAfter(state, name, service);
    this.rates = new Map(state.loads.find((loads) => loads.service === name)?.rates ?? []);
    const source = service.placement.policy;
    const compiled = source === undefined ? null : compilePolicy(source);
    this.policy = compiled?.ok === true ? compiled.val : null;
  }

  run(change: ServicePreview['change']): ServicePreview {
    const imbalanceBefore = this.imbalance();
    for (let plans = 0; plans < MAX_PLANS && this.planOnce(); plans += 1);
    const planned = this.moves.filter(({ from }) => from !== null).length;
    const { maxMovesPerMinute } = this.service.placement;
    return {
      service: this.name,
      change,
      assignments: this.moves.length - planned,
      churn: planned,
      churnWithoutChange: change === 'unchanged' ? planned : 0,
      imbalanceBefore,
      imbalanceAfter: this.imbalance(),
      seconds: maxMovesPerMinute === 0 ? 0 : Math.ceil((planned * SECONDS_PER_MINUTE) / maxMovesPerMinute),
      moves: this.moves,
      policyProblem: this.policyProblem,
    };
  }

  private planOnce(): boolean {
    const plan = planPlacement({
      rows: this.rows,
      backends: this.backends,
      loadOf: (shard) => this.loadOf(shard),
      toleratedImbalance: this.service.placement.toleratedImbalance,
      maxBalanceMoves: MAX_BALANCE_MOVES_PER_PLAN,
      policy: this.policy,
    });
    this.policyProblem ??= plan.policyProblem;
    const targets = [...plan.assignments, ...plan.moves];
    for (const { shard, backend } of targets) {
      const row = this.rows[shard];
      if (row === undefined) continue;
      this.moves.push({ shard, from: row.owner, to: backend });
      this.rows[shard] = { ...row, owner: backend };
    }
    return targets.length > 0;
  }

  private loadOf(shard: number): number {
    return BASE_LOAD + (this.rates.get(shard) ?? 0);
  }

  private imbalance(): number {
    const loads = new Map(this.backends.filter(({ draining }) => !draining).map(({ name }) => [name, 0]));
    for (const { shard, owner } of this.rows) {
      if (owner === null) continue;
      loads.set(owner, (loads.get(owner) ?? 0) + this.loadOf(shard));
    }
    return imbalance([...loads.values()]);
  }
}

/** Back ends with an open session, plus those added by the new configuration, which are assumed to start at once. */
function backendsAfter(state: PreviewState, name: string, service: ServiceConfiguration): PlacementBackend[] {
  const present = state.sessions.filter((session) => session.service === name).map(({ backend }) => backend);
  const configuredBefore = state.configuration.document.services[name]?.backends ?? {};
  const added = Object.keys(service.backends).filter((backend) => configuredBefore[backend] === undefined);
  return [...new Set([...present, ...added])].map((backend) => {
    const configured = service.backends[backend];
    const draining = configured === undefined || state.draining.includes(backend);
    return { name: backend, zone: configured?.zone ?? '', draining };
  });
}
