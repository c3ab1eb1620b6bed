/** Load by key bucket, as reported to the leader by the sidecars. */
import { FIRST_KEY, LAST_KEY } from './directory-state.js';

/** Number of keys whose load is counted together. */
export const KEYS_PER_BUCKET = 16;

const BUCKET_COUNT = (LAST_KEY - FIRST_KEY + 1) / KEYS_PER_BUCKET;

/** Weight that the previous average retains after one second of an exponentially weighted moving average. */
const EWMA_RETAINED_WEIGHT_PER_SECOND = 0.45;

const MS_PER_SECOND = 1_000;

/** Time in ms for which keys are not moved for balance again after such a move. */
const MOVE_COOLDOWN_MS = 8_000;

/** Returns the bucket of a key. */
export function bucketOf(key: number): number {
  return Math.floor(key / KEYS_PER_BUCKET);
}

/** Load of one service by key bucket, as an average number of used slots. */
export class KeyLoad {
  /** Average number of used slots by bucket. */
  readonly slots = new Float64Array(BUCKET_COUNT);
  /** Demanded slot time in ms in the current window, by bucket. */
  private readonly window = new Float64Array(BUCKET_COUNT);
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

  /** Adds demanded slot time to the current window, as pairs of bucket and ms. */
  add(load: readonly (readonly [number, number])[]): void {
    for (const [bucket, busyMs] of load) {
      if (bucket >= 0 && bucket < BUCKET_COUNT) this.window[bucket] = (this.window[bucket] ?? 0) + busyMs;
    }
  }

  /** Ends a measurement window of `durationMs` and folds it into the averages. */
  closeWindow(durationMs: number): void {
    const previousWeight = EWMA_RETAINED_WEIGHT_PER_SECOND ** (durationMs / MS_PER_SECOND);
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const sample = (this.window[bucket] ?? 0) / durationMs;
      this.slots[bucket] = (this.slots[bucket] ?? 0) * previousWeight + sample * (1 - previousWeight);
      this.window[bucket] = 0;
    }
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
