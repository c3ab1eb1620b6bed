/** Requests that were read and whose connections this daemon closed without a whole answer to them. */
import type { IncomingMessage } from 'node:http';

/** How a request came to be without a whole answer. */
export type UnansweredCause =
  /** It came behind an answer that had announced the end of the connection. */
  | 'behind-close'
  /** The connection was closed before its answer had been passed on. */
  | 'connection-closed'
  /** The connection was closed before its body had been read. */
  | 'partly-read';

/** A request without a whole answer. */
export interface UnansweredRequest {
  /** Header names and values alternately, as received. */
  readonly headers: readonly string[];
  readonly cause: UnansweredCause;
  /** Whether it was passed on, so that a back end may have run it. */
  readonly passedOn: boolean;
  /** Time in ms since its last byte was read; null if its body was not read completely. */
  readonly ageMs: number | null;
}

/** A request whose answer is not complete. */
export class OpenRequest {
  passedOn = false;
  private readMs: number | null = null;

  constructor(
    private readonly request: IncomingMessage,
    private readonly nowMs: () => number,
    /** Whether it is discarded, because an earlier answer has announced the end of the connection. */
    private readonly isBehindClose = false,
  ) {}

  /** Records that the last byte was read. */
  recordRead(): void {
    this.readMs = this.nowMs();
  }

  /** Time in ms since the last byte was read; null if the body was not read completely. */
  get ageMs(): number | null {
    return this.readMs === null ? null : this.nowMs() - this.readMs;
  }

  /** Describes the request when its connection has been closed without an answer to it. */
  describe(): UnansweredRequest {
    const { request, passedOn, ageMs } = this;
    return { headers: request.rawHeaders, cause: this.cause, passedOn, ageMs };
  }

  private get cause(): UnansweredCause {
    if (this.readMs === null) return 'partly-read';
    return this.isBehindClose ? 'behind-close' : 'connection-closed';
  }
}
