/**
 * Intervals of this process. Those of one length come due together, at multiples of it since the process began, and
 * whatever comes due at about the same time shares one wake-up: a daemon holds a hundred connections and more, each with an
 * interval of its own.
 */

/** Time in ms by which an interval may come early, to share a wake-up. */
const SLACK_MS = 2;

/** Part of an interval that passes at least before its first call. */
const LEAST_FIRST_SHARE = 0.5;

/** The clock and timer that intervals run by. */
export interface IntervalClock {
  nowMs(): number;
  /** Calls back once after `ms`; returns how that is called off. */
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
  /** Multiples are counted from here, so that processes do not wake up together. */
  private readonly originMs: number;

  constructor(private readonly clock: IntervalClock) {
    this.originMs = clock.nowMs();
  }

  /** Calls back about every `ms`; returns how that is ended. */
  every(ms: number, callback: () => void): () => void {
    const nowMs = this.clock.nowMs();
    const interval = { everyMs: ms, callback, dueMs: this.nextMultiple(ms, nowMs + ms * LEAST_FIRST_SHARE) };
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

  /** The first multiple of a length after a time, in ms. */
  private nextMultiple(lengthMs: number, afterMs: number): number {
    return this.originMs + (Math.floor((afterMs - this.originMs) / lengthMs) + 1) * lengthMs;
  }
}
