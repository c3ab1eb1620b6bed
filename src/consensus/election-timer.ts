/** Deadline after which a replica stands for election, spread at random so that few stand at once. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A deadline with seeded jitter; the same seed gives the same deadlines. */
export class ElectionTimer {
  private readonly generator;
  private deadlineMs = 0;

  constructor(
    private readonly timeoutMs: number,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Starts anew: between one and two timeouts from now. */
  restart(nowMs: number): void {
    this.deadlineMs = nowMs + this.timeoutMs + uniformInt(this.generator, 0, Math.floor(this.timeoutMs));
  }

  /** Moves the deadline on, because the time did not count. */
  postpone(ms: number): void {
    this.deadlineMs += ms;
  }

  /** Whether the deadline has passed. */
  expired(nowMs: number): boolean {
    return nowMs >= this.deadlineMs;
  }
}
