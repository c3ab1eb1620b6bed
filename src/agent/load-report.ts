/**
 * Load reports of an agent to control: the smoothed request rate of each shard, sent only after a significant
 * change, and for a bounded number of shards per report, so that the cost does not grow with the number of shards.
 */

/** Minimum relative change of a rate since it was last reported. */
const MIN_RELATIVE_CHANGE = 0.2;

/** Minimum absolute change of a rate since it was last reported, in requests per second. */
const MIN_ABSOLUTE_CHANGE = 1;

/** Weight of the newest interval in the moving average (EWMA) of a rate. */
const EWMA_WEIGHT = 0.5;

/** Maximum number of shards per report; the largest changes come first, the others follow in the next report. */
export const MAX_REPORTED_SHARDS = 32;

/** Shard and its load in requests per second, rounded to one decimal. */
export type ShardRate = [shard: number, rate: number];

/** Request rates of the shards of one back end. */
export class LoadReport {
  private counts = new Map<number, number>();
  private readonly rates = new Map<number, number>();
  private readonly reported = new Map<number, number>();
  private intervalStartMs: number;

  constructor(
    nowMs: number,
    /** Minimum interval between reports, in ms. */
    private readonly intervalMs: number,
  ) {
    this.intervalStartMs = nowMs;
  }

  /** Adds the requests by shard that the back end has admitted since its last answer. */
  count(load: readonly (readonly [number, number])[]): void {
    for (const [shard, requests] of load) this.counts.set(shard, (this.counts.get(shard) ?? 0) + requests);
  }

  /** Discards what was reported, since another control replica may lead that does not know the rates. */
  discardReported(): void {
    this.reported.clear();
  }

  /** Returns the next report, empty if none is due; `owned` are the shards granted to this agent's back end. */
  takeReport(nowMs: number, owned: Iterable<number>): ShardRate[] {
    const elapsedMs = nowMs - this.intervalStartMs;
    if (elapsedMs < this.intervalMs) return [];
    this.updateRates(elapsedMs, new Set(owned));
    this.intervalStartMs = nowMs;
    const due = [...this.rates].filter(([shard, rate]) => this.isSignificant(shard, rate));
    due.sort((left, right) => this.changeOf(right) - this.changeOf(left) || left[0] - right[0]);
    const report = due.slice(0, MAX_REPORTED_SHARDS);
    for (const [shard, rate] of report) this.reported.set(shard, rate);
    return report.map(([shard, rate]) => [shard, Math.round(rate * 10) / 10]);
  }

  private updateRates(elapsedMs: number, owned: ReadonlySet<number>): void {
    const counts = this.counts;
    this.counts = new Map();
    for (const shard of this.rates.keys()) {
      if (owned.has(shard)) continue;
      this.rates.delete(shard);
      this.reported.delete(shard);
    }
    for (const shard of owned) {
      const rate = ((counts.get(shard) ?? 0) * 1_000) / elapsedMs;
      const previous = this.rates.get(shard) ?? rate;
      this.rates.set(shard, previous + EWMA_WEIGHT * (rate - previous));
    }
  }

  private isSignificant(shard: number, rate: number): boolean {
    const reported = this.reported.get(shard);
    const changed = Math.abs(rate - (reported ?? 0));
    return changed >= MIN_ABSOLUTE_CHANGE && changed >= MIN_RELATIVE_CHANGE * (reported ?? 0);
  }

  private changeOf([shard, rate]: readonly [number, number]): number {
    return Math.abs(rate - (this.reported.get(shard) ?? 0));
  }
}
