/**
 * This daemon's part of a retry budget that all daemons share: a part of its own requests to a service within a
 * sliding window, and its share of a fixed number. The parts add up whatever happens to the other daemons.
 */

/** Time in ms that is counted together. */
const TICK_MS = 500;

/** Part of the ratio that is used, since windows of the budget may begin at any moment. */
const USED_PART = 0.5;

/** The whole budget of one service. */
export interface RetryBudget {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed in a window beside that. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
}

interface Tick {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** The allowance for one service. */
export class RetryAllowance {
  private ticks: Tick[] = [];

  constructor(private readonly budget: RetryBudget) {}

  /** A request for the service has come. */
  noteRequest(nowMs: number): void {
    this.tick(nowMs).requests += 1;
  }

  /** Takes a repeat from the allowance; false when there is none left. `daemons` share the fixed number. */
  takeRepeat(nowMs: number, daemons: number): boolean {
    const tick = this.tick(nowMs);
    const requests = this.ticks.reduce((sum, known) => sum + known.requests, 0);
    const repeats = this.ticks.reduce((sum, known) => sum + known.repeats, 0);
    const fixed = (this.budget.extra * USED_PART) / Math.max(1, daemons);
    if (repeats + 1 > requests * this.budget.ratio * USED_PART + fixed) return false;
    tick.repeats += 1;
    return true;
  }

  private tick(nowMs: number): Tick {
    const oldestMs = nowMs - this.budget.windowMs;
    this.ticks = this.ticks.filter(({ startMs }) => startMs + TICK_MS > oldestMs);
    const last = this.ticks.at(-1);
    if (last !== undefined && nowMs - last.startMs < TICK_MS) return last;
    const tick = { startMs: nowMs, requests: 0, repeats: 0 };
    this.ticks.push(tick);
    return tick;
  }
}
