/**
 * Timers of this process that follow its clock: a timer that came due while the machine was suspended fires at once,
 * not after the remaining time on the steady clock.
 */

interface PendingTimer {
  readonly dueMs: number;
  readonly callback: () => void;
  handle: NodeJS.Timeout;
}

/** Set of one-shot timers. */
export class ProcessTimers {
  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly nowMs: () => number) {}

  /** Calls back once after `ms`; returns a function that cancels it. */
  after(ms: number, callback: () => void): () => void {
    const timer: PendingTimer = {
      dueMs: this.nowMs() + ms,
      callback,
      handle: setTimeout(() => {
        this.fire(timer);
      }, ms),
    };
    this.pending.add(timer);
    return () => {
      clearTimeout(timer.handle);
      this.pending.delete(timer);
    };
  }

  /** Reschedules all pending timers after the clock has skipped ahead. */
  clockSkipped(): void {
    const nowMs = this.nowMs();
    for (const timer of this.pending) {
      clearTimeout(timer.handle);
      timer.handle = setTimeout(
        () => {
          this.fire(timer);
        },
        Math.max(0, timer.dueMs - nowMs),
      );
    }
  }

  private fire(timer: PendingTimer): void {
    this.pending.delete(timer);
    timer.callback();
  }
}
