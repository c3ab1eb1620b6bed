/**
 * Flow control of the answers on one link. Each streamed answer may have a limited number of body bytes that its caller
 * has not read. The connecting side states the first window of every stream once, as a credit for stream 0, and returns
 * credit for a stream as its caller reads.
 */
import { Err, Ok, type Result } from '../result.js';

/** First window of a stream in bytes: 200 callers of one daemon that read nothing then hold 13 MB. */
export const FIRST_WINDOW_BYTES = 64 * 1024;

/**
 * Size in bytes up to which a complete answer is sent in one frame although it exceeds the window. An answer in one frame
 * is received whole or not at all, so that its request can be repeated when the link drops.
 */
export const MAX_WHOLE_ANSWER_BYTES = 128 * 1024;

/** Window in bytes that the receiver maintains while its daemon holds many unread bytes; at least `CREDIT_STEP_BYTES`. */
export const REDUCED_WINDOW_BYTES = 32 * 1024;

/** Maximum window of a stream in bytes; a credit that exceeds it is impossible. */
export const MAX_WINDOW_BYTES = 16 * 1024 * 1024;

/** Minimum credit in bytes that is returned at once, so that few frames carry credit. */
export const CREDIT_STEP_BYTES = 16 * 1024;

const CREDIT_BYTES = 4;

/** Sending side of a stream: bytes that may still be sent; infinite for a peer that returns no credit, whose credits are ignored. */
export class StreamWindow {
  constructor(private bytes: number) {}

  /** Bytes that may be sent now; 0 or negative if none. */
  get availableBytes(): number {
    return this.bytes;
  }

  /** Records sent bytes; a frame that cannot be split may exceed the window. */
  recordSent(bytes: number): void {
    this.bytes -= bytes;
  }

  /** Adds returned credit; false if it is impossible, which changes nothing. */
  add(creditBytes: number): boolean {
    if (this.bytes === Infinity) return true;
    const isPossible = Number.isSafeInteger(creditBytes) && creditBytes > 0;
    if (!isPossible || this.bytes + creditBytes > MAX_WINDOW_BYTES) return false;
    this.bytes += creditBytes;
    return true;
  }
}

/** Receiving side of a stream: credit that is due as its caller reads. */
export class StreamCredit {
  private readBytes = 0;
  private grantedBytes: number;

  constructor(firstWindowBytes: number) {
    this.grantedBytes = firstWindowBytes;
  }

  /** Records bytes that the caller has read; returns the credit to send now in bytes, 0 for none. */
  recordRead(bytes: number, windowBytes: number): number {
    this.readBytes += bytes;
    const dueBytes = this.readBytes + Math.max(windowBytes, CREDIT_STEP_BYTES) - this.grantedBytes;
    if (dueBytes < CREDIT_STEP_BYTES) return 0;
    this.grantedBytes += dueBytes;
    return dueBytes;
  }
}

/** Encodes the body of a credit frame. */
export function encodeCredit(bytes: number): Buffer {
  const body = Buffer.allocUnsafe(CREDIT_BYTES);
  body.writeUInt32BE(bytes);
  return body;
}

/** Decodes the body of a credit frame: a positive number of bytes within the maximum window. */
export function decodeCredit(body: Buffer): Result<number, 'unreadable-credit'> {
  if (body.length !== CREDIT_BYTES) return Err('unreadable-credit');
  const bytes = body.readUInt32BE();
  return bytes > 0 && bytes <= MAX_WINDOW_BYTES ? Ok(bytes) : Err('unreadable-credit');
}
