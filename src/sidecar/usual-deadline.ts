/**
 * Tells how long a caller has been trying already. A caller that comes back after a refusal has less time left than
 * the route's callers have at their first try, and that first time is what many requests of the route carry alike.
 */

/** Deadlines that are counted; the oldest is forgotten first. */
const COUNTED = 128;

/** Deadlines that differ by less than this, in ms, count as the same. */
const STEP_MS = 20;

/** Requests that must have been seen before anything is concluded. */
const LEAST_SEEN = 16;

/**
 * Part of the counted requests that a deadline must have to be a usual one. Where most are refused and come back twice,
 * a quarter of the requests are first tries; later tries spread over many deadlines.
 */
const LEAST_SHARE = 0.15;

/** The usual deadline of one route. */
export class UsualDeadline {
  private readonly recent: number[] = [];
  private readonly counts = new Map<number, number>();

  /** A request came with this time left, in ms; returns the time in ms that its caller has spent before. */
  spentMs(deadlineMs: number): number {
    this.count(Math.round(deadlineMs / STEP_MS));
    const usual = this.longestFrequent();
    if (usual === null) return 0;
    const spentMs = usual * STEP_MS - deadlineMs;
    return spentMs < STEP_MS ? 0 : spentMs;
  }

  private count(step: number): void {
    this.recent.push(step);
    this.counts.set(step, (this.counts.get(step) ?? 0) + 1);
    if (this.recent.length <= COUNTED) return;
    const oldest = this.recent.shift() ?? 0;
    const left = (this.counts.get(oldest) ?? 1) - 1;
    if (left > 0) this.counts.set(oldest, left);
    else this.counts.delete(oldest);
  }

  /** A caller's time only becomes shorter, so of all frequent deadlines the longest one is that of first tries. */
  private longestFrequent(): number | null {
    if (this.recent.length < LEAST_SEEN) return null;
    const least = this.recent.length * LEAST_SHARE;
    let longest: number | null = null;
    for (const [step, count] of this.counts) {
      if (count > least && (longest === null || step > longest)) longest = step;
    }
    return longest;
  }
}
