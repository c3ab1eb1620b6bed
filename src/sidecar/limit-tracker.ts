/**
 * Tracks which request limit of a back end is in force, from the statements in its answers. Answers may arrive out of
 * order. Only the answer to a request that was sent after a statement had been read is certainly newer than it; of
 * statements that cannot be ordered, the lower limit counts. Pure.
 */
import type { StatedLimit } from './backend-signals.js';

/** Change of the limit in force, in requests per second; null for no limit. */
export interface LimitChange {
  readonly kind: 'named' | 'changed' | 'lifted';
  readonly before: number | null;
  readonly after: number | null;
}

/** Limit in force of one incarnation of a back end. */
export class LimitTracker {
  /** Number of statements that were not readable; these are ignored. */
  unreadable = 0;
  private limit: number | null = null;
  private sentCount = 0;
  /** Number of requests that had been sent when the newest statement was read. */
  private sentBeforeNewest = 0;

  /** Limit in force in requests per second; null if there is none. */
  get perSecond(): number | null {
    return this.limit;
  }

  /** Discards the limit of the previous incarnation. */
  startIncarnation(): void {
    this.limit = null;
    this.sentBeforeNewest = this.sentCount;
  }

  /** Records that a request is sent; returns its number. */
  recordSent(): number {
    this.sentCount += 1;
    return this.sentCount;
  }

  /** Records what the answer to a request states; returns the change of the limit in force, or null. */
  recordStatement(stated: StatedLimit, requestNumber: number): LimitChange | null {
    if (stated.kind === 'unreadable') {
      this.unreadable += 1;
      return null;
    }
    const before = this.limit;
    const after = stated.kind === 'limited' ? stated.requestsPerSecond : null;
    const isNewer = requestNumber > this.sentBeforeNewest;
    if (!isNewer && isHigher(after, before)) return null;
    this.sentBeforeNewest = this.sentCount;
    this.limit = after;
    if (after === before) return null;
    const kind = before === null ? 'named' : after === null ? 'lifted' : 'changed';
    return { kind, before, after };
  }
}

function isHigher(limit: number | null, other: number | null): boolean {
  return (limit ?? Infinity) > (other ?? Infinity);
}
