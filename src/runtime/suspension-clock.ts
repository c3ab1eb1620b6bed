/**
 * A clock that counts the time for which the machine was suspended. The steady clock stands still then and the wall clock
 * does not, so a wall clock that has moved on further than the steady one shows how much may be missing. A wall clock that
 * was set forward looks the same; nobody inside the machine can tell the two apart for sure, so such time counts as passed.
 * That is safe for whatever ends here, and wrong for what must have ended elsewhere: there the steady clock is used.
 */

/** Difference between the clocks in ms from which time counts as missing; reading both takes far less. */
const LEAST_JUMP_MS = 50;

/** Time in ms after which the difference is taken anew, so that clocks of different rates (500 ppm) never add up to a jump. */
const BASELINE_MS = 1_000;

/** Longest time in ms that one reading of both clocks may take to be trusted; a process may be stopped in between. */
const LONGEST_READING_MS = 5;

interface Reading {
  readonly steadyMs: number;
  /** How far the wall clock is ahead of the steady one. */
  readonly aheadMs: number;
}

/** The clock of one process. */
export class SuspensionClock {
  private skippedMs = 0;
  private baseline: Reading;

  constructor(
    private readonly steadyMs: () => number,
    private readonly wallMs: () => number,
    /** Called when time was skipped, after the clock has moved on. */
    private readonly onSkip: (ms: number) => void = () => undefined,
  ) {
    this.baseline = this.read();
  }

  /** Time that may have passed, in ms; it never goes back. */
  nowMs(): number {
    const steadyMs = this.steadyMs();
    const gapMs = this.wallMs() - steadyMs - this.baseline.aheadMs;
    const sinceMs = steadyMs - this.baseline.steadyMs;
    if (gapMs >= LEAST_JUMP_MS || gapMs <= -LEAST_JUMP_MS || sinceMs >= BASELINE_MS) this.rebase();
    return steadyMs + this.skippedMs;
  }

  private rebase(): void {
    const reading = this.read();
    const gapMs = reading.aheadMs - this.baseline.aheadMs;
    this.baseline = reading;
    if (gapMs < LEAST_JUMP_MS) return;
    this.skippedMs += gapMs;
    this.onSkip(gapMs);
  }

  /** Both clocks at one moment: a stop of the process between the two would look like a jump. */
  private read(): Reading {
    for (;;) {
      const beforeMs = this.steadyMs();
      const wallMs = this.wallMs();
      const afterMs = this.steadyMs();
      if (afterMs - beforeMs <= LONGEST_READING_MS) return { steadyMs: afterMs, aheadMs: wallMs - afterMs };
    }
  }
}
