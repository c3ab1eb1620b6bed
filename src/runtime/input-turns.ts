/**
 * Defers work until input that may make it pointless has been read: a request and its cancellation, or the close of its
 * connection, may both lie in the kernel when a process that was delayed reads again. Node accepts one connection of a
 * listener in each turn of its event loop, so a backlog of connections is accepted first, within a bound.
 */

/** Maximum time in ms for which accepted connections hold up work that waits. */
const MAX_HOLD_MS = 100;

/** Time in ms after which input is read again before further work. */
const MAX_SLICE_MS = 5;

/** Turns that work waits for, by the input that is to be read before it. */
const TURNS_AFTER_INPUT = 1;
const TURNS_AFTER_CLOSE = 2;

/** Work that waits. */
interface WaitingWork {
  readonly callback: () => void;
  readonly sinceMs: number;
  /** First turn in which it may run. */
  readonly turn: number;
  /** Position in the order of arrival. */
  readonly order: number;
}

/** Work that waits for the same number of turns, and so may run in the order of its arrival. */
class WorkQueue {
  private works: WaitingWork[] = [];
  private first = 0;

  get next(): WaitingWork | undefined {
    return this.works[this.first];
  }

  add(work: WaitingWork): void {
    this.works.push(work);
  }

  removeNext(): void {
    this.first += 1;
    if (this.first < this.works.length) return;
    this.works = [];
    this.first = 0;
  }
}

/** Turns of the event loop: in each, pending input is read first, then a slice of the waiting work is done. */
export class InputTurns {
  private readonly afterInputQueue = new WorkQueue();
  private readonly afterCloseQueue = new WorkQueue();
  private turn = 0;
  private added = 0;
  private scheduled = false;
  private running = false;
  /** Calls at the end of the turn in progress. */
  private atEndCallbacks: (() => void)[] = [];
  /** Whether a connection was accepted since the last turn, so that others may be waiting. */
  private hasAccepted = false;

  constructor(
    private readonly nowMs: () => number,
    private readonly schedule: (callback: () => void) => void = setImmediate,
  ) {}

  /** Runs work after the input that is pending now has been read; at once if it has just been read. */
  afterInput(callback: () => void): void {
    if (this.running) callback();
    else this.add(this.afterInputQueue, callback, TURNS_AFTER_INPUT);
  }

  /** Like `afterInput`, but reads once more: the end of a connection is read one turn after its last bytes. */
  afterClose(callback: () => void): void {
    this.add(this.afterCloseQueue, callback, TURNS_AFTER_CLOSE);
  }

  /** Calls back at the end of this turn: after its input has been read and its slice of the work has been done. */
  atEnd(callback: () => void): void {
    this.atEndCallbacks.push(callback);
    if (!this.running) this.scheduleTurn();
  }

  /** Records that a listener has accepted a connection. */
  connectionAccepted(): void {
    this.hasAccepted = true;
  }

  private add(queue: WorkQueue, callback: () => void, turns: number): void {
    this.added += 1;
    queue.add({ callback, sinceMs: this.nowMs(), turn: this.turn + turns, order: this.added });
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.schedule(() => {
      this.scheduled = false;
      this.runTurn();
      this.endTurn();
      if (this.oldest !== null) this.scheduleTurn();
    });
  }

  private endTurn(): void {
    const callbacks = this.atEndCallbacks;
    this.atEndCallbacks = [];
    for (const callback of callbacks) callback();
  }

  /** The queue whose next work arrived first, of those with work that may run by a turn; null if there is none. */
  private oldestBy(turn: number): WorkQueue | null {
    const [input, close] = [this.afterInputQueue.next, this.afterCloseQueue.next];
    const inputMayRun = input !== undefined && input.turn <= turn;
    const closeMayRun = close !== undefined && close.turn <= turn;
    if (inputMayRun && (!closeMayRun || input.order < close.order)) return this.afterInputQueue;
    return closeMayRun ? this.afterCloseQueue : null;
  }

  private get oldest(): WorkQueue | null {
    return this.oldestBy(Infinity);
  }

  private runTurn(): void {
    this.turn += 1;
    const startMs = this.nowMs();
    const holds = this.hasAccepted && startMs - (this.oldest?.next?.sinceMs ?? startMs) < MAX_HOLD_MS;
    this.hasAccepted = false;
    if (holds) return;
    this.running = true;
    try {
      while (this.nowMs() - startMs < MAX_SLICE_MS) {
        const queue = this.oldestBy(this.turn);
        const next = queue?.next;
        if (queue === null || next === undefined) return;
        queue.removeNext();
        next.callback();
      }
    } finally {
      this.running = false;
    }
  }
}
