/**
 * Limits the requests of this router in flight at one back end, and their rate, with a queue. A request that is not
 * expected to get a slot within its time budget is refused on arrival instead of at its deadline.
 */

/** Weight of the newest sample in the moving average (EWMA) of the time that a request holds its slot. */
const EWMA_WEIGHT = 0.1;

/** Lower bound of the retry-after of a refused request, in ms. */
const MIN_RETRY_AFTER_MS = 20;

/** Result of a request for a slot. */
export type SlotOutcome =
  /** `requestNumber` is the number of the request among those sent to the back end. */
  | { readonly kind: 'granted'; readonly requestNumber: number }
  /** `rateLimited` states whether the request rate is the reason, and not a lack of slots. */
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly rateLimited: boolean }
  | { readonly kind: 'deadline-passed' };

interface Waiter {
  readonly settle: (outcome: SlotOutcome) => void;
  readonly timer: NodeJS.Timeout;
}

/** Rate at which requests may be sent. */
export interface SlotPacing {
  /** Returns the time in ms until a request may be sent behind `ahead` others; 0 if the rate is not limited. */
  delayMs(ahead: number): number;
  /** Returns the time in ms after which a refused request may find a turn behind `queued` others. */
  retryAfterMs(queued: number): number;
  /** Records that a request is sent; returns its number. */
  recordSent(): number;
}

/** Concurrency limiter for one back end. */
export class SlotLimiter {
  private inUse = 0;
  private readonly queue: Waiter[] = [];
  private averageHoldMs = 0;
  private turnTimer: NodeJS.Timeout | null = null;

  constructor(
    private slots: number,
    private readonly maxQueued: number,
    private readonly pacing: SlotPacing,
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

  /** Waits for a slot for at most `budgetMs`. */
  async acquire(budgetMs: number): Promise<SlotOutcome> {
    if (this.queue.length === 0 && this.hasFreeSlot()) return this.grant();
    const refusal = this.refusalFor(budgetMs);
    if (refusal !== null) return refusal;
    return await new Promise((resolve) => {
      const waiter: Waiter = {
        settle: resolve,
        timer: setTimeout(() => {
          this.queue.splice(this.queue.indexOf(waiter), 1);
          resolve({ kind: 'deadline-passed' });
        }, budgetMs),
      };
      this.queue.push(waiter);
      this.scheduleTurn();
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

  /** Returns the refusal of a request that is not expected to get a slot in time; null if it may wait. */
  private refusalFor(budgetMs: number): SlotOutcome | null {
    const queued = this.queue.length;
    if (this.pacing.delayMs(queued) > budgetMs) {
      return { kind: 'refused', retryAfterMs: this.pacing.retryAfterMs(queued), rateLimited: true };
    }
    const expectedMs = this.expectedWaitMs();
    if (queued < this.maxQueued && expectedMs <= budgetMs) return null;
    return { kind: 'refused', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, expectedMs), rateLimited: false };
  }

  private hasFreeSlot(): boolean {
    return this.inUse < this.slots && this.pacing.delayMs(0) <= 0;
  }

  private grant(): SlotOutcome {
    this.inUse += 1;
    return { kind: 'granted', requestNumber: this.pacing.recordSent() };
  }

  /** Admits the requests that may be sent now. */
  admitWaiting(): void {
    while (this.hasFreeSlot()) {
      const waiter = this.queue.shift();
      if (waiter === undefined) return;
      clearTimeout(waiter.timer);
      waiter.settle(this.grant());
    }
    this.scheduleTurn();
  }

  /** Schedules the next admission if the queue waits for the request rate and not for a slot. */
  private scheduleTurn(): void {
    const delayMs = this.pacing.delayMs(0);
    if (this.turnTimer !== null || this.queue.length === 0 || delayMs <= 0) return;
    this.turnTimer = setTimeout(() => {
      this.turnTimer = null;
      this.admitWaiting();
    }, Math.ceil(delayMs));
    this.turnTimer.unref();
  }
}
