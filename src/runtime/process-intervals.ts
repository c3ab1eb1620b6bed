/**
 * Intervals of this process. Intervals of the same length come due together, at multiples of the length since the process
 * started, and intervals that come due at about the same time share one wake-up: a daemon has a hundred connections or
 * more, each with its own interval.
 */

/** Time in ms by which a call may be early in order to share a wake-up. */
const SLACK_MS = 2;

/** Minimum time before the first call, as a fraction of the interval. */
const MIN_FIRST_CALL_RATIO = 0.5;

/** Clock and timer that drive the intervals. */
export interface IntervalClock {
  nowMs(): number;
  /** Calls back once after `ms`; returns a function that cancels it. */
  after(ms: number, callback: () => void): () => void;
}

interface Interval {
  readonly everyMs: number;
  readonly callback: () => void;
  dueMs: number;
}

/** Intervals that share wake-ups. */
export class ProcessIntervals {
  private readonly intervals = new Set<Interval>();
  private cancelWakeUp: (() => void) | null = null;
  private wakeUpMs = Infinity;
  private running = false;
  /** Origin of the multiples; it differs between processes, so that they do not wake up together. */
  private readonly originMs: number;

  constructor(private readonly clock: IntervalClock) {
    this.originMs = clock.nowMs();
  }

  /** Calls back about every `ms`; returns a function that ends the interval. */
  every(ms: number, callback: () => void): () => void {
    const nowMs = this.clock.nowMs();
    const interval = {
      everyMs: ms,
      callback,
      dueMs: this.nextMultiple(ms, nowMs + ms * MIN_FIRST_CALL_RATIO),
    };
    this.intervals.add(interval);
    if (!this.running && interval.dueMs < this.wakeUpMs) this.wakeUpAt(interval.dueMs, nowMs);
    return () => {
      this.intervals.delete(interval);
    };
  }

  private wakeUpAt(dueMs: number, nowMs: number): void {
    this.cancelWakeUp?.();
    this.wakeUpMs = dueMs;
    this.cancelWakeUp = this.clock.after(Math.max(0, dueMs - nowMs), () => {
      this.run();
    });
  }

  private run(): void {
    const nowMs = this.clock.nowMs();
    this.running = true;
    for (const interval of [...this.intervals]) {
      if (interval.dueMs > nowMs + SLACK_MS) continue;
      interval.dueMs = this.nextMultiple(interval.everyMs, nowMs + SLACK_MS);
      if (this.intervals.has(interval)) interval.callback();
    }
    this.running = false;
    this.scheduleNext();
  }

  private scheduleNext(): void {
    this.cancelWakeUp = null;
    this.wakeUpMs = Infinity;
    let dueMs = Infinity;
    for (const interval of this.intervals) dueMs = Math.min(dueMs, interval.dueMs);
    if (dueMs < Infinity) this.wakeUpAt(dueMs, this.clock.nowMs());
  }

  /** Returns the first multiple of `lengthMs` after `afterMs`. */
  private nextMultiple(lengthMs: number, afterMs: number): number {
    return this.originMs + (Math.floor((afterMs - this.originMs) / lengthMs) + 1) * lengthMs;
  }
}
