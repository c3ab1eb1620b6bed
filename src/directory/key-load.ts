/** Load by key, as the leader was told by the daemons beside the back ends. */
import { policyIsOn } from '../policy-switches.js';
import { FIRST_KEY, LAST_KEY } from './directory-state.js';

/**
 * Keys that are counted together. Sixteen of the keys that a rush goes to can need more places than one back end has,
 * so that whoever owns them is overloaded; keys that are counted one by one can be shared out.
 */
export const KEYS_PER_BUCKET = policyIsOn('load-by-key') ? 1 : 16;

const BUCKETS = (LAST_KEY - FIRST_KEY + 1) / KEYS_PER_BUCKET;

/** Neighbouring keys whose mean stands in for a key of which little was seen. */
const BLOCK_KEYS = 16;

/** Buckets of a block. */
const BLOCK_BUCKETS = BLOCK_KEYS / KEYS_PER_BUCKET;

/** What one request of some 130 ms adds to the load of its key, in slots: the memory reaches back some 1.3 s. */
const REQUEST_SLOTS = 0.1;

/** Load in slots below which a key counts as idle: a hundredth of a request. */
const IDLE_SLOTS = 0.001;

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
  /** Slots in use on average, as they were reported. */
  private readonly slots = new Float64Array(BUCKETS);
  /** The same, with the mean of the block in place of what is not known well. */
  private readonly estimate = new Float64Array(BUCKETS);
  /** Sums of the estimates of all buckets below. */
  private readonly below = new Float64Array(BUCKETS + 1);
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
    return (this.estimate[bucket] ?? 0) + this.assumedPerKey * KEYS_PER_BUCKET;
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
      const older = this.slots[bucket] ?? 0;
      const usedMs = this.window[bucket] ?? 0;
      if (older === 0 && usedMs === 0) continue;
      const slots = older * keptShare + (usedMs / ms) * (1 - keptShare);
      this.slots[bucket] = slots < IDLE_SLOTS ? 0 : slots;
      this.window[bucket] = 0;
    }
    for (let start = 0; start < BUCKETS; start += BLOCK_BUCKETS) this.estimateBlock(start);
    this.sumUp();
  }

  /** Load of the keys from `from` to `to`; buckets at the ends count by the part that lies inside. */
  ofSpan(from: number, to: number): number {
    return this.belowKey(to + 1) - this.belowKey(from) + this.assumedPerKey * (to - from + 1);
  }

  /**
   * One request makes a key look busy for a while. So far as the keys of a block differ no more than chance makes
   * them (for requests that come independently the variance is the mean times the weight of one), each counts for
   * their mean; the rest of the difference is taken as it is.
   */
  private estimateBlock(start: number): void {
    const end = start + BLOCK_BUCKETS;
    let sum = 0;
    let squares = 0;
    for (let bucket = start; bucket < end; bucket += 1) {
      const own = this.slots[bucket] ?? 0;
      sum += own;
      squares += own * own;
    }
    const mean = sum / BLOCK_BUCKETS;
    const variance = squares / BLOCK_BUCKETS - mean * mean;
    const byChance = variance > 0 ? Math.min(1, (mean * REQUEST_SLOTS) / variance) : 0;
    for (let bucket = start; bucket < end; bucket += 1) {
      const own = this.slots[bucket] ?? 0;
      this.estimate[bucket] = own + (mean - own) * byChance;
    }
  }

  private sumUp(): void {
    let sum = 0;
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      this.below[bucket] = sum;
      sum += this.estimate[bucket] ?? 0;
    }
    this.below[BUCKETS] = sum;
  }

  private belowKey(key: number): number {
    const bucket = bucketOf(key);
    const part = (key - bucket * KEYS_PER_BUCKET) / KEYS_PER_BUCKET;
    return (this.below[bucket] ?? 0) + (this.estimate[bucket] ?? 0) * part;
  }
}
