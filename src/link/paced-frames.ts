/**
 * The outgoing frames of one connection over a paced link. A large frame is written in slices; frames of its stream
 * follow it, small frames of other streams go before it as long as it has not begun.
 */
import type { LinkPacer, PacedFrame } from './link-pacer.js';
import { PACED_FRAME_BYTES } from './link-pacer.js';

/** A frame that waits. */
interface WaitingFrame extends PacedFrame {
  readonly stream: number;
  drop(): void;
  /** Whether the pacer knows of it; it does not while an earlier frame of the stream waits. */
  submitted: boolean;
}

/** Outgoing frames of one connection. */
export class PacedFrames {
  /** Large frames, and frames of their streams behind them, in order. */
  private waiting: WaitingFrame[] = [];
  /** Small frames that came while a large one was being written. */
  private readonly behindCurrent: Buffer[] = [];

  constructor(
    private readonly pacer: LinkPacer,
    private readonly writeNow: (bytes: Buffer) => void,
  ) {}

  /** Queues or writes a frame. */
  send(stream: number, start: Buffer, body: Buffer): void {
    const bytes = start.length + body.length;
    const follows = this.waiting.some((frame) => frame.stream === stream);
    if (bytes >= PACED_FRAME_BYTES || follows) {
      this.queue(stream, body.length === 0 ? start : Buffer.concat([start, body]));
      return;
    }
    if (this.waiting.some(({ begun }) => begun)) this.behindCurrent.push(start, body);
    else this.writeSmall(start, body);
  }

  /** Frames of a stream are not wanted any more; one that has begun is still finished. */
  drop(stream: number): void {
    for (const frame of this.waiting) if (frame.stream === stream && !frame.begun) frame.drop();
    this.advance();
  }

  /** Writes everything that waits at once, however long the link takes for it. */
  flush(): void {
    while (this.waiting.length > 0) {
      const next = this.waiting.find(({ begun }) => begun) ?? this.waiting[0];
      if (next === undefined || next.remainingBytes === 0) return;
      next.write(next.remainingBytes);
    }
  }

  /** Nothing can be sent any more. */
  dropAll(): void {
    for (const frame of this.waiting) frame.drop();
    this.waiting = [];
    this.behindCurrent.length = 0;
  }

  private queue(stream: number, bytes: Buffer): void {
    let at = 0;
    let dropped = false;
    const frame: WaitingFrame = {
      stream,
      connection: this,
      submitted: false,
      get remainingBytes() {
        return bytes.length - at;
      },
      get dropped() {
        return dropped;
      },
      get begun() {
        return at > 0;
      },
      drop: () => {
        dropped = true;
      },
      write: (most) => {
        const slice = bytes.subarray(at, at + most);
        at += slice.length;
        this.writeNow(slice);
        if (at === bytes.length) this.finished();
        return slice.length;
      },
    };
    this.waiting.push(frame);
    this.advance();
  }

  private finished(): void {
    for (const bytes of this.behindCurrent.splice(0)) this.writeSmall(bytes);
    this.advance();
  }

  /** Forgets what is done, and hands the first frame of each stream to the pacer. */
  private advance(): void {
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

  private writeSmall(...parts: readonly Buffer[]): void {
    for (const bytes of parts) {
      if (bytes.length === 0) continue;
      this.pacer.noteSent(bytes.length);
      this.writeNow(bytes);
    }
  }
}
