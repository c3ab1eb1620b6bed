/** A budget that fills with time up to a burst. */
export class TokenBucket {
  private tokens: number;
  private filledMs: number;

  constructor(
    private readonly burst: number,
    private readonly perSecond: number,
    nowMs: number,
  ) {
    this.tokens = burst;
    this.filledMs = nowMs;
  }

  /** Takes up to `wanted` whole tokens and returns how many. */
  take(wanted: number, nowMs: number): number {
    const gained = ((nowMs - this.filledMs) / 1_000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.filledMs = nowMs;
    const taken = Math.min(wanted, Math.floor(this.tokens));
    this.tokens -= taken;
    return taken;
  }
}
