/** Deadline after which a replica stands for election, spread at random so that few stand at once. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Part of the election timeout over which the first elections after a start are spread. */
const EARLY_SPREAD = 0.5;

/** A deadline with seeded jitter; the same seed gives the same deadlines. */
export class ElectionTimer {
  private readonly generator;
  private deadlineMs = 0;

  constructor(
    private readonly timeoutMs: number,
    /** Pause between two signs of life of a leader, in ms. */
    private readonly heartbeatMs: number,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Starts anew: between one and two timeouts from now. */
  restart(nowMs: number): void {
    this.deadlineMs = nowMs + this.timeoutMs + uniformInt(this.generator, 0, Math.floor(this.timeoutMs));
  }

  /**
   * Starts anew while no leader was heard since the process began: after a loss of power there is none to wait for.
   * One heartbeat is left to a leader that lives; a replica that stands in vain is refused the pre-votes of all that
   * hear one. The spread is long against the some 10 ms that an election takes.
   */
  restartEarly(nowMs: number): void {
    const spreadMs = uniformInt(this.generator, 0, Math.floor(this.timeoutMs * EARLY_SPREAD));
    this.deadlineMs = nowMs + this.heartbeatMs + spreadMs;
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
