/**
 * Timers of this process that follow its clock: one whose time has passed while the machine was suspended fires at once,
 * not after the rest of its time on the steady clock.
 */

interface PendingTimer {
  readonly dueMs: number;
  readonly callback: () => void;
  handle: NodeJS.Timeout;
}

/** The timers that fire once. */
export class ProcessTimers {
  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly nowMs: () => number) {}

  /** Calls back once after `ms`; returns how that is called off. */
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

  /** The clock has skipped time: what remains is measured anew. */
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
