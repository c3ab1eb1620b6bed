/** Bytes that arrive in pieces of any size, stored in one buffer, so that small pieces take no more memory than large ones. */

/** Capacity in bytes of the first allocation. */
const INITIAL_CAPACITY_BYTES = 4 * 1024;

const NO_BYTES: Buffer = Buffer.alloc(0);

/** Buffer that grows with what is appended, never with what a peer has announced. */
export class GrowingBuffer {
  private bytes: Buffer = NO_BYTES;
  private used = 0;

  /** `maxBytes` bounds the capacity that is allocated ahead. */
  constructor(private readonly maxBytes = Infinity) {}

  /** Number of bytes that were appended. */
  get length(): number {
    return this.used;
  }

  /** Capacity that a number of bytes would take. */
  capacityFor(bytes: number): number {
    if (bytes <= this.bytes.length) return this.bytes.length;
    const doubled = Math.max(INITIAL_CAPACITY_BYTES, this.bytes.length * 2);
    return Math.max(bytes, Math.min(doubled, this.maxBytes));
  }

  /** Copies bytes behind the earlier ones. */
  append(part: Buffer): void {
    const needed = this.used + part.length;
    if (needed > this.bytes.length) this.grow(this.capacityFor(needed));
    part.copy(this.bytes, this.used);
    this.used = needed;
  }

  /** Returns all bytes; nothing may be appended afterwards. */
  view(): Buffer {
    return this.bytes.subarray(0, this.used);
  }

  /** Gives all bytes up. */
  clear(): void {
    this.bytes = NO_BYTES;
    this.used = 0;
  }

  private grow(capacity: number): void {
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.bytes.copy(grown, 0, 0, this.used);
    this.bytes = grown;
  }
}
