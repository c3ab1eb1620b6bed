/**
 * Grants that a back end may still take: each counts from its sending until its answer, and one that got no answer for
 * as long as the back end has not seen a higher fence on its keys. One that is taken after its keys have moved on would
 * make two back ends hold them.
 */
import type { GrantResult, HeldRange } from './backend-report.js';
import { overlaps, subtractSpan } from '../directory/key-ranges.js';

/** Grants that are remembered one by one; beyond that the two oldest are remembered as one. */
const REMEMBERED = 512;

/** What must be done before a range may leave its back end. */
export type Certainty =
  /** No grant that may still be taken could bring the range back. */
  | 'certain'
  /** The grant that makes the range certain is under way. */
  | 'to-be-awaited'
  /** The back end must be seen to take the range under its present fence. */
  | 'to-be-granted'
  /** The range needs a fence above those of the grants that may still be taken. */
  | 'to-be-fenced';

/**
 * Kept by the keys that it covers, from its sending on: kept under the name of its range, a call was forgotten when a move
 * cut the range, and brought keys back that another back end held.
 */
interface OutstandingGrant extends HeldRange {
  /** Number of the call while it is under way; null when no answer came. */
  readonly call: number | null;
  /** Whether it was sent to make a moving range certain. */
  readonly forMove: boolean;
}

/** Outstanding grants of one life of a back end, whichever way they were granted. */
export class OutstandingGrants {
  private grants: readonly OutstandingGrant[] = [];
  private lastCall = 0;

  /** A grant is sent, of a range that is to move or of one that stays; returns the number of the call. */
  sent({ from, to, fence }: HeldRange, forMove: boolean): number {
    this.lastCall += 1;
    this.add({ from, to, fence, call: this.lastCall, forMove });
    return this.lastCall;
  }

  /** What became of a call; nothing where the life that it was sent to is over. */
  settled(call: number, range: HeldRange, result: GrantResult): void {
    const parts = this.grants.filter((grant) => grant.call === call);
    if (parts.length === 0) return;
    this.grants = this.grants.filter((grant) => grant.call !== call);
    if (result === 'granted') this.noteSeen(range);
    if (result === 'unanswered') for (const part of parts) this.addUnanswered(part);
  }

  /** An earlier life of the daemon may have sent it. */
  inherit(range: HeldRange): void {
    this.addUnanswered(range);
  }

  /** The back end has seen a fence, so it refuses all that is below it. */
  noteSeen(seen: HeldRange): void {
    this.grants = this.grants.flatMap((grant) =>
      grant.fence < seen.fence ? subtractSpan(grant, seen) : [grant],
    );
  }

  /**
   * What is needed before a range may leave. A renewal that is under way is fenced like one without answer: a move that
   * waited for it would wait for as long as a call may. A grant that was sent for the move is awaited, since raising the
   * fence once more would make it worthless.
   */
  certaintyOf(range: HeldRange): Certainty {
    const pending = this.grants.filter((grant) => overlaps(grant, range));
    if (pending.length === 0) return 'certain';
    const present = pending.filter(({ fence }) => fence >= range.fence);
    if (present.length === 0) return 'to-be-granted';
    return present.every(({ call, forMove }) => call !== null && forMove) ? 'to-be-awaited' : 'to-be-fenced';
  }

  /** The back end has another life. */
  clear(): void {
    this.grants = [];
  }

  private addUnanswered({ from, to, fence }: HeldRange): void {
    const isKnown = this.grants.some((grant) => {
      return grant.call === null && grant.fence === fence && grant.from <= from && grant.to >= to;
    });
    if (!isKnown) this.add({ from, to, fence, call: null, forMove: false });
  }

  private add(grant: OutstandingGrant): void {
    this.grants = [...this.grants, grant];
    const [oldest, next, ...rest] = this.grants;
    if (this.grants.length <= REMEMBERED || oldest === undefined || next === undefined) return;
    this.grants = [joined(oldest, next), ...rest];
  }
}

/** One grant that covers whatever either of two could bring back. */
function joined(one: OutstandingGrant, other: OutstandingGrant): OutstandingGrant {
  const from = Math.min(one.from, other.from);
  const to = Math.max(one.to, other.to);
  return { from, to, fence: Math.max(one.fence, other.fence), call: null, forMove: false };
}
