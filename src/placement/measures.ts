/** The three measures of the users, defined once for daemons and lab; see docs/MEASURES.md. */

/** Largest load over mean load; 1 is even. Also 1 when there is no load. */
export function imbalance(loads: readonly number[]): number {
  const total = loads.reduce((sum, load) => sum + load, 0);
  if (loads.length === 0 || total === 0) return 1;
  return Math.max(...loads) / (total / loads.length);
}

/** One attempt to use a shard, as a caller saw it. Times in ms of one clock. */
export interface ShardUse {
  readonly sentMs: number;
  readonly endedMs: number;
  readonly answered: boolean;
}

/**
 * Unavailable times of one shard, in ms: from the sending of the first use that failed to the end of the
 * first later-sent use that was answered. A time that never ended runs to the last use.
 */
export function unavailableTimes(uses: readonly ShardUse[]): number[] {
  const bySending = [...uses].sort((left, right) => left.sentMs - right.sentMs);
  const times: number[] = [];
  let failedSinceMs: number | null = null;
  for (const use of bySending) {
    if (!use.answered) {
      failedSinceMs ??= use.sentMs;
    } else if (failedSinceMs !== null) {
      times.push(use.endedMs - failedSinceMs);
      failedSinceMs = null;
    }
  }
  const last = bySending.at(-1);
  if (failedSinceMs !== null && last !== undefined) times.push(last.endedMs - failedSinceMs);
  return times;
}

/** The value below which a share of the sorted values lie (nearest rank); 0 when there are none. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}
