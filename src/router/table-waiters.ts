/** Wait queue of requests that need a newer table. */

interface Waiter {
  readonly resolve: (updated: boolean) => void;
  readonly timer: NodeJS.Timeout;
}

/** Wait queue that is emptied by every table update. */
export class TableWaiters {
  private readonly waiting = new Set<Waiter>();

  /** Waits for the next update for at most `timeoutMs`; resolves to whether there was one. */
  async nextUpdate(timeoutMs: number): Promise<boolean> {
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

  /** Wakes all waiters after a table update. */
  notifyUpdated(): void {
    for (const { resolve, timer } of this.waiting) {
      clearTimeout(timer);
      resolve(true);
    }
    this.waiting.clear();
  }
}
