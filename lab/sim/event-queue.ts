/** Virtual time: events in the order of their time, and of their making where times are equal. */

interface QueuedEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** A binary heap of events. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = [];
  private nextSequence = 0;
  private currentMs = 0;
  private runCount = 0;

  /** Present virtual time, in ms. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Events that were run. */
  get steps(): number {
    return this.runCount;
  }

  /** Runs `run` at `atMs`, or now when that has passed. */
  at(atMs: number, run: () => void): void {
    const event = { atMs: Math.max(atMs, this.currentMs), sequence: this.nextSequence, run };
    this.nextSequence += 1;
    this.heap.push(event);
    this.rise(this.heap.length - 1);
  }

  /** Runs the next event if it is due by `untilMs`; otherwise moves the time there and returns false. */
  runNext(untilMs: number): boolean {
    const next = this.heap[0];
    if (next === undefined || next.atMs > untilMs) {
      this.currentMs = untilMs;
      return false;
    }
    this.takeFirst();
    this.currentMs = next.atMs;
    this.runCount += 1;
    next.run();
    return true;
  }

  private takeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.sink();
  }

  private rise(start: number): void {
    let at = start;
    while (at > 0) {
      const parent = (at - 1) >>> 1;
      if (!this.swapIfBefore(at, parent)) return;
      at = parent;
    }
  }

  private sink(): void {
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      if (left >= this.heap.length) return;
      const smaller = right < this.heap.length && this.before(right, left) ? right : left;
      if (!this.swapIfBefore(smaller, at)) return;
      at = smaller;
    }
  }

  private before(left: number, right: number): boolean {
    const a = this.heap[left];
    const b = this.heap[right];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
  }

  private swapIfBefore(lower: number, upper: number): boolean {
    if (!this.before(lower, upper)) return false;
    const a = this.heap[lower];
    const b = this.heap[upper];
    if (a === undefined || b === undefined) return false;
    this.heap[lower] = b;
    this.heap[upper] = a;
    return true;
  }
}
