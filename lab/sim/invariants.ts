/** Checks of a simulated history that the judge of real runs does not make. */
import type { LogEntry } from '../../src/consensus/raft-types.js';

/** A broken invariant. */
export interface SimViolation {
  readonly invariant: string;
  readonly detail: string;
}

/** Shards that a back end would currently serve. */
export interface ServableShards {
  readonly backend: string;
  readonly shards: readonly number[];
}

/** Returns a violation for each shard that more than one back end would currently serve. */
export function findMultipleOwners(servable: readonly ServableShards[]): SimViolation[] {
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

/** Checks that all replicas apply the same entry at each log index. */
export class AppliedEntries {
  private readonly entries = new Map<number, string>();

  /** Records an entry that a replica applied; returns a violation if another entry was applied at its index. */
  recordApplied(replica: string, entry: LogEntry): SimViolation | null {
    const { payload } = entry;
    const content = `${entry.term} ${payload.kind === 'command' ? payload.proposalId : payload.kind}`;
    const known = this.entries.get(entry.index);
    this.entries.set(entry.index, known ?? content);
    if (known === undefined || known === content) return null;
    const detail = `${replica} applied ${content} at ${entry.index}, where ${known} was applied before`;
    return { invariant: 'acknowledged-survives', detail };
  }
}

/** Checks the revisions acknowledged to operators and those in force at daemons. */
export class AcknowledgedConfigurations {
  private newestRevision = 0;
  private readonly bySubmission = new Map<string, number>();
  private readonly inForce = new Map<string, number>();

  /** Newest acknowledged revision. */
  get revision(): number {
    return this.newestRevision;
  }

  /** Records that a submission was acknowledged as a revision. */
  recordAcknowledged(submissionId: string, revision: number): SimViolation | null {
    const known = this.bySubmission.get(submissionId);
    const conflicting = [...this.bySubmission].find(
      ([id, other]) => other === revision && id !== submissionId,
    );
    this.bySubmission.set(submissionId, revision);
    this.newestRevision = Math.max(this.newestRevision, revision);
    if (known !== undefined && known !== revision) {
      const detail = `${submissionId} was given revisions ${known} and ${revision}`;
      return { invariant: 'one-answer-a-submission', detail };
    }
    if (conflicting === undefined) return null;
    return {
      invariant: 'one-winner-a-revision',
      detail: `${conflicting[0]} and ${submissionId} both got ${revision}`,
    };
  }

  /** Records the revision in force at an incarnation of a daemon. */
  recordInForce(incarnation: string, revision: number): SimViolation | null {
    const earlier = this.inForce.get(incarnation) ?? 0;
    this.inForce.set(incarnation, Math.max(earlier, revision));
    if (revision >= earlier) return null;
    return {
      invariant: 'configuration-never-reverts',
      detail: `${incarnation} went from ${earlier} to ${revision}`,
    };
  }
}
