/** Token bucket that refills at a constant rate up to a maximum burst. */
export class TokenBucket {
  private tokens: number;
  private refilledMs: number;

  constructor(
    private readonly burst: number,
    private readonly perSecond: number,
    nowMs: number,
  ) {
    this.tokens = burst;
    this.refilledMs = nowMs;
  }

  /** Takes up to `requested` whole tokens and returns the number taken. */
  take(requested: number, nowMs: number): number {
    const refill = ((nowMs - this.refilledMs) / 1_000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + refill);
    this.refilledMs = nowMs;
    const taken = Math.min(requested, Math.floor(this.tokens));
    this.tokens -= taken;
    return taken;
  }
}
