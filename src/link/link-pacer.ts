/**
 * Hands large frames to a slow network link one after the other, no faster than the link takes them, so that small
 * frames to any peer never wait behind a queue of large ones. All connections of a daemon that share the link share
 * the pacer.
 */

import { policyIsOn } from '../policy-switches.js';

/** Bytes that are handed over at a time. */
const SLICE_BYTES = 8 * 1024;

/** Part of the link that is used; the rest is for what does not pass here. */
const USED_SHARE = 0.92;

/** Longest pause in ms that is made good for afterwards: a pacer that was kept from running does not flood the link. */
const MOST_CREDIT_MS = 25;

/** Shortest pause between slices, in ms. */
const LEAST_PAUSE_MS = 2;

/** Part of the time that a frame has waited by which it is taken for smaller, so that none waits for ever. */
const AGING_SHARE = 0.25;

/**
 * Frames from this size on are paced, in bytes. Smaller ones are control and refusals, which must never wait; answers
 * of a few KB fill a slow link as well as large ones do, only more of them.
 */
export const PACED_FRAME_BYTES = policyIsOn('small-answers-paced') ? 2 * 1024 : 12 * 1024;

/** A frame that waits for the link. */
export interface PacedFrame {
  /** Bytes that are left. */
  readonly remainingBytes: number;
  /** Whether it is not wanted any more; it is passed over. */
  readonly dropped: boolean;
  /** Hands over at most so many bytes; returns how many it were. */
  write(bytes: number): number;
}

/** A frame in the queue. */
interface QueuedFrame {
  readonly frame: PacedFrame;
  readonly sinceMs: number;
}

/** The clock and timer of a pacer. */
export interface PacerClock {
  nowMs(): number;
  after(ms: number, callback: () => void): unknown;
}

/** The pacer of one link. */
export class LinkPacer {
  private readonly waiting: QueuedFrame[] = [];
  /** Its first bytes have been handed over. */
  private current: PacedFrame | null = null;
  /** Bytes that may be handed over now; below 0 after a slice. */
  private credit = 0;
  private lastMs: number;
  private scheduled = false;
  /** Frames are being handed over; one that ends may add the next. */
  private running = false;

  constructor(
    linkBytesPerMs: number,
    private readonly clock: PacerClock,
    private readonly bytesPerMs = linkBytesPerMs * USED_SHARE,
  ) {
    this.lastMs = clock.nowMs();
  }

  /** Time in ms until everything that waits has been handed over. */
  get backlogMs(): number {
    let bytes = 0;
    if (this.current?.dropped === false) bytes += this.current.remainingBytes;
    for (const { frame } of this.waiting) if (!frame.dropped) bytes += frame.remainingBytes;
    return bytes / this.bytesPerMs;
  }

  /** Time in ms that an answer of this size takes on the link. */
  sendingMs(bytes: number): number {
    return bytes / this.bytesPerMs;
  }

  /** Bytes were sent beside the pacer; they use the link as well. */
  noteSent(bytes: number): void {
    this.earn();
    this.credit -= bytes;
  }

  /** Queues a frame. */
  add(frame: PacedFrame): void {
    this.waiting.push({ frame, sinceMs: this.clock.nowMs() });
    if (!this.scheduled && !this.running) this.run();
  }

  private run(): void {
    this.scheduled = false;
    this.earn();
    this.running = true;
    this.handOver();
    this.running = false;
    if (!isWanted(this.current) && this.waiting.length === 0) return;
    this.scheduled = true;
    const pauseMs = Math.max(LEAST_PAUSE_MS, -this.credit / this.bytesPerMs);
    this.clock.after(pauseMs, () => {
      this.run();
    });
  }

  private handOver(): void {
    while (this.credit > 0) {
      this.current = this.chooseNext();
      if (this.current === null) return;
      this.credit -= this.current.write(SLICE_BYTES);
    }
  }

  /** The frame that has begun, or else the one that needs least time, which makes the sum of the waits smallest. */
  private chooseNext(): PacedFrame | null {
    if (isWanted(this.current)) return this.current;
    const nowMs = this.clock.nowMs();
    let best = -1;
    let bestMs = Infinity;
    this.waiting.forEach(({ frame, sinceMs }, at) => {
      const neededMs = frame.dropped ? -Infinity : this.sendingMs(frame.remainingBytes);
      const orderMs = neededMs - (nowMs - sinceMs) * AGING_SHARE;
      if (orderMs >= bestMs) return;
      best = at;
      bestMs = orderMs;
    });
    const [chosen] = best < 0 ? [] : this.waiting.splice(best, 1);
    if (chosen === undefined) return null;
    return isWanted(chosen.frame) ? chosen.frame : this.chooseNext();
  }

  private earn(): void {
    const nowMs = this.clock.nowMs();
    const earned = (nowMs - this.lastMs) * this.bytesPerMs;
    this.lastMs = nowMs;
    this.credit = Math.min(this.credit + earned, MOST_CREDIT_MS * this.bytesPerMs);
  }
}

function isWanted(frame: PacedFrame | null): frame is PacedFrame {
  return frame !== null && !frame.dropped && frame.remainingBytes > 0;
}
