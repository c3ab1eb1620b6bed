/**
 * Bound on the bytes of request bodies that a daemon holds, over all callers. Handles callers that send slowly, since a
 * request is forwarded only once its body is complete.
 */

/** Bytes of bodies that a daemon holds at most, unless one body may be larger. */
const MAX_HELD_BODY_BYTES = 28 * 1024 * 1024;

/** Bytes beyond that which are left for small bodies, so that large ones do not keep them out. */
const SMALL_BODY_RESERVE_BYTES = 4 * 1024 * 1024;

/** Maximum size of a small body in bytes. */
const SMALL_BODY_BYTES = 64 * 1024;

/** Bytes of request bodies that one daemon holds. */
export class RequestBodyLimit {
  private bytes = 0;
  private refusalCount = 0;

  /** Bytes held. */
  get heldBytes(): number {
    return this.bytes;
  }

  /** Number of bodies that were refused. */
  get refusals(): number {
    return this.refusalCount;
  }

  /**
   * Counts further bytes of a body that then holds `bodyBytes`; false if they do not fit. A single body of
   * `maxBodyBytes`, the configured maximum, always fits.
   */
  take(bytes: number, bodyBytes: number, maxBodyBytes: number): boolean {
    const reserveBytes = bodyBytes <= SMALL_BODY_BYTES ? SMALL_BODY_RESERVE_BYTES : 0;
    if (this.bytes + bytes > Math.max(MAX_HELD_BODY_BYTES, maxBodyBytes) + reserveBytes) {
      this.refusalCount += 1;
      return false;
    }
    this.bytes += bytes;
    return true;
  }

  /** Ends the counting of bytes that are no longer held. */
  release(bytes: number): void {
    this.bytes -= bytes;
  }
}
