/** Detects a recent suspension of the machine; after one, every peer appears to have been silent for its duration. */
import type { Runtime } from './runtime.js';

/** Records when the process clock last skipped ahead of the steady clock. */
export class ClockSkips {
  private skippedMs = 0;
  /** Time of the last skip, on the steady clock. */
  private lastSkipMs = -Infinity;

  constructor(private readonly clocks: Pick<Runtime, 'nowMs' | 'steadyMs'>) {}

  /** Whether time was skipped within the last `ms`; a skip is dated to the first call after it. */
  skippedWithin(ms: number): boolean {
    const steadyMs = this.clocks.steadyMs();
    const skippedMs = Math.round(this.clocks.nowMs() - steadyMs);
    if (skippedMs !== this.skippedMs) this.lastSkipMs = steadyMs;
    this.skippedMs = skippedMs;
    return steadyMs - this.lastSkipMs < ms;
  }
}
