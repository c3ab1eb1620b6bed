/**
 * Records the stalls of a process that observes others: while it does not run, it sees nothing, and what it sees first
 * afterwards may have happened at any time during the stall. Times are in ms of a clock that all processes share.
 */

/** Interval between checks, in ms. */
const CHECK_INTERVAL_MS = 10;

/** Minimum delay of a check that is recorded, in ms. */
const MIN_STALL_MS = 20;

/** Time in ms for which a stall is kept. */
const KEPT_MS = 10_000;

/** A span during which the process did not run. */
interface Stall {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Stalls of this process. */
export class StallLog {
  /** Longest stall so far, in ms. */
  longestMs = 0;
  private stalls: Stall[] = [];
  private checkedMs: number;
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly nowMs: () => number) {
    this.checkedMs = nowMs();
  }

  /** Starts checking. */
  start(): void {
    this.timer = setInterval(() => {
      this.check();
    }, CHECK_INTERVAL_MS);
  }

  /** Stops checking. */
  stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
  }

  /** Records the stall that ends now, if there was one. */
  check(): void {
    const nowMs = this.nowMs();
    const stall = { fromMs: this.checkedMs, toMs: nowMs };
    this.checkedMs = nowMs;
    const lengthMs = stall.toMs - stall.fromMs;
    if (lengthMs < CHECK_INTERVAL_MS + MIN_STALL_MS) return;
    this.longestMs = Math.max(this.longestMs, lengthMs);
    this.stalls = this.stalls.filter(({ toMs }) => toMs > nowMs - KEPT_MS);
    this.stalls.push(stall);
  }

  /** Returns the earliest time at which something that is seen at `seenMs` may have happened. */
  earliestMs(seenMs: number): number {
    this.check();
    let earliestMs = seenMs;
    for (const { fromMs, toMs } of [...this.stalls].reverse()) {
      if (fromMs < earliestMs && toMs >= earliestMs - CHECK_INTERVAL_MS - MIN_STALL_MS)
        earliestMs = Math.min(earliestMs, fromMs);
    }
    return earliestMs;
  }
}
