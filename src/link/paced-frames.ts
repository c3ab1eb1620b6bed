/**
 * Send queue of one connection over a paced link. Large frames are written in slices by the pacer. Small frames of the same
 * stream are written right after the last large one in front of them, since the end of an answer, or credit for one, must not
 * wait for the link once more; small frames of other streams overtake a large frame unless its writing has begun.
 */
import type { LinkPacer, PacedFrame } from './link-pacer.js';
import { MIN_PACED_FRAME_BYTES } from './link-pacer.js';

/**
 * Maximum number of bytes of small parts of an answer that follow a large frame of it at once. Without a limit, an answer of small
 * parts would be one frame that never ends, and no other frame of its connection would be written.
 */
const MAX_APPENDED_BYTES = 8 * 1024;

/** A large frame in the send queue, and the small frames of its stream that are written right after it. */
class QueuedFrames implements PacedFrame {
  dropped = false;
  begun = false;
  remainingBytes = 0;
  /** Bytes of parts of an answer that were appended to the large frame. */
  appendedBytes = 0;
  /** Whether it was passed to the pacer, which happens once nothing earlier of its stream is queued. */
  submitted = false;
  /** Frames that were not written completely. */
  private readonly frames: Buffer[] = [];
  /** Bytes of the first of them that were written. */
  private offset = 0;

  /** `onWritten` is called once all frames have been written. */
  constructor(
    readonly stream: number,
    readonly connection: object,
    private readonly writeNow: (bytes: Buffer) => void,
    private readonly onWritten: () => void,
  ) {}

  append(start: Buffer, body: Buffer): void {
    const frame = body.length === 0 ? start : Buffer.concat([start, body]);
    this.frames.push(frame);
    this.remainingBytes += frame.length;
  }

  /** See `PacedFrame`. */
  write(maxBytes: number): number {
    let written = 0;
    for (let [first] = this.frames; first !== undefined && written < maxBytes; [first] = this.frames) {
      const slice = first.subarray(this.offset, this.offset + maxBytes - written);
      this.writeNow(slice);
      written += slice.length;
      this.offset += slice.length;
      if (this.offset < first.length) break;
      this.frames.shift();
      this.offset = 0;
    }
    this.begun = true;
    this.remainingBytes -= written;
    if (this.remainingBytes === 0) this.onWritten();
    return written;
  }

  /** Discards the frames, except one of which a part was written: a frame cannot be cut off. */
  drop(): void {
    this.dropped = !this.begun;
    const keptFrames = this.offset > 0 ? 1 : 0;
    for (const frame of this.frames.splice(keptFrames)) this.remainingBytes -= frame.length;
    if (this.begun && this.remainingBytes === 0) this.onWritten();
  }
}

/** A frame that is written as a whole; the body may be empty. */
interface SmallFrame {
  readonly start: Buffer;
  readonly body: Buffer;
  /** Stream of the large frame that it follows and is discarded with; null if it follows none, and must be written. */
  readonly follows: number | null;
}

/** Send queue of one connection. */
export class PacedFrames {
  /** Large frames, with the small ones that follow them, in order of arrival. */
  private waiting: QueuedFrames[] = [];
  /** Small frames that were sent while a large one was being written; written right after it. */
  private deferredSmallFrames: SmallFrame[] = [];

  constructor(
    private readonly pacer: LinkPacer,
    private readonly writeNow: (bytes: Buffer) => void,
  ) {}

  /** Writes a small frame, or queues it if it must not be written yet; queues a large frame. */
  send(stream: number, start: Buffer, body: Buffer): void {
    if (start.length + body.length >= MIN_PACED_FRAME_BYTES) {
      this.queue(stream, start, body);
      return;
    }
    const last = this.waiting.findLast((queued) => queued.stream === stream);
    // Small frames of other streams that wait already were sent before this one.
    const wouldOvertake = last?.begun === true && this.deferredSmallFrames.length > 0;
    if (last !== undefined && !wouldOvertake) this.appendOrQueue(last, start, body);
    else if (this.waiting.some(({ begun }) => begun))
      this.deferredSmallFrames.push({ start, body, follows: last?.stream ?? null });
    else this.writeSmall(start, body);
  }

  /**
   * Size in bytes from which on a frame of a stream may be written after frames that are sent later. Smaller ones are
   * written at once, or in order after the large frame that is being written.
   */
  minOvertakenBytes(stream: number): number {
    return this.isQueued(stream) ? 0 : MIN_PACED_FRAME_BYTES;
  }

  /**
   * Discards the queued frames of a stream, except one whose writing has begun: a frame cannot be cut off. Nothing that is written
   * later depends on their heads, since later frames may be written before them (see `minOvertakenBytes`). Returns whether there
   * were any, and none of them had begun.
   */
  drop(stream: number): boolean {
    const ofStream = this.waiting.filter((queued) => queued.stream === stream);
    if (ofStream.length === 0) return false;
    const hasBegun = ofStream.some(({ begun }) => begun);
    this.deferredSmallFrames = this.deferredSmallFrames.filter(({ follows }) => follows !== stream);
    for (const queued of ofStream) queued.drop();
    this.submitNext();
    return !hasBegun;
  }

  /** Writes all queued frames immediately, without pacing. */
  flush(): void {
    while (this.waiting.length > 0) {
      const next = this.waiting.find(({ begun }) => begun) ?? this.waiting[0];
      if (next === undefined || next.remainingBytes === 0) return;
      next.write(next.remainingBytes);
    }
  }

  /**
   * Discards all queued frames, also one whose writing has begun, because the connection is closed. Returns the streams that had
   * queued frames, of which none had begun.
   */
  discardAll(): ReadonlySet<number> {
    const unbegun = new Set(this.waiting.map(({ stream }) => stream));
    for (const queued of this.waiting) {
      if (queued.begun) unbegun.delete(queued.stream);
      queued.dropped = true;
    }
    this.waiting = [];
    this.deferredSmallFrames.length = 0;
    return unbegun;
  }

  private isQueued(stream: number): boolean {
    return this.waiting.some((frame) => frame.stream === stream);
  }

  /** Frames without a body are few, and say what must not wait: an end, credit, a failure. */
  private appendOrQueue(last: QueuedFrames, start: Buffer, body: Buffer): void {
    const partBytes = body.length === 0 ? 0 : start.length + body.length;
    if (last.appendedBytes + partBytes > MAX_APPENDED_BYTES) {
      this.queue(last.stream, start, body);
      return;
    }
    last.appendedBytes += partBytes;
    last.append(start, body);
  }

  private queue(stream: number, start: Buffer, body: Buffer): void {
    const queued = new QueuedFrames(stream, this, this.writeNow, () => {
      this.handleFrameWritten();
    });
    queued.append(start, body);
    this.waiting.push(queued);
    this.submitNext();
  }

  private handleFrameWritten(): void {
    for (const { start, body } of this.deferredSmallFrames.splice(0)) this.writeSmall(start, body);
    this.submitNext();
  }

  /** Removes completed and discarded frames, and passes the first queued frame of each stream to the pacer. */
  private submitNext(): void {
    this.waiting = this.waiting.filter((frame) => !frame.dropped && frame.remainingBytes > 0);
    const streams = new Set<number>();
    for (const frame of this.waiting) {
      if (!streams.has(frame.stream) && !frame.submitted) {
        frame.submitted = true;
        this.pacer.add(frame);
      }
      streams.add(frame.stream);
    }
  }

  private writeSmall(start: Buffer, body: Buffer): void {
    this.pacer.recordUnpacedSend(start.length + body.length);
    this.writeNow(start);
    if (body.length > 0) this.writeNow(body);
  }
}
