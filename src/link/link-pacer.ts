/**
 * Sends large frames over a slow network link in slices, no faster than the link's bandwidth, so that no queue of large
 * frames builds up in the network in front of small frames to any peer. All connections of a daemon that use the link
 * share one pacer.
 */

import { policyIsOn } from '../policy-switches.js';
import { LinkLoad } from './link-load.js';

/** Maximum size of a slice in bytes. */
const SLICE_BYTES = 8 * 1024;

/** Maximum time in ms by which unpaced frames may delay the next slice, so that large frames are not starved. */
const MAX_DEBT_MS = 100;

/** Share of the link's bandwidth that the pacer uses; the rest is left for traffic of other processes. */
const BANDWIDTH_SHARE = 0.92;

/** Maximum idle time in ms for which credit accrues. */
const MAX_IDLE_CREDIT_MS = 25;

/**
 * Maximum time in ms for which credit accrues while frames are queued: the link was free, and only this process ran late. Bounded, so
 * that a process that was stalled does not flood the link.
 */
const MAX_LATE_CREDIT_MS = 100;

/** Backlog of a link in ms from which on bytes are scarcer than the processor time that compression takes. */
const MIN_CONGESTED_MS = 50;

/** Minimum pause in ms between runs of the pacer: each run wakes the process up, and delays small frames by no more than this. */
const MIN_PAUSE_MS = 10;

/**
 * Share of a frame's waiting time that is subtracted from its sending time in the order, so that no frame starves. With
 * less than the whole, the largest answers of a full link wait far longer than the others and miss their target.
 */
const AGING_FACTOR = 1;

/**
 * Size in bytes from which on frames are paced. Smaller ones are control frames and refusals, which must never wait.
 * Answers of a few KB must be paced too, since many of them saturate a slow link just as large ones do.
 */
export const MIN_PACED_FRAME_BYTES = policyIsOn('small-answers-paced') ? 2 * 1024 : 12 * 1024;

/** A frame that is sent in slices. */
export interface PacedFrame {
  /** Bytes that have not been written. */
  readonly remainingBytes: number;
  /** Whether the frame was discarded; it is then skipped. */
  readonly dropped: boolean;
  /** Whether its first bytes have been written; no other frame of its connection may then be interleaved. */
  readonly begun: boolean;
  /** Identity of the connection that carries the frame. */
  readonly connection: object;
  /** Writes at most `maxBytes` bytes and returns the number written. */
  write(maxBytes: number): number;
}

/** A queued frame and the time at which it was queued. */
interface QueuedFrame {
  readonly frame: PacedFrame;
  readonly queuedAtMs: number;
}

/** Frames that a pacer has sent during an interval. */
export interface SentFrames {
  readonly frames: number;
  readonly bytes: number;
  /** Mean and maximum time in ms from queueing to the last byte. */
  readonly meanMs: number;
  readonly maxMs: number;
  /** Time in ms for which the link was free while frames were queued, because this process ran late. */
  readonly unusedMs: number;
  /** Time in ms for which frames were queued. */
  readonly queuedMs: number;
  /** Bytes on the network that were not paced, with those of acknowledgements. */
  readonly unpacedBytes: number;
}

/** Totals of an interval. */
interface SentTotals {
  frames: number;
  bytes: number;
  totalMs: number;
  maxMs: number;
  unusedMs: number;
  queuedMs: number;
  unpacedBytes: number;
}

function noTotals(): SentTotals {
  return { frames: 0, bytes: 0, totalMs: 0, maxMs: 0, unusedMs: 0, queuedMs: 0, unpacedBytes: 0 };
}

/** Clock and timer of a pacer. */
export interface PacerClock {
  nowMs(): number;
  after(ms: number, callback: () => void): unknown;
}

/** Pacer of one network link: a token bucket that schedules the frame with the shortest sending time first. */
export class LinkPacer {
  private waiting: QueuedFrame[] = [];
  private readonly load: LinkLoad;
  /** Bytes that may be sent now; negative after a slice that exceeded the credit. */
  private credit = 0;
  private lastAccrualMs: number;
  private scheduled = false;
  private sent = noTotals();
  /** Whether slices are being written; a frame that completes meanwhile may add the next one. */
  private running = false;

  constructor(
    linkBytesPerMs: number,
    private readonly clock: PacerClock,
    private readonly bytesPerMs = linkBytesPerMs * BANDWIDTH_SHARE,
  ) {
    this.lastAccrualMs = clock.nowMs();
    this.load = new LinkLoad(this.lastAccrualMs);
  }

  /** Estimated time in ms until all queued frames have been sent. */
  get backlogMs(): number {
    let bytes = 0;
    for (const { frame } of this.waiting) if (!frame.dropped) bytes += frame.remainingBytes;
    return this.sendingMs(bytes);
  }

  /** Whether frames wait for the link for so long that it pays to spend processor time on fewer bytes. */
  get isCongested(): boolean {
    return this.waiting.length > 0 && this.backlogMs >= MIN_CONGESTED_MS;
  }

  /** Estimated time in ms to send this many bytes at the bandwidth that unpaced frames leave. */
  sendingMs(bytes: number): number {
    return bytes / this.load.availableBytesPerMs(this.bytesPerMs, this.clock.nowMs());
  }

  /** Records bytes that were sent without pacing, which use the link as well. */
  recordUnpacedSend(bytes: number): void {
    this.use(wireBytes(bytes));
  }

  /** Records received bytes, whose TCP acknowledgements use the link. */
  recordReceive(bytes: number): void {
    if (policyIsOn('link-accounting')) this.use(acknowledgementBytes(bytes));
  }

  /** Summarizes the frames sent since the previous call. */
  takeSentFrames(): SentFrames {
    const { frames, bytes, totalMs, maxMs, unusedMs, queuedMs, unpacedBytes } = this.sent;
    this.sent = noTotals();
    const meanMs = frames === 0 ? 0 : totalMs / frames;
    return {
      frames,
      bytes,
      meanMs: Math.round(meanMs),
      maxMs: Math.round(maxMs),
      unusedMs: Math.round(unusedMs),
      queuedMs: Math.round(queuedMs),
      unpacedBytes,
    };
  }

  private recordSent(queuedAtMs: number): void {
    const elapsedMs = this.lastAccrualMs - queuedAtMs;
    this.sent.frames += 1;
    this.sent.totalMs += elapsedMs;
    this.sent.maxMs = Math.max(this.sent.maxMs, elapsedMs);
  }

  private use(bytes: number): void {
    this.accrueCredit();
    this.load.record(bytes, this.lastAccrualMs);
    this.sent.unpacedBytes += bytes;
    this.credit = Math.max(this.credit - bytes, -MAX_DEBT_MS * this.bytesPerMs);
  }

  /** Queues a frame. */
  add(frame: PacedFrame): void {
    // Credit for the time without a queue is bounded more closely.
    if (this.waiting.length === 0) this.accrueCredit();
    this.waiting.push({ frame, queuedAtMs: this.clock.nowMs() });
    if (!this.scheduled && !this.running) this.run();
  }

  private run(): void {
    this.scheduled = false;
    this.accrueCredit();
    this.running = true;
    this.writeSlices();
    this.running = false;
    if (this.waiting.length === 0) return;
    this.scheduled = true;
    const pauseMs = Math.max(MIN_PAUSE_MS, -this.credit / this.bytesPerMs);
    this.clock.after(pauseMs, () => {
      this.run();
    });
  }

  private writeSlices(): void {
    for (;;) {
      this.waiting = this.waiting.filter(({ frame }) => hasBytesToSend(frame));
      const next = this.credit > 0 ? this.chooseNext() : null;
      if (next === null) return;
      const written = next.frame.write(SLICE_BYTES);
      this.credit -= wireBytes(written);
      this.sent.bytes += written;
      if (next.frame.remainingBytes === 0) this.recordSent(next.queuedAtMs);
    }
  }

  /**
   * Returns the frame with the shortest sending time, less the aging term: serving the shortest first minimizes the sum of
   * the waiting times. On each connection, a frame that has begun comes before the others. Null if nothing is queued.
   */
  private chooseNext(): QueuedFrame | null {
    const nowMs = this.clock.nowMs();
    const begun = this.waiting.filter(({ frame }) => frame.begun);
    if (!policyIsOn('link-slices') && begun[0] !== undefined) return begun[0];
    const busyConnections = new Set(begun.map(({ frame }) => frame.connection));
    let first: QueuedFrame | null = null;
    let firstRankMs = Infinity;
    for (const queued of this.waiting) {
      const { frame, queuedAtMs } = queued;
      if (!frame.begun && busyConnections.has(frame.connection)) continue;
      const rankMs = frame.remainingBytes / this.bytesPerMs - (nowMs - queuedAtMs) * AGING_FACTOR;
      if (rankMs >= firstRankMs) continue;
      first = queued;
      firstRankMs = rankMs;
    }
    return first;
  }

  private accrueCredit(): void {
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.lastAccrualMs;
    const earned = elapsedMs * this.bytesPerMs;
    this.lastAccrualMs = nowMs;
    const hasQueue = this.waiting.length > 0;
    if (hasQueue) this.sent.queuedMs += elapsedMs;
    const maxCredit = (hasQueue ? MAX_LATE_CREDIT_MS : MAX_IDLE_CREDIT_MS) * this.bytesPerMs;
    if (hasQueue) this.sent.unusedMs += Math.max(0, this.credit + earned - maxCredit) / this.bytesPerMs;
    this.credit = Math.min(this.credit + earned, maxCredit);
  }
}

function hasBytesToSend(frame: PacedFrame): boolean {
  return !frame.dropped && frame.remainingBytes > 0;
}

/** Payload of a full TCP segment, and the overhead of TCP and IP headers per segment (RFC 9293, RFC 791, timestamps). */
const SEGMENT_BYTES = 1_448;
const SEGMENT_OVERHEAD_BYTES = 52;

/** Segments covered by one delayed acknowledgement (RFC 1122, 4.2.3.2). */
const SEGMENTS_PER_ACKNOWLEDGEMENT = 2;

/** Returns the bytes on the network for a sent payload, including headers. */
function wireBytes(bytes: number): number {
  if (!policyIsOn('link-accounting')) return bytes;
  return bytes + Math.ceil(bytes / SEGMENT_BYTES) * SEGMENT_OVERHEAD_BYTES;
}

/** Returns the bytes on the network for the TCP acknowledgements of a received payload. */
function acknowledgementBytes(bytes: number): number {
  return Math.ceil(bytes / (SEGMENT_BYTES * SEGMENTS_PER_ACKNOWLEDGEMENT)) * SEGMENT_OVERHEAD_BYTES;
}
