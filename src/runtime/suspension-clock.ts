/**
 * A clock that includes the time for which the machine was suspended. The steady clock stops during suspension and the
 * wall clock does not, so the difference between their advances shows how much time may be missing. Setting the wall clock
 * forward looks the same, and the two cases cannot be distinguished reliably from inside the machine, so such time counts
 * as passed. That is safe for permissions that expire in this process, but not for deciding that those of another process
 * have expired: the steady clock is used for that.
 */

/** Minimum difference between the clocks' advances, in ms, that counts as missing time; reading both takes far less. */
const MIN_JUMP_MS = 50;

/** Interval in ms at which the baseline is renewed, so that drift between the clocks (500 ppm) never adds up to a jump. */
const BASELINE_INTERVAL_MS = 1_000;

/** Maximum duration in ms of a valid reading of both clocks; the process may be stopped in the middle of one. */
const MAX_READING_MS = 5;

interface Reading {
  readonly steadyMs: number;
  /** Difference of the wall clock to the steady clock. */
  readonly aheadMs: number;
}

/** The clock of one process. */
export class SuspensionClock {
  private skippedMs = 0;
  private baseline: Reading;

  constructor(
    private readonly steadyMs: () => number,
    private readonly wallMs: () => number,
    /** Called after the clock has skipped ahead. */
    private readonly onSkip: (ms: number) => void = () => undefined,
  ) {
    this.baseline = this.read();
  }

  /** Returns the time that may have passed, in ms; it never decreases. */
  nowMs(): number {
    const steadyMs = this.steadyMs();
    const gapMs = this.wallMs() - steadyMs - this.baseline.aheadMs;
    const sinceMs = steadyMs - this.baseline.steadyMs;
    if (gapMs >= MIN_JUMP_MS || gapMs <= -MIN_JUMP_MS || sinceMs >= BASELINE_INTERVAL_MS) this.rebase();
    return steadyMs + this.skippedMs;
  }

  private rebase(): void {
    const reading = this.read();
    const gapMs = reading.aheadMs - this.baseline.aheadMs;
    this.baseline = reading;
    if (gapMs < MIN_JUMP_MS) return;
    this.skippedMs += gapMs;
    this.onSkip(gapMs);
  }

  /** Reads both clocks at one moment; if the process were stopped between the two, it would look like a jump. */
  private read(): Reading {
    for (;;) {
      const beforeMs = this.steadyMs();
      const wallMs = this.wallMs();
      const afterMs = this.steadyMs();
      if (afterMs - beforeMs <= MAX_READING_MS) return { steadyMs: afterMs, aheadMs: wallMs - afterMs };
    }
  }
}
