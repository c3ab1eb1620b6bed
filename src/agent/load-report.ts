/**
 * What an agent tells control about load: the smoothed rate of each shard, sent only when it has changed
 * noticeably, and never more than a fixed number of shards at a time, so that the cost does not grow with
 * the number of shards.
 */

/** Part by which a rate must have changed since it was last reported. */
const NOTICEABLE_PART = 0.2;

/** Requests a second by which a rate must have changed, whatever part that is. */
const NOTICEABLE_RATE = 1;

/** Weight of the newest interval in a smoothed rate. */
const SMOOTHING = 0.5;

/** Shards in one report; those that changed most come first, the others with the next report. */
export const MAX_REPORTED_SHARDS = 32;

/** A shard and its load in requests a second, to one decimal. */
export type ShardRate = [shard: number, rate: number];

/** Rates of the shards of one back end. */
export class LoadReport {
  private counts = new Map<number, number>();
  private readonly rates = new Map<number, number>();
  private readonly reported = new Map<number, number>();
  private sinceMs: number;

  constructor(
    nowMs: number,
    /** Shortest time between two reports, in ms. */
    private readonly intervalMs: number,
  ) {
    this.sinceMs = nowMs;
  }

  /** Counts requests that the back end has admitted since it was last asked. */
  count(load: readonly (readonly [number, number])[]): void {
    for (const [shard, requests] of load) this.counts.set(shard, (this.counts.get(shard) ?? 0) + requests);
  }

  /** Control does not know any rate any more: another replica leads. */
  forgetReported(): void {
    this.reported.clear();
  }

  /** The report that is due, empty when none is; `owned` are the shards that this agent answers for. */
  take(nowMs: number, owned: Iterable<number>): ShardRate[] {
    const elapsedMs = nowMs - this.sinceMs;
    if (elapsedMs < this.intervalMs) return [];
    this.updateRates(elapsedMs, new Set(owned));
    this.sinceMs = nowMs;
    const due = [...this.rates].filter(([shard, rate]) => this.isNoticeable(shard, rate));
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
      this.rates.set(shard, previous + SMOOTHING * (rate - previous));
    }
  }

  private isNoticeable(shard: number, rate: number): boolean {
    const reported = this.reported.get(shard);
    const changed = Math.abs(rate - (reported ?? 0));
    return changed >= NOTICEABLE_RATE && changed >= NOTICEABLE_PART * (reported ?? 0);
  }

  private changeOf([shard, rate]: readonly [number, number]): number {
    return Math.abs(rate - (this.reported.get(shard) ?? 0));
  }
}
