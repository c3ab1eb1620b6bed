/**
 * Defers work until input that may make it pointless has been read: a request and its cancellation, or the close of its
 * connection, may both lie in the kernel when a process that was delayed reads again. Node accepts one connection of a
 * listener in each turn of its event loop, so a backlog of connections is accepted first, within a bound.
 */

/** Maximum time in ms for which accepted connections hold up work that waits. */
const MAX_HOLD_MS = 100;

/** Time in ms after which input is read again before further work. */
const MAX_SLICE_MS = 5;

/** Work that waits. */
interface WaitingWork {
  readonly callback: () => void;
  readonly sinceMs: number;
  /** First turn in which it may run. */
  readonly turn: number;
}

/** Turns of the event loop: in each, pending input is read first, then a slice of the waiting work is done. */
export class InputTurns {
  private readonly waiting: WaitingWork[] = [];
  private turn = 0;
  private scheduled = false;
  private running = false;
  /** Whether a connection was accepted since the last turn, so that others may be waiting. */
  private hasAccepted = false;

  constructor(
    private readonly nowMs: () => number,
    private readonly schedule: (callback: () => void) => void = setImmediate,
  ) {}

  /** Runs work after the input that is pending now has been read; at once if it has just been read. */
  afterInput(callback: () => void): void {
    if (this.running) callback();
    else this.add(callback, 1);
  }

  /** Like `afterInput`, but reads once more: the end of a connection is read one turn after its last bytes. */
  afterClose(callback: () => void): void {
    this.add(callback, 2);
  }

  /** Records that a listener has accepted a connection. */
  connectionAccepted(): void {
    this.hasAccepted = true;
  }

  private add(callback: () => void, turns: number): void {
    this.waiting.push({ callback, sinceMs: this.nowMs(), turn: this.turn + turns });
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.schedule(() => {
      this.scheduled = false;
      this.runTurn();
      if (this.waiting.length > 0) this.scheduleTurn();
    });
  }

  private runTurn(): void {
    this.turn += 1;
    const startMs = this.nowMs();
    const holds = this.hasAccepted && startMs - (this.waiting[0]?.sinceMs ?? startMs) < MAX_HOLD_MS;
    this.hasAccepted = false;
    if (holds) return;
    this.running = true;
    try {
      while (this.nowMs() - startMs < MAX_SLICE_MS) {
        const at = this.waiting.findIndex(({ turn }) => turn <= this.turn);
        const [next] = at < 0 ? [] : this.waiting.splice(at, 1);
        if (next === undefined) return;
        next.callback();
      }
    } finally {
      this.running = false;
    }
  }
}
