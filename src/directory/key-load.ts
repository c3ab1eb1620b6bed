/** Load by bucket of keys, as the leader was told by the daemons beside the back ends. */
import { FIRST_KEY, LAST_KEY } from './directory-state.js';

/** Keys that are counted together. */
export const KEYS_PER_BUCKET = 16;

const BUCKETS = (LAST_KEY - FIRST_KEY + 1) / KEYS_PER_BUCKET;

/** Share of the older value that stays after a second. */
const KEPT_SHARE = 0.45;

const MS_PER_SECOND = 1_000;

/** Time for which keys that were moved for balance stay where they are, in ms. */
const REST_MS = 8_000;

/** Bucket of a key. */
export function bucketOf(key: number): number {
  return Math.floor(key / KEYS_PER_BUCKET);
}

/** Load of one service: slots in use on average, by bucket. */
export class KeyLoad {
  /** Slots in use on average. */
  readonly slots = new Float64Array(BUCKETS);
  private readonly window = new Float64Array(BUCKETS);
  private assumedPerKey = 0;
  /** When each bucket was last moved for balance, in ms. */
  private readonly movedMs = new Float64Array(BUCKETS).fill(-Infinity);

  /** Every key counts for at least this, in slots, so that keys whose load is unknown are spread as well. */
  assume(slotsPerKey: number): void {
    this.assumedPerKey = slotsPerKey;
  }

  /** Keys were moved for balance. */
  noteMoved(from: number, to: number, nowMs: number): void {
    for (let bucket = bucketOf(from); bucket <= bucketOf(to); bucket += 1) this.movedMs[bucket] = nowMs;
  }

  /** Whether a bucket was moved for balance a moment ago, and must show its load where it is before it moves again. */
  rests(bucket: number, nowMs: number): boolean {
    return nowMs - (this.movedMs[bucket] ?? -Infinity) < REST_MS;
  }

  /** Load of one bucket. */
  ofBucket(bucket: number): number {
    return (this.slots[bucket] ?? 0) + this.assumedPerKey * KEYS_PER_BUCKET;
  }

  /** Adds slot time that was asked for, in ms, by bucket. */
  add(load: readonly (readonly [number, number])[]): void {
    for (const [bucket, busyMs] of load) {
      if (bucket >= 0 && bucket < BUCKETS) this.window[bucket] = (this.window[bucket] ?? 0) + busyMs;
    }
  }

  /** Closes a window of `ms`. */
  closeWindow(ms: number): void {
    const keptShare = KEPT_SHARE ** (ms / MS_PER_SECOND);
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      const fresh = (this.window[bucket] ?? 0) / ms;
      this.slots[bucket] = (this.slots[bucket] ?? 0) * keptShare + fresh * (1 - keptShare);
      this.window[bucket] = 0;
    }
  }

  /** Load of the keys from `from` to `to`; buckets at the ends count by the part that lies inside. */
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
