/**
 * Sender side of one answer on a link. It sends no more of the body than its receiver has stated room for, in the request and
 * in credit frames, so that neither daemon stores what a slow caller has not taken.
 */
import type { LinkConnection } from './link-connection.js';
import { FRAME_KIND } from './link-frame.js';
import type { AnswerHead } from './link-messages.js';

/** Sends the body of one answer. */
export class AnswerStream {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private ending = false;
  private closed = false;
  private drainCallbacks: (() => void)[] = [];

  /** `room` is the number of bytes that the receiver takes; infinite if it states none. `onEnd` is called once. */
  constructor(
    private readonly connection: LinkConnection,
    private readonly stream: number,
    private room: number,
    private readonly onEnd: () => void,
  ) {}

  /** Whether everything that was passed has been sent or discarded. */
  get isDrained(): boolean {
    return this.queuedBytes === 0;
  }

  /** Starts the answer. One that the receiver has room for as a whole is sent in one frame. */
  answer(head: AnswerHead, body: Buffer): void {
    if (!head.moreFollows && body.length <= this.room) {
      this.close();
      this.connection.send(FRAME_KIND.answer, this.stream, head, body);
      return;
    }
    const start = body.subarray(0, Math.min(this.room, body.length));
    this.room -= start.length;
    this.connection.send(FRAME_KIND.answer, this.stream, headOfParts(head, body.length), start);
    this.ending = !head.moreFollows;
    this.push(body.subarray(start.length));
  }

  /** Sends a further part of the body, or queues it. */
  push(chunk: Buffer): void {
    if (this.closed) return;
    if (chunk.length > 0) this.queue.push(chunk);
    this.queuedBytes += chunk.length;
    this.flush();
  }

  /** Ends the answer after all of its body. */
  end(): void {
    this.ending = true;
    this.flush();
  }

  /** Adds room that the receiver states. */
  grant(bytes: number): void {
    this.room += bytes;
    this.flush();
  }

  /** Discards what was not sent; nothing more is sent. */
  discard(): void {
    this.queue = [];
    this.queuedBytes = 0;
    this.close();
    this.notifyDrained();
  }

  /** Calls back once, when everything that was passed has been sent or discarded. */
  onDrain(callback: () => void): void {
    this.drainCallbacks.push(callback);
    if (this.isDrained) this.notifyDrained();
  }

  private flush(): void {
    while (this.room > 0) {
      const chunk = this.queue.shift();
      if (chunk === undefined) break;
      const part = chunk.subarray(0, Math.min(this.room, chunk.length));
      if (part.length < chunk.length) this.queue.unshift(chunk.subarray(part.length));
      this.room -= part.length;
      this.queuedBytes -= part.length;
      this.connection.send(FRAME_KIND.body, this.stream, undefined, part);
    }
    if (!this.isDrained) return;
    if (this.ending && !this.closed) {
      this.close();
      this.connection.send(FRAME_KIND.end, this.stream, undefined);
    }
    this.notifyDrained();
  }

  private close(): void {
    if (this.closed) return;
    this.closed = true;
    this.onEnd();
  }

  private notifyDrained(): void {
    for (const callback of this.drainCallbacks.splice(0)) callback();
  }
}

/** Returns the head of an answer that is sent in parts; the length of a body that is known as a whole ends it. */
function headOfParts(head: AnswerHead, bodyBytes: number): AnswerHead {
  if (head.moreFollows) return head;
  const endsWithLength = head.contentLength === bodyBytes;
  return { ...head, moreFollows: true, ...(endsWithLength ? { endsWithLength } : {}) };
}
