/** Randomized election timeout, so that few replicas become candidates at the same time. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Fraction of the election timeout over which the first elections after a start are spread. */
const FIRST_ELECTION_SPREAD_RATIO = 0.5;

/** Election deadline with seeded jitter; the same seed gives the same deadlines. */
export class ElectionTimer {
  private readonly generator;
  private deadlineMs = 0;

  constructor(
    private readonly timeoutMs: number,
    /** Interval between two heartbeats of a leader, in ms. */
    private readonly heartbeatMs: number,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Resets the deadline to between one and two election timeouts from now. */
  restart(nowMs: number): void {
    this.deadlineMs = nowMs + this.timeoutMs + uniformInt(this.generator, 0, Math.floor(this.timeoutMs));
  }

  /**
   * Resets the deadline while no message of a leader has been received since the process started: after a power loss of
   * the whole cluster there is no leader to wait for. A live leader has one heartbeat interval to send one; if it is
   * missed, every replica in contact with the leader refuses the pre-vote. The spread is long compared with the approximately
   * 10 ms that an election takes.
   */
  restartForFirstElection(nowMs: number): void {
    const jitterMs = uniformInt(this.generator, 0, Math.floor(this.timeoutMs * FIRST_ELECTION_SPREAD_RATIO));
    this.deadlineMs = nowMs + this.heartbeatMs + jitterMs;
  }

  /** Delays the deadline by time during which the process could not receive messages. */
  postpone(ms: number): void {
    this.deadlineMs += ms;
  }

  /** Whether the deadline has passed. */
  expired(nowMs: number): boolean {
    return nowMs >= this.deadlineMs;
  }
}
