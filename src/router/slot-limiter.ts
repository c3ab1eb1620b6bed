/**
 * Limits the requests of this router in flight at one back end, with a queue. A request that is not expected to
 * get a slot within its time budget is refused on arrival instead of at its deadline.
 */

/** Weight of the newest sample in the moving average (EWMA) of the time that a request holds its slot. */
const EWMA_WEIGHT = 0.1;

/** Lower bound of the retry-after of a refused request, in ms. */
const MIN_RETRY_AFTER_MS = 20;

/** Result of a request for a slot. */
export type SlotOutcome =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  | { readonly kind: 'deadline-passed' };

interface Waiter {
  readonly settle: (outcome: SlotOutcome) => void;
  readonly timer: NodeJS.Timeout;
}

const SLOT_GRANTED: SlotOutcome = { kind: 'granted' };

/** Concurrency limiter for one back end. */
export class SlotLimiter {
  private inUse = 0;
  private readonly queue: Waiter[] = [];
  private averageHoldMs = 0;

  constructor(
    private slots: number,
    private readonly maxQueued: number,
  ) {}

  /** Number of requests that hold a slot. */
  get inFlight(): number {
    return this.inUse;
  }

  /** Number of requests that wait for a slot. */
  get queued(): number {
    return this.queue.length;
  }

  /** Changes the number of slots; requests that hold a slot keep it. */
  resize(slots: number): void {
    this.slots = slots;
    this.admitWaiting();
  }

  /** Acquires a slot if one is free and the queue is empty. */
  tryAcquire(): boolean {
    if (this.inUse >= this.slots || this.queue.length > 0) return false;
    this.inUse += 1;
    return true;
  }

  /** Waits for a slot for at most `budgetMs`. */
  async acquire(budgetMs: number): Promise<SlotOutcome> {
    if (this.tryAcquire()) return SLOT_GRANTED;
    const expectedMs = this.expectedWaitMs();
    if (this.queue.length >= this.maxQueued || expectedMs > budgetMs) {
      return { kind: 'refused', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, expectedMs) };
    }
    return await new Promise((resolve) => {
      const waiter: Waiter = {
        settle: resolve,
        timer: setTimeout(() => {
          this.queue.splice(this.queue.indexOf(waiter), 1);
          resolve({ kind: 'deadline-passed' });
        }, budgetMs),
      };
      this.queue.push(waiter);
    });
  }

  /** Releases a slot that was held for `heldMs`. */
  release(heldMs: number): void {
    this.averageHoldMs += EWMA_WEIGHT * (heldMs - this.averageHoldMs);
    this.releaseUnused();
  }

  /** Releases a slot that was not used to send a request. */
  releaseUnused(): void {
    this.inUse -= 1;
    this.admitWaiting();
  }

  /** Estimates the wait of a request that joins the queue now, in ms. */
  private expectedWaitMs(): number {
    return ((this.queue.length + 1) * this.averageHoldMs) / Math.max(1, this.slots);
  }

  private admitWaiting(): void {
    while (this.inUse < this.slots) {
      const waiter = this.queue.shift();
      if (waiter === undefined) return;
      clearTimeout(waiter.timer);
      this.inUse += 1;
      waiter.settle(SLOT_GRANTED);
    }
  }
}
