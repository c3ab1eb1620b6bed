/** How much of a network link passes beside the frames that are paced, as a recent mean. */
import { policyIsOn } from '../policy-switches.js';

/** Length of a window in ms over which bytes are counted. */
const WINDOW_MS = 250;

/** Weight of the newest window. */
const NEWEST_WEIGHT = 0.3;

/** Part of the link that counts as left for paced frames in any case. */
const LEAST_LEFT_SHARE = 0.3;

/** The load of one link. */
export class LinkLoad {
  private bytes = 0;
  private bytesPerMs = 0;

  constructor(private sinceMs: number) {}

  /** Bytes pass beside the paced frames. */
  note(bytes: number, nowMs: number): void {
    this.closeWindow(nowMs);
    this.bytes += bytes;
  }

  /** What is left of a link that carries so much, in bytes per ms. */
  leftOf(linkBytesPerMs: number, nowMs: number): number {
    if (!policyIsOn('link-accounting')) return linkBytesPerMs;
    this.closeWindow(nowMs);
    return Math.max(linkBytesPerMs * LEAST_LEFT_SHARE, linkBytesPerMs - this.bytesPerMs);
  }

  private closeWindow(nowMs: number): void {
    const elapsedMs = nowMs - this.sinceMs;
    if (elapsedMs < WINDOW_MS) return;
    const weight = 1 - (1 - NEWEST_WEIGHT) ** (elapsedMs / WINDOW_MS);
    this.bytesPerMs += (this.bytes / elapsedMs - this.bytesPerMs) * weight;
    this.bytes = 0;
    this.sinceMs = nowMs;
  }
}
