/** The body of a client's request while it arrives, within the memory that its process has for clients. */
import type { ClientMemory, MemoryShare } from './client-memory.js';
import { GrowingBuffer } from './growing-buffer.js';

/** Bytes that a request takes besides its body. */
const REQUEST_OVERHEAD_BYTES = 2 * 1024;

/** Why the rest of a body is not taken. */
export type BodyFault =
  /** It is larger than allowed. */
  | 'too-large'
  /** There is no memory for it. */
  | 'no-memory';

/** A body that is stored until it is whole. */
export class IncomingBody {
  private readonly stored: GrowingBuffer;
  private readonly share: MemoryShare;
  /** A body that arrived in one part, which is not copied. */
  private only: Buffer | null = null;
  private rejected = false;

  /**
   * `maxBytes` is the largest size allowed, `statedBytes` the size that the client states, or null. `onEvicted` is called if the body
   * gives way to those of other clients.
   */
  constructor(
    memory: ClientMemory,
    private readonly maxBytes: number,
    private readonly statedBytes: number | null,
    onEvicted: () => void,
  ) {
    this.stored = new GrowingBuffer(Math.min(maxBytes, statedBytes ?? maxBytes));
    this.share = memory.open(() => {
      this.release();
      onEvicted();
    });
  }

  /** Takes a part; returns why it is not taken, once, or null. Parts behind that are discarded. */
  add(part: Buffer): BodyFault | null {
    if (this.rejected) return null;
    const bytes = this.stored.length + part.length;
    if (bytes > this.maxBytes) return this.reject('too-large');
    const isOnly = part.length === this.statedBytes;
    const held = isOnly ? bytes : this.stored.capacityFor(bytes);
    if (!this.share.resize(held + REQUEST_OVERHEAD_BYTES)) return this.reject('no-memory');
    if (isOnly) this.only = part;
    else this.stored.append(part);
    return null;
  }

  /** Returns the whole body, which is held until `release`; null if it was rejected. */
  end(): Buffer | null {
    if (this.rejected) return null;
    this.share.keep();
    return this.only ?? this.stored.view();
  }

  /**
   * Holds as many bytes again for the copy that is on its way to a back end, while the body is kept for further attempts. False if there
   * is no room; the body is then given up.
   */
  holdCopy(): boolean {
    const { bytes } = this.share;
    if (bytes === 0 || this.share.resize(2 * bytes)) return true;
    this.release();
    return false;
  }

  /** Gives up what is held. */
  release(): void {
    this.rejected = true;
    this.only = null;
    this.stored.clear();
    this.share.release();
  }

  private reject(fault: BodyFault): BodyFault {
    this.release();
    return fault;
  }
}
