/**
 * How long an answer that has begun goes on beyond its deadline. A deadline ends work, but breaking an answer off ends its
 * connection, and with it the requests behind it; so it goes on for as long as one of these has time left. With none behind it, it
 * ends at its deadline. A caller that has given up closes the connection itself, which cancels everything on it.
 */

/** Dependencies of the wait. */
export interface OverdueAnswerPorts {
  /** Longest time in ms that is left to a request behind the answer; null if there is none. */
  readonly longestWaitBehindMs: () => number | null;
  /** Calls back once after `ms`; returns a function that cancels it. */
  readonly after: (ms: number, callback: () => void) => () => void;
  /** Calls back once what the caller has sent by now has been read: a request, or that it has left. */
  readonly afterInput: (callback: () => void) => void;
}

/** Waits until no request behind an answer beyond its deadline has time left. */
export class OverdueAnswer {
  private cancelTimer: () => void = () => undefined;
  private cancelled = false;

  /** `onExpendable` is called once. */
  constructor(
    private readonly ports: OverdueAnswerPorts,
    private readonly onExpendable: () => void,
  ) {
    this.checkAfterInput();
  }

  /** Ends the wait. */
  cancel(): void {
    this.cancelled = true;
    this.cancelTimer();
  }

  /** Checks again, because a request behind the answer has become known or has changed. */
  recheck(): void {
    if (this.cancelled) return;
    this.cancelTimer();
    this.checkAfterInput();
  }

  private checkAfterInput(): void {
    this.ports.afterInput(() => {
      if (!this.cancelled) this.check();
    });
  }

  private check(): void {
    const waitMs = this.ports.longestWaitBehindMs();
    if (waitMs === null || waitMs <= 0) {
      this.cancelled = true;
      this.onExpendable();
      return;
    }
    this.cancelTimer();
    this.cancelTimer = this.ports.after(waitMs, () => {
      this.checkAfterInput();
    });
  }
}
