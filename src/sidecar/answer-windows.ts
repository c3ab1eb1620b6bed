/**
 * Room that a caller's daemon states for the answers to its requests. The sum over all requests is bounded; beyond the bound
 * each further request still gets a small window, so that no request is refused for it.
 */

/** Minimum and maximum window of one answer in bytes. */
export const MIN_WINDOW_BYTES = 16 * 1024;
const MAX_WINDOW_BYTES = 1024 * 1024;

/** Window in bytes while answers of a route are not known to be larger. */
const USUAL_WINDOW_BYTES = 64 * 1024;

/** Sum of windows in bytes from which on requests get the minimum. */
const MAX_TOTAL_BYTES = 4 * 1024 * 1024;

/** Factor on the mean size of a route's answers, which leaves room for larger ones. */
const SIZE_MARGIN = 2;

/** Windows of one daemon. */
export class AnswerWindows {
  private totalBytes = 0;

  /** Sum of the windows in use, in bytes. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Opens a window for an answer of a route whose answers have a mean size. */
  open(meanAnswerBytes: number): AnswerWindow {
    const wished = Math.min(MAX_WINDOW_BYTES, Math.max(USUAL_WINDOW_BYTES, meanAnswerBytes * SIZE_MARGIN));
    const left = MAX_TOTAL_BYTES - this.totalBytes;
    const bytes = Math.round(Math.max(MIN_WINDOW_BYTES, Math.min(wished, left)));
    this.totalBytes += bytes;
    return new AnswerWindow(bytes, {
      reserve: (further) => {
        if (this.totalBytes + further > MAX_TOTAL_BYTES) return false;
        this.totalBytes += further;
        return true;
      },
      release: (reserved) => {
        this.totalBytes -= reserved;
      },
    });
  }
}

/** Room of a daemon that its windows share, in bytes. */
interface SharedRoom {
  /** Reserves further bytes; false if they are not free. */
  reserve(bytes: number): boolean;
  /** Returns what a window has reserved. */
  release(bytes: number): void;
}

/** Window of one attempt; in use until its answer has ended and the caller has taken all of it, or has left. */
export class AnswerWindow {
  private untakenBytes = 0;
  private ended = false;
  private closed = false;
  private reservedBytes: number;

  /** `bytes` is the room that is stated with the request. */
  constructor(
    readonly bytes: number,
    private readonly room: SharedRoom,
  ) {
    this.reservedBytes = bytes;
  }

  /** Reserves room to store an answer of a length until it is whole; false if there is none. */
  reserveWhole(answerBytes: number): boolean {
    if (answerBytes > MAX_WINDOW_BYTES) return false;
    const further = Math.max(0, answerBytes - this.reservedBytes);
    if (!this.room.reserve(further)) return false;
    this.reservedBytes += further;
    return true;
  }

  /** Records bytes that have arrived. */
  recordReceived(bytes: number): void {
    this.untakenBytes += bytes;
  }

  /** Records bytes that the caller's connection has taken. */
  recordTaken(bytes: number): void {
    this.untakenBytes -= bytes;
    this.closeIfUnused();
  }

  /** Records that nothing more arrives. */
  end(): void {
    this.ended = true;
    this.closeIfUnused();
  }

  /** Closes the window whatever was taken. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.room.release(this.reservedBytes);
  }

  private closeIfUnused(): void {
    if (this.ended && this.untakenBytes <= 0) this.close();
  }
}
