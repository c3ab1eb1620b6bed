/**
 * Grants that a back end may still apply. A grant is outstanding from its sending until its answer; one without an
 * answer stays outstanding until the back end has seen a higher fence on its keys. A grant that is applied after
 * its keys have moved on would make two back ends hold them.
 */
import type { GrantResult, HeldRange } from './backend-report.js';
import { overlaps, subtractSpan } from '../directory/key-ranges.js';

/** Maximum number of grants stored individually; beyond it the two oldest are merged into one. */
const MAX_GRANTS = 512;

/** What must be done before a range may be released by its back end. */
export type ReleaseReadiness =
  /** No outstanding grant could bring the range back. */
  | 'certain'
  /** The grant that makes the release safe is in flight. */
  | 'to-be-awaited'
  /** The back end must confirm a grant of the range under its present fence. */
  | 'to-be-granted'
  /** The range needs a higher fence than its outstanding grants. */
  | 'to-be-fenced';

/**
 * Stored by the keys that it covers, from its sending on. When grants were stored by range name, a call was lost
 * when a move split the range, and it brought back keys that another back end held.
 */
interface OutstandingGrant extends HeldRange {
  /** Number of the call while it is in flight; null if it got no answer. */
  readonly call: number | null;
  /** Whether it was sent to make the release of a moving range safe. */
  readonly forMove: boolean;
}

/** Outstanding grants of one incarnation of a back end, from both grant modes. */
export class OutstandingGrants {
  private grants: readonly OutstandingGrant[] = [];
  private lastCall = 0;

  /** Records that a grant is sent, for a moving range or for one that stays; returns the number of the call. */
  recordSent({ from, to, fence }: HeldRange, forMove: boolean): number {
    this.lastCall += 1;
    this.add({ from, to, fence, call: this.lastCall, forMove });
    return this.lastCall;
  }

  /** Records the result of a call; ignored if the incarnation that it was sent to has ended. */
  recordResult(call: number, range: HeldRange, result: GrantResult): void {
    const parts = this.grants.filter((grant) => grant.call === call);
    if (parts.length === 0) return;
    this.grants = this.grants.filter((grant) => grant.call !== call);
    if (result === 'granted') this.recordSeenFence(range);
    if (result === 'unanswered') for (const part of parts) this.addUnanswered(part);
  }

  /** Records a grant that an earlier process of the daemon may have sent. */
  recordInherited(range: HeldRange): void {
    this.addUnanswered(range);
  }

  /** Records that the back end has seen a fence, so that it refuses all grants with lower ones. */
  recordSeenFence(shown: HeldRange): void {
    this.grants = this.grants.flatMap((grant) =>
      grant.fence < shown.fence ? subtractSpan(grant, shown) : [grant],
    );
  }

  /**
   * Returns what must be done before a range may be released. A renewal in flight is fenced like one without an
   * answer: a move that waited for it would wait for the timeout of the call. A grant sent for the move is awaited
   * instead, since raising the fence again would make it useless.
   */
  releaseReadiness(range: HeldRange): ReleaseReadiness {
    const pending = this.grants.filter((grant) => overlaps(grant, range));
    if (pending.length === 0) return 'certain';
    const currentOrNewer = pending.filter(({ fence }) => fence >= range.fence);
    if (currentOrNewer.length === 0) return 'to-be-granted';
    return currentOrNewer.every(({ call, forMove }) => call !== null && forMove)
      ? 'to-be-awaited'
      : 'to-be-fenced';
  }

  /** Discards all grants: the back end has a new incarnation. */
  clear(): void {
    this.grants = [];
  }

  private addUnanswered({ from, to, fence }: HeldRange): void {
    const isCovered = this.grants.some((grant) => {
      return grant.call === null && grant.fence === fence && grant.from <= from && grant.to >= to;
    });
    if (!isCovered) this.add({ from, to, fence, call: null, forMove: false });
  }

  private add(grant: OutstandingGrant): void {
    this.grants = [...this.grants, grant];
    const [oldest, next, ...rest] = this.grants;
    if (this.grants.length <= MAX_GRANTS || oldest === undefined || next === undefined) return;
    this.grants = [merge(oldest, next), ...rest];
  }
}

/** Returns one grant that covers the keys and the fence of both. */
function merge(first: OutstandingGrant, second: OutstandingGrant): OutstandingGrant {
  const from = Math.min(first.from, second.from);
  const to = Math.max(first.to, second.to);
  return { from, to, fence: Math.max(first.fence, second.fence), call: null, forMove: false };
}
