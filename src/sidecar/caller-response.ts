/** Body of an answer to one caller: counts the bytes that the caller has not read and reports those that it has. */
import type { ServerResponse } from 'node:http';
import type { HeldBytes, OpenHeldBytes } from '../link/answer-stream.js';
import type { OnRead } from '../link/link-client.js';

/** Priority of an answer until that of its request is known; the least urgent. */
const UNKNOWN_PRIORITY = Number.MAX_SAFE_INTEGER;

/** Body of the answer to one caller. Bytes count as read when the operating system has taken them. */
export class CallerResponse {
  /** Priority of the request; 0 is the most urgent. */
  priority = UNKNOWN_PRIORITY;
  private unread: HeldBytes | null = null;

  constructor(
    private readonly response: ServerResponse,
    private readonly openUnread: OpenHeldBytes,
  ) {}

  /** Writes a part of the body. */
  write(chunk: Buffer, onRead?: OnRead): void {
    const { length } = chunk;
    // A part of a frame would keep the memory of the whole frame, and of others received with it, until it is read.
    const part = Buffer.from(chunk);
    let isRead = false;
    let counted = false;
    const flushesAtOnce = this.response.write(part, (error) => {
      isRead = true;
      if (error !== null && error !== undefined) return;
      if (counted) this.unread?.remove(length);
      onRead?.(length);
    });
    if (isRead || (flushesAtOnce && this.response.writableLength === 0)) return;
    counted = true;
    this.count(length);
  }

  /** Writes the whole body. Bytes that are not read are counted until the response is closed. */
  end(body: Buffer): void {
    this.response.end(body);
    if (this.response.writableLength > 0) this.count(body.length);
  }

  private count(bytes: number): void {
    this.unread ??= this.open();
    this.unread.add(bytes);
  }

  private open(): HeldBytes {
    const unread = this.openUnread(this.priority, {
      cut: () => {
        this.response.destroy();
      },
      readOn: () => undefined,
    });
    this.response.once('close', () => {
      unread.close();
    });
    return unread;
  }
}
