/** Accumulates the slot time requested at one back end by key bucket until it is reported. */
import { bucketOf } from '../directory/key-load.js';

/** Slot time by key bucket since the last report. */
export class LoadMeter {
  private busyMs = new Map<number, number>();

  /** Adds slot time for a key: an estimate, or a correction once the request has ended, which may be negative. */
  add(key: number, ms: number): void {
    const bucket = bucketOf(key);
    this.busyMs.set(bucket, (this.busyMs.get(bucket) ?? 0) + ms);
  }

  /** Returns the load since the last call as [bucket, ms]. A negative balance is carried over to later load. */
  take(): (readonly [number, number])[] {
    const entries = [...this.busyMs];
    this.busyMs = new Map(entries.filter(([, ms]) => ms < 0));
    return entries.filter(([, ms]) => ms >= 0).map(([bucket, ms]) => [bucket, Math.round(ms)] as const);
  }
}
