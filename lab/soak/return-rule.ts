/**
 * Rule on the return of service after all daemons were lost: of the requests that callers send later than a bound after
 * all daemons were started again, enough are answered. Times are in ms of one clock.
 */

/** Share of the requests that must be answered. */
const MIN_ANSWERED_SHARE = 0.25;

/** Length in ms of the windows in which the time of the return is measured. */
const WINDOW_MS = 1_000;

/** Outcomes of the requests that were sent in a window. */
interface Window {
  sent: number;
  answered: number;
}

/** Result of the rule. */
export interface ReturnResult {
  /** Time in ms after the start of the daemons at which the first window with enough answers begins; null for none. */
  readonly returnedAfterMs: number | null;
  /** Share of the requests sent before the loss that were answered, and of those sent later than the bound after it. */
  readonly shareBefore: number;
  readonly shareAfterBound: number;
  /** Share answered of the requests sent in each second after the start of the daemons. */
  readonly sharesAfter: readonly number[];
  readonly violations: readonly string[];
}

/** Collects the outcomes of requests whose callers waited for the answer. */
export class ReturnRule {
  private readonly windows = new Map<number, Window>();

  constructor(
    /** Time after the start of all daemons from which on requests must be answered. */
    private readonly boundMs: number,
  ) {}

  /** Records the outcome of a request by the time at which it was sent. */
  record(sentMs: number, answered: boolean): void {
    const at = Math.floor(sentMs / WINDOW_MS);
    const window = this.windows.get(at) ?? { sent: 0, answered: 0 };
    window.sent += 1;
    if (answered) window.answered += 1;
    this.windows.set(at, window);
  }

  /** Returns the result, given when the daemons were lost and when all of them had been started again. */
  result(lostMs: number, startedMs: number): ReturnResult {
    const before = this.shareOf((atMs) => atMs + WINDOW_MS <= lostMs);
    const after = this.shareOf((atMs) => atMs >= startedMs + this.boundMs);
    const returned = [...this.windows]
      .sort(([left], [right]) => left - right)
      .find(([at, { sent, answered }]) => {
        return at * WINDOW_MS >= startedMs && answered >= sent * MIN_ANSWERED_SHARE;
      });
    const returnedAfterMs = returned === undefined ? null : returned[0] * WINDOW_MS - startedMs;
    const sharesAfter = [...this.windows]
      .sort(([left], [right]) => left - right)
      .filter(([at]) => at * WINDOW_MS >= startedMs)
      .map(([, { sent, answered }]) => answered / sent);
    const isBroken = before >= MIN_ANSWERED_SHARE && after < MIN_ANSWERED_SHARE;
    const detail = `${percent(after)} of the requests sent ${this.boundMs} ms after the return of all were answered`;
    const violations = isBroken ? [detail] : [];
    return { returnedAfterMs, shareBefore: before, shareAfterBound: after, sharesAfter, violations };
  }

  /** Returns the share answered of the requests sent in `windows` that start at the selected times. */
  shareOf(isSelected: (atMs: number) => boolean): number {
    let sent = 0;
    let answered = 0;
    for (const [at, window] of this.windows) {
      if (!isSelected(at * WINDOW_MS)) continue;
      sent += window.sent;
      answered += window.answered;
    }
    return sent === 0 ? 0 : answered / sent;
  }
}

function percent(share: number): string {
  return `${Math.round(share * 100)} %`;
}
