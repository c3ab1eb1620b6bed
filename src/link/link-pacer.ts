/**
 * Hands large frames to a slow network link one after the other, no faster than the link takes them, so that small
 * frames to any peer never wait behind a queue of large ones. All connections of a daemon that share the link share
 * the pacer.
 */

import { policyIsOn } from '../policy-switches.js';
import { LinkLoad } from './link-load.js';

/** Bytes that are handed over at a time. */
const SLICE_BYTES = 8 * 1024;

/** Longest time in ms that small frames beside the pacer may hold up the next slice, so that large ones go on. */
const MOST_DEBT_MS = 100;

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
  /** Whether its first bytes have been written; then no other frame of its connection may come between. */
  readonly begun: boolean;
  /** What carries it. */
  readonly connection: object;
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
  private waiting: QueuedFrame[] = [];
  private readonly load: LinkLoad;
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
    this.load = new LinkLoad(this.lastMs);
  }

  /** Time in ms until everything that waits has been handed over. */
  get backlogMs(): number {
    let bytes = 0;
    for (const { frame } of this.waiting) if (!frame.dropped) bytes += frame.remainingBytes;
    return this.sendingMs(bytes);
  }

  /** Time in ms that an answer of this size takes on the link, beside the small frames that go before it. */
  sendingMs(bytes: number): number {
    return bytes / this.load.leftOf(this.bytesPerMs, this.clock.nowMs());
  }

  /** Bytes were sent beside the pacer; they use the link as well. */
  noteSent(bytes: number): void {
    this.use(wireBytes(bytes));
  }

  /** Bytes have come; that they came is told over the link. */
  noteReceived(bytes: number): void {
    if (policyIsOn('link-accounting')) this.use(acknowledgementBytes(bytes));
  }

  private use(bytes: number): void {
    this.earn();
    this.load.note(bytes, this.lastMs);
    this.credit = Math.max(this.credit - bytes, -MOST_DEBT_MS * this.bytesPerMs);
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
    if (this.waiting.length === 0) return;
    this.scheduled = true;
    const pauseMs = Math.max(LEAST_PAUSE_MS, -this.credit / this.bytesPerMs);
    this.clock.after(pauseMs, () => {
      this.run();
    });
  }

  private handOver(): void {
    for (;;) {
      this.waiting = this.waiting.filter(({ frame }) => isWanted(frame));
      const next = this.credit > 0 ? this.chooseNext() : null;
      if (next === null) return;
      this.credit -= wireBytes(next.write(SLICE_BYTES));
    }
  }

  /**
   * The frame that needs least time, which makes the sum of the waits smallest. On its own connection one that has begun
   * goes on first.
   */
  private chooseNext(): PacedFrame | null {
    const nowMs = this.clock.nowMs();
    const begun = this.waiting.filter(({ frame }) => frame.begun).map(({ frame }) => frame);
    if (!policyIsOn('link-slices') && begun[0] !== undefined) return begun[0];
    const taken = new Set(begun.map(({ connection }) => connection));
    let best: PacedFrame | null = null;
    let bestMs = Infinity;
    for (const { frame, sinceMs } of this.waiting) {
      if (!frame.begun && taken.has(frame.connection)) continue;
      const orderMs = frame.remainingBytes / this.bytesPerMs - (nowMs - sinceMs) * AGING_SHARE;
      if (orderMs >= bestMs) continue;
      best = frame;
      bestMs = orderMs;
    }
    return best;
  }

  private earn(): void {
    const nowMs = this.clock.nowMs();
    const earned = (nowMs - this.lastMs) * this.bytesPerMs;
    this.lastMs = nowMs;
    this.credit = Math.min(this.credit + earned, MOST_CREDIT_MS * this.bytesPerMs);
  }
}

function isWanted(frame: PacedFrame): boolean {
  return !frame.dropped && frame.remainingBytes > 0;
}

/** Bytes of payload in a segment on the network, and what TCP and IP add to each (RFC 9293, RFC 791, timestamps). */
const SEGMENT_BYTES = 1_448;
const SEGMENT_OVERHEAD_BYTES = 52;

/** Segments that one acknowledgement answers (RFC 1122, 4.2.3.2). */
const SEGMENTS_PER_ACKNOWLEDGEMENT = 2;

/** Bytes on the network for a payload. */
function wireBytes(bytes: number): number {
  if (!policyIsOn('link-accounting')) return bytes;
  return bytes + Math.ceil(bytes / SEGMENT_BYTES) * SEGMENT_OVERHEAD_BYTES;
}

/** Bytes on the network for the acknowledgements of a payload that came. */
function acknowledgementBytes(bytes: number): number {
  return Math.ceil(bytes / (SEGMENT_BYTES * SEGMENTS_PER_ACKNOWLEDGEMENT)) * SEGMENT_OVERHEAD_BYTES;
}
