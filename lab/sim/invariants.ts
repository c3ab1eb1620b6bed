/** Checks of a simulated history beyond those of the judge of real runs. */
import type { LogEntry } from '../../src/consensus/raft-types.js';

/** A broken invariant. */
export interface SimViolation {
  readonly invariant: string;
  readonly detail: string;
}

/** A shard that a back end would serve now. */
export interface Servable {
  readonly backend: string;
  readonly shards: readonly number[];
}

/** Shards that more than one back end would serve at this moment. */
export function findTwoServing(servable: readonly Servable[]): SimViolation[] {
  const owners = new Map<number, string>();
  const violations: SimViolation[] = [];
  for (const { backend, shards } of servable) {
    for (const shard of shards) {
      const other = owners.get(shard);
      const detail = `shard ${shard} would be served by ${other ?? ''} and ${backend}`;
      if (other !== undefined) violations.push({ invariant: 'one-owner-at-any-moment', detail });
      owners.set(shard, backend);
    }
  }
  return violations;
}

/** Compares what replicas have applied: one index holds one entry, everywhere and for good. */
export class AppliedEntries {
  private readonly entries = new Map<number, string>();

  /** Takes an entry that a replica has applied. */
  check(replica: string, entry: LogEntry): SimViolation | null {
    const { payload } = entry;
    const content = `${entry.term} ${payload.kind === 'command' ? payload.proposalId : payload.kind}`;
    const known = this.entries.get(entry.index);
    this.entries.set(entry.index, known ?? content);
    if (known === undefined || known === content) return null;
    const detail = `${replica} applied ${content} at ${entry.index}, where ${known} was applied before`;
    return { invariant: 'acknowledged-survives', detail };
  }
}

/** Configurations that were acknowledged to operators, and what daemons have in force. */
export class AcknowledgedConfigurations {
  private newest = 0;
  private readonly bySubmission = new Map<string, number>();
  private readonly inForce = new Map<string, number>();

  /** Newest acknowledged revision. */
  get revision(): number {
    return this.newest;
  }

  /** An operator was told that its submission has a revision. */
  acknowledged(submissionId: string, revision: number): SimViolation | null {
    const known = this.bySubmission.get(submissionId);
    const taken = [...this.bySubmission].find(([id, other]) => other === revision && id !== submissionId);
    this.bySubmission.set(submissionId, revision);
    this.newest = Math.max(this.newest, revision);
    if (known !== undefined && known !== revision) {
      const detail = `${submissionId} was given revisions ${known} and ${revision}`;
      return { invariant: 'one-answer-a-submission', detail };
    }
    if (taken === undefined) return null;
    return {
      invariant: 'one-winner-a-revision',
      detail: `${taken[0]} and ${submissionId} both got ${revision}`,
    };
  }

  /** A daemon's life has a revision in force. */
  seen(daemonLife: string, revision: number): SimViolation | null {
    const earlier = this.inForce.get(daemonLife) ?? 0;
    this.inForce.set(daemonLife, Math.max(earlier, revision));
    if (revision >= earlier) return null;
    return {
      invariant: 'configuration-never-reverts',
      detail: `${daemonLife} went from ${earlier} to ${revision}`,
    };
  }
}
