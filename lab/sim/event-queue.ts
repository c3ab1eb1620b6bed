/** Virtual time: a queue of events ordered by time, and by insertion where times are equal. */

interface QueuedEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** A binary min-heap of scheduled events. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = [];
  private nextSequence = 0;
  private currentMs = 0;
  private runCount = 0;

  /** Current virtual time, in ms. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Number of events run so far. */
  get steps(): number {
    return this.runCount;
  }

  /** Schedules `run` at `atMs`, or at the current time if `atMs` has passed. */
  at(atMs: number, run: () => void): void {
    const event = { atMs: Math.max(atMs, this.currentMs), sequence: this.nextSequence, run };
    this.nextSequence += 1;
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
  }

  /** Runs the next event if it is due by `untilMs`; otherwise advances the time to `untilMs` and returns false. */
  runNext(untilMs: number): boolean {
    const next = this.heap[0];
    if (next === undefined || next.atMs > untilMs) {
      this.currentMs = untilMs;
      return false;
    }
    this.removeFirst();
    this.currentMs = next.atMs;
    this.runCount += 1;
    next.run();
    return true;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      if (!this.swapIfBefore(index, parent)) return;
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      if (left >= this.heap.length) return;
      const smaller = right < this.heap.length && this.isBefore(right, left) ? right : left;
      if (!this.swapIfBefore(smaller, index)) return;
      index = smaller;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const a = this.heap[left];
    const b = this.heap[right];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
  }

  private swapIfBefore(lower: number, upper: number): boolean {
    if (!this.isBefore(lower, upper)) return false;
    const a = this.heap[lower];
    const b = this.heap[upper];
    if (a === undefined || b === undefined) return false;
    this.heap[lower] = b;
    this.heap[upper] = a;
    return true;
  }
}
