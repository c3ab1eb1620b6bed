/** Requests that wait for a newer table. */

interface Waiter {
  readonly resolve: (updated: boolean) => void;
  readonly timer: NodeJS.Timeout;
}

/** A queue that every table update empties. */
export class TableWaiters {
  private readonly waiting = new Set<Waiter>();

  /** Waits for the next update, for at most `timeoutMs`; tells whether there was one. */
  async next(timeoutMs: number): Promise<boolean> {
    if (timeoutMs <= 0) return false;
    return await new Promise((resolve) => {
      const waiter: Waiter = {
        resolve,
        timer: setTimeout(() => {
          this.waiting.delete(waiter);
          resolve(false);
        }, timeoutMs),
      };
      this.waiting.add(waiter);
    });
  }

  /** The table was updated. */
  updated(): void {
    for (const { resolve, timer } of this.waiting) {
      clearTimeout(timer);
      resolve(true);
    }
    this.waiting.clear();
  }
}
