/**
 * Slots of one back end as this router may use them, and the queue in front of them. A request that cannot
 * get a slot within its time is refused when it arrives, not when its time is up.
 */

/** Weight of the newest time in the smoothed time that a request holds its slot. */
const SMOOTHING = 0.1;

const MIN_RETRY_AFTER_MS = 20;

/** What became of a request for a slot. */
export type SlotOutcome =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  | { readonly kind: 'deadline-passed' };

interface Waiter {
  readonly settle: (outcome: SlotOutcome) => void;
  readonly timer: NodeJS.Timeout;
}

const GRANTED: SlotOutcome = { kind: 'granted' };

/** Slots of one back end. */
export class SlotLimiter {
  private inUse = 0;
  private readonly queue: Waiter[] = [];
  private smoothedHoldMs = 0;

  constructor(
    private slots: number,
    private readonly maxQueued: number,
  ) {}

  /** Requests that hold a slot now. */
  get inFlight(): number {
    return this.inUse;
  }

  /** Requests that wait for a slot now. */
  get queued(): number {
    return this.queue.length;
  }

  /** Changes the number of slots; requests that hold one keep it. */
  resize(slots: number): void {
    this.slots = slots;
    this.admitWaiting();
  }

  /** Takes a slot if one is free and nobody waits. */
  tryAcquire(): boolean {
    if (this.inUse >= this.slots || this.queue.length > 0) return false;
    this.inUse += 1;
    return true;
  }

  /** Waits for a slot for at most `budgetMs`. */
  async acquire(budgetMs: number): Promise<SlotOutcome> {
    if (this.tryAcquire()) return GRANTED;
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

  /** Gives a slot back after it was held for `heldMs`. */
  release(heldMs: number): void {
    this.smoothedHoldMs += SMOOTHING * (heldMs - this.smoothedHoldMs);
    this.releaseUnused();
  }

  /** Gives a slot back that nothing was sent for. */
  releaseUnused(): void {
    this.inUse -= 1;
    this.admitWaiting();
  }

  /** How long a request that joins the queue now would wait. */
  private expectedWaitMs(): number {
    return ((this.queue.length + 1) * this.smoothedHoldMs) / Math.max(1, this.slots);
  }

  private admitWaiting(): void {
    while (this.inUse < this.slots) {
      const waiter = this.queue.shift();
      if (waiter === undefined) return;
      clearTimeout(waiter.timer);
      this.inUse += 1;
      waiter.settle(GRANTED);
    }
  }
}
