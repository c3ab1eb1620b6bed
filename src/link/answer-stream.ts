/**
 * Sending side of one streamed answer: sends its body in frames within the stream's window and the room of the
 * connection, and holds what cannot be sent yet.
 */
import { FRAME_KIND, type FrameKind } from './link-frame.js';
import type { AnswerHead } from './link-messages.js';
import type { StreamWindow } from './stream-window.js';

/** Maximum body bytes of a frame of a streamed answer; several fit into a window, so that credit returns while others are sent. */
const MAX_PART_BYTES = 16 * 1024;

/** Bytes that a stream may hold if the daemon does not limit it otherwise. */
const DEFAULT_HELD_BYTES = 64 * 1024;

/** Bytes of one answer that a daemon holds, counted against the daemon's bound. */
export interface HeldBytes {
  add(bytes: number): void;
  remove(bytes: number): void;
  /** Whether the answer may hold more before its source is paused. */
  readonly mayHoldMore: boolean;
  /** Whether the daemon holds so many bytes that long answers should be passed on early. */
  readonly crowded: boolean;
  /** Removes what is still counted. */
  close(): void;
}

/** Decisions of the daemon about an answer whose bytes it holds. */
export interface HeldBytesHandlers {
  /** The answer is cut, because the daemon's bound is reached. */
  cut(): void;
  /** A number of bytes is to be read from the paused source, so that it does not abort the answer. */
  readOn(bytes: number): void;
}

/** Begins to count the bytes of an answer to a request of a priority. */
export type OpenHeldBytes = (priority: number, handlers: HeldBytesHandlers) => HeldBytes;

/** Counts the bytes of a single answer, for a server without a bound per daemon. */
export const openUnsharedHeldBytes: OpenHeldBytes = () => {
  let heldBytes = 0;
  return {
    crowded: false,
    get mayHoldMore() {
      return heldBytes < DEFAULT_HELD_BYTES;
    },
    add: (bytes) => {
      heldBytes += bytes;
    },
    remove: (bytes) => {
      heldBytes -= bytes;
    },
    close: () => undefined,
  };
};

/** Connection of a stream. */
export interface AnswerStreamPorts {
  readonly send: (kind: FrameKind, head: unknown, body?: Buffer) => void;
  /** Whether the connection has room for a further part of this stream. */
  readonly hasRoom: () => boolean;
  /** Calls back once, when the connection may have room again. */
  readonly onRoom: (callback: () => void) => void;
  /** Called once, when everything was sent or the rest was discarded. */
  readonly onFinished: () => void;
}

/** A streamed answer that is being sent. */
export class AnswerStream {
  private readonly parts: Buffer[] = [];
  private ended = false;
  private finished = false;
  private waitsForRoom = false;
  private resumeSource: (() => void) | null = null;
  /** Bytes to read from the source although the stream holds as much as it may. */
  private readOnBytes = 0;

  constructor(
    private readonly window: StreamWindow,
    private readonly held: HeldBytes,
    private readonly ports: AnswerStreamPorts,
  ) {}

  /** Sends the head and as much of the body as fits into one frame, and queues the rest. The head never waits. */
  start(head: AnswerHead, body: Buffer): void {
    const first = body.subarray(0, Math.max(0, Math.min(MAX_PART_BYTES, this.window.availableBytes)));
    this.window.recordSent(first.length);
    this.ports.send(FRAME_KIND.answer, head, first);
    this.enqueue(body.subarray(first.length));
  }

  /** Queues a part of the body; false if its source should pause until `onResume` calls back. */
  write(chunk: Buffer): boolean {
    if (this.finished) return true;
    this.readOnBytes = Math.max(0, this.readOnBytes - chunk.length);
    this.enqueue(chunk);
    return this.mayReadSource;
  }

  /** Ends the body once all of it is sent. */
  end(): void {
    this.ended = true;
    this.resumeSource = null;
    this.pump();
  }

  /** Calls back once, when the source may be read again. */
  onResume(callback: () => void): void {
    this.resumeSource = callback;
    this.resumeIfAllowed();
  }

  /** Lets the source be read although the stream holds as much as it may. */
  readOn(bytes: number): void {
    this.readOnBytes = bytes;
    this.resumeIfAllowed();
  }

  /** Adds credit returned by the peer; false if it is impossible. */
  addCredit(bytes: number): boolean {
    if (!this.window.add(bytes)) return false;
    this.pump();
    return true;
  }

  /** Discards what was not sent. */
  discard(): void {
    this.parts.length = 0;
    this.resumeSource = null;
    this.finish();
  }

  private enqueue(chunk: Buffer): void {
    if (chunk.length > 0) {
      this.parts.push(chunk);
      this.held.add(chunk.length);
    }
    this.pump();
  }

  private pump(): void {
    if (this.finished) return;
    while (this.window.availableBytes > 0 && this.ports.hasRoom()) {
      const part = this.takePart(Math.min(MAX_PART_BYTES, this.window.availableBytes));
      if (part === null) break;
      this.window.recordSent(part.length);
      this.held.remove(part.length);
      this.ports.send(FRAME_KIND.body, undefined, part);
    }
    if (this.parts.length > 0) this.waitForRoom();
    else if (this.ended) {
      this.ports.send(FRAME_KIND.end, undefined);
      this.finish();
    }
    this.resumeIfAllowed();
  }

  /** Takes the next part of at most `maxBytes`; null if nothing is queued. */
  private takePart(maxBytes: number): Buffer | null {
    const first = this.parts[0];
    if (first === undefined) return null;
    if (first.length <= maxBytes) {
      this.parts.shift();
      return first;
    }
    this.parts[0] = first.subarray(maxBytes);
    return first.subarray(0, maxBytes);
  }

  private waitForRoom(): void {
    if (this.waitsForRoom || this.ports.hasRoom()) return;
    this.waitsForRoom = true;
    this.ports.onRoom(() => {
      this.waitsForRoom = false;
      this.pump();
    });
  }

  private resumeIfAllowed(): void {
    if (!this.mayReadSource) return;
    const resume = this.resumeSource;
    this.resumeSource = null;
    resume?.();
  }

  private get mayReadSource(): boolean {
    return this.parts.length === 0 || this.readOnBytes > 0 || this.held.mayHoldMore;
  }

  private finish(): void {
    if (this.finished) return;
    this.finished = true;
    this.held.close();
    this.ports.onFinished();
  }
}
