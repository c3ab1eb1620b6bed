/**
 * Bytes of answers that the daemon beside a back end stores: of those that are buffered until they are whole, and of those
 * that wait for room at the caller's daemon. The sum is bounded; beyond the bound answers are passed on as they come.
 */

/** Sum in bytes from which on answers are not buffered any more. */
const MAX_TOTAL_BYTES = 4 * 1024 * 1024;

/** Size in bytes up to which an answer is buffered in any case. */
export const MIN_BUFFERED_BYTES = 16 * 1024;

/** Stored answers of one daemon. */
export class AnswerBuffers {
  private totalBytes = 0;

  /** Whether no more may be buffered than `MIN_BUFFERED_BYTES` an answer. */
  get isFull(): boolean {
    return this.totalBytes >= MAX_TOTAL_BYTES;
  }

  /** Records bytes that are stored from now on. */
  add(bytes: number): void {
    this.totalBytes += bytes;
  }

  /** Records bytes that are not stored any more. */
  remove(bytes: number): void {
    this.totalBytes -= bytes;
  }
}
