/**
 * Chooses back ends by a placement policy. A policy never makes a service unavailable: if it fails, or excludes every
 * back end for an unowned shard, that shard is placed by load alone and the problem is reported.
 */
import type { ShardRow } from '../model/shard.js';
import { PolicyBackend, PolicyShard, type Policy, type PolicyError } from '../policy/policy.js';
import type { BackendLoad, BackendLoads } from './backend-loads.js';
import type { Chooser, PlacementInput } from './planner.js';

/** Maximum number of evaluations in one plan; the next plan continues, so that the leader is not blocked for long. */
const MAX_EVALUATIONS = 50_000;

interface Candidate {
  readonly backend: BackendLoad;
  readonly rank: number;
}

/** Policy-based chooser for one plan. */
export class PolicyChooser implements Chooser {
  problem: string | null = null;
  private evaluations = 0;
  private readonly zones: ReadonlyMap<string, string>;

  constructor(
    private readonly policy: Policy,
    private readonly loads: BackendLoads,
    private readonly input: PlacementInput,
  ) {
    this.zones = new Map(input.backends.map(({ name, zone }) => [name, zone]));
  }

  /** Implements `Chooser.choose`. */
  choose(row: ShardRow, load: number): string | null {
    if (this.evaluations >= MAX_EVALUATIONS) return null;
    const candidates = this.candidatesFor(row, load);
    if (candidates.length === 0) {
      this.problem ??= `eligible: no back end may hold shard ${row.shard}`;
      return this.loads.addToLeastLoaded(load);
    }
    const limit = this.loads.mean * this.input.toleratedImbalance;
    const withCapacity = candidates.filter(({ backend }) => backend.load + load <= limit);
    const chosen = withCapacity.length > 0 ? bestRanked(withCapacity) : leastLoaded(candidates);
    this.loads.add(chosen.backend, load);
    return chosen.backend.name;
  }

  /** Implements `Chooser.mayBalance`. */
  mayBalance(row: ShardRow, load: number, target: BackendLoad): boolean {
    if (this.evaluations >= MAX_EVALUATIONS) return false;
    const shard = this.describeShard(row, load);
    this.evaluations += 2;
    const movable = this.policy.movable(null, shard);
    if (movable.err) return this.failed(movable.val);
    const eligible = this.policy.eligible(describeBackend(target), shard);
    return eligible.err ? this.failed(eligible.val) : movable.val && eligible.val;
  }

  private candidatesFor(row: ShardRow, load: number): Candidate[] {
    const shard = this.describeShard(row, load);
    const candidates: Candidate[] = [];
    for (const backend of this.loads.active) {
      const described = describeBackend(backend);
      this.evaluations += 2;
      const eligible = this.policy.eligible(described, shard);
      if (eligible.err) {
        this.failed(eligible.val);
        continue;
      }
      if (!eligible.val) continue;
      const rank = this.policy.rank(described, shard);
      if (rank.err) this.failed(rank.val);
      candidates.push({ backend, rank: rank.ok ? rank.val : 0 });
    }
    return candidates;
  }

  private describeShard({ shard, owner }: ShardRow, load: number): PolicyShard {
    return new PolicyShard(shard, load, owner ?? '', this.zones.get(owner ?? '') ?? '');
  }

  private failed({ expression, detail }: PolicyError): false {
    this.problem ??= `${expression}: ${detail}`;
    return false;
  }
}

function describeBackend({ name, zone, shards, load }: BackendLoad): PolicyBackend {
  return new PolicyBackend(name, zone, shards, load);
}

function bestRanked(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((best, candidate) => {
    if (candidate.rank !== best.rank) return candidate.rank > best.rank ? candidate : best;
    return candidate.backend.load < best.backend.load ? candidate : best;
  });
}

function leastLoaded(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((best, candidate) =>
    candidate.backend.load < best.backend.load ? candidate : best,
  );
}
