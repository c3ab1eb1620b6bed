/** Tells whether the machine may have been suspended a moment ago: then nobody seems to have answered for as long. */
import type { Runtime } from './runtime.js';

/** Remembers when a process's clock last ran ahead of its steady one. */
export class ClockSkips {
  private skippedMs = 0;
  /** On the steady clock. */
  private skippedAtMs = -Infinity;

  constructor(private readonly clocks: Pick<Runtime, 'nowMs' | 'steadyMs'>) {}

  /** Whether time was skipped within the last `ms`, as far as earlier calls could see. */
  lately(ms: number): boolean {
    const steadyMs = this.clocks.steadyMs();
    const skippedMs = Math.round(this.clocks.nowMs() - steadyMs);
    if (skippedMs !== this.skippedMs) this.skippedAtMs = steadyMs;
    this.skippedMs = skippedMs;
    return steadyMs - this.skippedAtMs < ms;
  }
}
