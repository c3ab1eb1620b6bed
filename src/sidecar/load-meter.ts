/** Slot time used at one back end, by bucket of keys, until it is reported. */
import { bucketOf } from '../directory/key-load.js';

/** The meter. */
export class LoadMeter {
  private busyMs = new Map<number, number>();

  /** A request with a key kept a place for `ms`. */
  add(key: number, ms: number): void {
    const bucket = bucketOf(key);
    this.busyMs.set(bucket, (this.busyMs.get(bucket) ?? 0) + ms);
  }

  /** What was used since the last call, as [bucket, ms]. */
  take(): (readonly [number, number])[] {
    const load = [...this.busyMs].map(([bucket, ms]) => [bucket, Math.round(ms)] as const);
    this.busyMs = new Map();
    return load;
  }
}
