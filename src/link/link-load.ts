/** Measures how much of a network link is used by traffic other than paced frames, as a moving average. */
import { policyIsOn } from '../policy-switches.js';

/** Minimum length in ms of a measurement window. */
const WINDOW_MS = 250;

/** Weight of a window of `WINDOW_MS` in the exponentially weighted moving average; longer windows weigh more. */
const EWMA_WINDOW_WEIGHT = 0.3;

/** Minimum share of the link that counts as available for paced frames, whatever the other traffic. */
const MIN_AVAILABLE_SHARE = 0.3;

/** Load of one network link that does not pass through its pacer. */
export class LinkLoad {
  private bytes = 0;
  private bytesPerMs = 0;

  constructor(private sinceMs: number) {}

  /** Records bytes that passed over the link without pacing. */
  record(bytes: number, nowMs: number): void {
    this.closeWindow(nowMs);
    this.bytes += bytes;
  }

  /** Returns the bandwidth left for paced frames, in bytes per ms, on a link of the given bandwidth. */
  availableBytesPerMs(linkBytesPerMs: number, nowMs: number): number {
    if (!policyIsOn('link-accounting')) return linkBytesPerMs;
    this.closeWindow(nowMs);
    return Math.max(linkBytesPerMs * MIN_AVAILABLE_SHARE, linkBytesPerMs - this.bytesPerMs);
  }

  private closeWindow(nowMs: number): void {
    const elapsedMs = nowMs - this.sinceMs;
    if (elapsedMs < WINDOW_MS) return;
    const weight = 1 - (1 - EWMA_WINDOW_WEIGHT) ** (elapsedMs / WINDOW_MS);
    this.bytesPerMs += (this.bytes / elapsedMs - this.bytesPerMs) * weight;
    this.bytes = 0;
    this.sinceMs = nowMs;
  }
}
