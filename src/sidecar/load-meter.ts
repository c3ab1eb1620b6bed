/** Slot time asked for at one back end, by bucket of keys, until it is reported. */
import { bucketOf } from '../directory/key-load.js';

/** The meter. */
export class LoadMeter {
  private busyMs = new Map<number, number>();

  /** A request with a key needs a place for `ms`, or needed more or, below 0, less than was counted. */
  add(key: number, ms: number): void {
    const bucket = bucketOf(key);
    this.busyMs.set(bucket, (this.busyMs.get(bucket) ?? 0) + ms);
  }

  /** What was used since the last call, as [bucket, ms]. What was counted too much is taken off later load. */
  take(): (readonly [number, number])[] {
    const all = [...this.busyMs];
    this.busyMs = new Map(all.filter(([, ms]) => ms < 0));
    return all.filter(([, ms]) => ms >= 0).map(([bucket, ms]) => [bucket, Math.round(ms)] as const);
  }
}
