/** Load by key bucket, as reported to the leader by the sidecars. */
import { FIRST_KEY, LAST_KEY } from './directory-state.js';

/** Number of keys whose load is counted together. */
export const KEYS_PER_BUCKET = 16;

const BUCKET_COUNT = (LAST_KEY - FIRST_KEY + 1) / KEYS_PER_BUCKET;

/**
 * Weight that the previous average retains after one second of an exponentially weighted moving average. A back end with
 * 8 slots ends some 40 requests a second; an average over less than 2 s of them varies by more than moves can even out.
 */
const EWMA_RETAINED_WEIGHT_PER_SECOND = 0.7;

/** Time in ms after which a bucket without reported load had none; longer than the interval between two reports. */
const MAX_REPORT_INTERVAL_MS = 1_000;

/** Minimum time in ms that one report of a bucket is taken to cover, when two back ends report parts of the bucket. */
const MIN_REPORT_INTERVAL_MS = 100;

const MS_PER_SECOND = 1_000;

/** Time in ms for which keys are not moved for balance again after such a move. */
const MOVE_COOLDOWN_MS = 8_000;

/**
 * Time in ms after the start of a move for balance in which load reports do not change the average of its keys: they are
 * not served during the move, and cold keys take more slot time than they will later.
 */
const MOVE_SETTLE_MS = 3_000;

/** Returns the bucket of a key. */
export function bucketOf(key: number): number {
  return Math.floor(key / KEYS_PER_BUCKET);
}

/** Measured load in slots of the keys of a service. */
export interface LoadTotals {
  readonly all: number;
  /** Load of the keys that were moved for balance recently. */
  readonly coolingDown: number;
}

/** Load of one service by key bucket, as an average number of used slots. */
export class KeyLoad {
  /** Average number of used slots by bucket. */
  readonly slots = new Float64Array(BUCKET_COUNT);
  /** Time in ms up to which each bucket's load is part of its average. */
  private readonly measuredToMs = new Float64Array(BUCKET_COUNT).fill(-Infinity);
  /** Time in ms from which load has been measured; null before the first report. */
  private measuredFromMs: number | null = null;
  private assumedLoadPerKey = 0;
  /** Time in ms at which each bucket was last moved for balance. */
  private readonly lastMovedMs = new Float64Array(BUCKET_COUNT).fill(-Infinity);

  /** Sets a base load in slots that is added to every key, so that keys with unknown load are spread as well. */
  setAssumedLoad(slotsPerKey: number): void {
    this.assumedLoadPerKey = slotsPerKey;
  }

  /** Records that keys were moved for balance. */
  recordMove(from: number, to: number, nowMs: number): void {
    for (let bucket = bucketOf(from); bucket <= bucketOf(to); bucket += 1) this.lastMovedMs[bucket] = nowMs;
  }

  /** Whether a bucket was moved for balance recently; its load at the new owner must be measured before it moves again. */
  isCoolingDown(bucket: number, nowMs: number): boolean {
    return nowMs - (this.lastMovedMs[bucket] ?? -Infinity) < MOVE_COOLDOWN_MS;
  }

  /** Returns the load of one bucket in slots, including the assumed load. */
  ofBucket(bucket: number): number {
    return (this.slots[bucket] ?? 0) + this.assumedLoadPerKey * KEYS_PER_BUCKET;
  }

  /** Returns the measured load in slots of all keys, and of those that are cooling down after a move for balance. */
  totals(nowMs: number): LoadTotals {
    let all = 0;
    let coolingDown = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const slots = this.slots[bucket] ?? 0;
      all += slots;
      if (this.isCoolingDown(bucket, nowMs)) coolingDown += slots;
    }
    return { all, coolingDown };
  }

  /**
   * Adds slot time demanded since the previous report, as pairs of bucket and ms. It counts for the time since the bucket's
   * previous report, so that averages do not depend on the intervals at which back ends report.
   */
  add(load: readonly (readonly [number, number])[], nowMs: number): void {
    this.measuredFromMs ??= nowMs - MAX_REPORT_INTERVAL_MS;
    for (const [bucket, busyMs] of load) {
      if (bucket >= 0 && bucket < BUCKET_COUNT) this.fold(bucket, busyMs, nowMs);
    }
  }

  /** Lowers the averages of buckets that no report has named for longer than the interval between two reports. */
  decay(nowMs: number): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const silentMs = nowMs - (this.measuredToMs[bucket] ?? nowMs);
      if (silentMs > MAX_REPORT_INTERVAL_MS) this.fold(bucket, 0, nowMs);
    }
  }

  private fold(bucket: number, busyMs: number, nowMs: number): void {
    const silentMs = nowMs - (this.measuredToMs[bucket] ?? nowMs);
    this.measuredToMs[bucket] = nowMs;
    if (nowMs - (this.lastMovedMs[bucket] ?? -Infinity) < MOVE_SETTLE_MS) return;
    const coveredMs = Math.min(MAX_REPORT_INTERVAL_MS, Math.max(MIN_REPORT_INTERVAL_MS, silentMs));
    const measuredMs = Math.max(coveredMs, nowMs - (this.measuredFromMs ?? nowMs));
    // The first seconds are averaged in equal parts: an average that starts at 0 would hide an overload for seconds.
    const weight = Math.max(
      1 - EWMA_RETAINED_WEIGHT_PER_SECOND ** (coveredMs / MS_PER_SECOND),
      coveredMs / measuredMs,
    );
    const previous = this.slots[bucket] ?? 0;
    this.slots[bucket] = previous + (busyMs / coveredMs - previous) * weight;
  }

  /** Returns the assumed part of the load of the keys from `from` to `to`. */
  assumedOfSpan(from: number, to: number): number {
    return this.assumedLoadPerKey * (to - from + 1);
  }

  /** Returns the load of the keys from `from` to `to`; buckets at the ends count in proportion to their keys inside. */
  ofSpan(from: number, to: number): number {
    let sum = 0;
    for (let bucket = bucketOf(from); bucket <= bucketOf(to); bucket += 1) {
      const first = Math.max(from, bucket * KEYS_PER_BUCKET);
      const last = Math.min(to, (bucket + 1) * KEYS_PER_BUCKET - 1);
      sum += (this.ofBucket(bucket) * (last - first + 1)) / KEYS_PER_BUCKET;
    }
    return sum;
  }
}
