/**
 * Grants that a back end may still take: they were sent and not answered. One that is taken after its keys have moved
 * on would make two back ends hold them. A back end refuses it once it has seen a higher fence on those keys.
 */
import type { HeldRange } from './backend-report.js';
import { overlaps } from '../directory/key-ranges.js';

/** Grants that are remembered; the oldest is forgotten first. */
const REMEMBERED = 512;

/** What must be done before a range may leave its back end. */
export type Certainty =
  /** No grant that may still be taken could bring the range back. */
  | 'certain'
  /** The back end must be seen to take the range under its present fence. */
  | 'to-be-granted'
  /** The range needs a fence above those of the grants that may still be taken. */
  | 'to-be-fenced';

/** Grants without answer of one life of a back end. */
export class UncertainGrants {
  private grants: HeldRange[] = [];
  private answered: HeldRange[] = [];

  /** A grant was sent and not answered, or an earlier life of the daemon may have sent it. */
  noteUnanswered({ from, to, fence }: HeldRange): void {
    this.grants = [...this.grants, { from, to, fence }].slice(-REMEMBERED);
  }

  /** The back end has taken a grant. */
  noteAnswered({ from, to, fence }: HeldRange): void {
    const known = this.answered.some(
      (range) => range.from === from && range.to === to && range.fence === fence,
    );
    if (!known) this.answered = [...this.answered, { from, to, fence }].slice(-REMEMBERED);
  }

  /** What is needed before a range may leave. */
  certaintyOf(range: HeldRange): Certainty {
    const pending = this.grants.filter((grant) => overlaps(grant, range));
    if (pending.length === 0) return 'certain';
    if (pending.some(({ fence }) => fence >= range.fence)) return 'to-be-fenced';
    const seen = this.answered.some(
      ({ from, to, fence }) => fence === range.fence && from <= range.from && to >= range.to,
    );
    return seen ? 'certain' : 'to-be-granted';
  }

  /** The back end has another life. */
  clear(): void {
    this.grants = [];
    this.answered = [];
  }
}
