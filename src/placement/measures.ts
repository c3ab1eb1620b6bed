/** The three service quality measures, shared by daemons and lab; see docs/MEASURES.md. */

/** Returns the ratio of the largest load to the mean load; 1 is perfectly even, also when there is no load. */
export function imbalance(loads: readonly number[]): number {
  const total = loads.reduce((sum, load) => sum + load, 0);
  if (loads.length === 0 || total === 0) return 1;
  return Math.max(...loads) / (total / loads.length);
}

/** One attempt to use a shard, as observed by a caller, with times in ms of a single clock. */
export interface ShardAttempt {
  readonly sentMs: number;
  readonly endedMs: number;
  readonly answered: boolean;
}

/**
 * Returns the durations in ms for which one shard was unavailable: from the start of the first failed attempt to the end
 * of the first later-sent attempt that was answered. One that has not ended lasts until the end of the last attempt.
 */
export function unavailableDurations(attempts: readonly ShardAttempt[]): number[] {
  const bySending = [...attempts].sort((left, right) => left.sentMs - right.sentMs);
  const durationsMs: number[] = [];
  let failedSinceMs: number | null = null;
  for (const attempt of bySending) {
    if (!attempt.answered) {
      failedSinceMs ??= attempt.sentMs;
    } else if (failedSinceMs !== null) {
      durationsMs.push(attempt.endedMs - failedSinceMs);
      failedSinceMs = null;
    }
  }
  const last = bySending.at(-1);
  if (failedSinceMs !== null && last !== undefined) durationsMs.push(last.endedMs - failedSinceMs);
  return durationsMs;
}

/** Returns a percentile by the nearest-rank method, with `share` from 0 to 1; 0 when there are no values. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}
