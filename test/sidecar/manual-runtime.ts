/** Runtime with a manual clock: time and timers advance only on request of a test. */
import type { Runtime } from '../../src/runtime/runtime.js';

interface Timer {
  dueMs: number;
  readonly everyMs: number | null;
  readonly callback: () => void;
}

/** Manual clock with timers. */
export class ManualTime {
  nowMs = 1_000;
  private timers: Timer[] = [];

  /** Runtime on this clock, without a network. */
  readonly runtime: Runtime = {
    nowMs: () => this.nowMs,
    steadyMs: () => this.nowMs,
    wallMs: () => this.nowMs,
    after: (ms, callback) => this.add(ms, null, callback),
    every: (ms, callback) => this.add(ms, ms, callback),
    afterInput: (callback) => {
      this.add(0, null, callback);
    },
    randomId: () => 'random',
    dial: () => {
      throw new Error('this runtime has no network');
    },
    serve: () => {
      throw new Error('this runtime has no network');
    },
  };

  /** Advances the clock by `ms`, firing due timers in order of their deadlines. */
  pass(ms: number): void {
    const endMs = this.nowMs + ms;
    for (;;) {
      const next = this.timers.filter(({ dueMs }) => dueMs <= endMs).sort((a, b) => a.dueMs - b.dueMs)[0];
      if (next === undefined) break;
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      if (next.everyMs === null) this.timers = this.timers.filter((timer) => timer !== next);
      else next.dueMs += next.everyMs;
      next.callback();
    }
    this.nowMs = endMs;
  }

  private add(ms: number, everyMs: number | null, callback: () => void): () => void {
    const timer: Timer = { dueMs: this.nowMs + ms, everyMs, callback };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((known) => known !== timer);
    };
  }
}
