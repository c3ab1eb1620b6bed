/**
 * How many requests a back end may be sent while it is cold, as after its start. A cold back end that is sent much more
 * than it bears fails and starts cold once more. Pure: every call brings the time.
 */
import type { ColdStart } from '../directory/directory-state.js';
import type { ColdStartEstimate } from '../link/link-messages.js';

/** Length in ms of the window in which requests are counted. */
const WINDOW_MS = 1_000;

/** Time in ms by which the window is taken longer, for requests that travel at different speeds. */
const WINDOW_MARGIN_MS = 50;

/** Part of the accepted excess that stays unused, for a request whose sending was not counted here. */
const UNUSED_SLACK_SHARE = 0.25;

/** Requests that may go at once after a pause. One more than one, so that a pause does not cost a whole interval. */
const BURST = 2;

/** Tidings in a row that must say so until a back end that may have become cold counts as warm. */
const CONFIRMATIONS = 2;

/** Longest time in ms for which a back end is believed to stay cold on one tiding. */
export const LONGEST_COLD_MS = 60_000;

/** By how much the requests that a cold back end gets may exceed what it bears. */
export interface ColdStartBound {
  /** Factor on what it bears in a second. */
  readonly factor: number;
  /** Requests on top of that. */
  readonly slack: number;
}

/** Paces what is sent to one back end while it is cold. Times are ms of the steady clock: only what has passed counts. */
export class ColdStartLimit {
  private coldStart: ColdStart | null = null;
  private coldUntilMs = -Infinity;
  /** Tidings that are still awaited before it counts as warm. */
  private unconfirmed = 0;
  /** When requests were sent in the last window, oldest first. */
  private readonly sentMs: number[] = [];
  /** When the next request may go while it is cold. */
  private nextMs: number;

  /** What was sent before `startedMs` by an earlier life of this daemon is not known. */
  constructor(
    private readonly bound: ColdStartBound,
    startedMs: number,
  ) {
    this.nextMs = startedMs + WINDOW_MS + WINDOW_MARGIN_MS;
  }

  /** What the service says; null where it says nothing, and nothing is limited. */
  configure(coldStart: ColdStart | null): void {
    this.coldStart = coldStart;
  }

  /** Another life of the back end has begun; it is cold, unless it tells something else. */
  startLife(toldMs: number | null, nowMs: number): void {
    this.unconfirmed = 0;
    this.coldUntilMs = -Infinity;
    this.takeTold(toldMs ?? this.coldStart?.durationMs ?? 0, nowMs);
  }

  /** The back end tells how long it stays cold, in ms; null when it did not tell. */
  takeTold(toldMs: number | null, nowMs: number): void {
    if (toldMs === null) return;
    this.unconfirmed = toldMs > 0 ? 0 : Math.max(0, this.unconfirmed - 1);
    this.coldUntilMs = nowMs + Math.min(LONGEST_COLD_MS, toldMs);
  }

  /** The back end may have become cold unseen: it counts as cold until it has told otherwise. */
  assumeCold(): void {
    this.unconfirmed = CONFIRMATIONS;
  }

  /** Whether the back end must be taken for cold. */
  isCold(nowMs: number): boolean {
    return this.coldStart !== null && (this.unconfirmed > 0 || nowMs < this.coldUntilMs);
  }

  /** Time in ms until a request may be sent behind `ahead` others; 0 where nothing is limited. */
  delayMs(ahead: number, nowMs: number): number {
    if (!this.isCold(nowMs)) return 0;
    return Math.max(0, this.nextFreeMs(nowMs) - nowMs + ahead * this.intervalMs);
  }

  /** A request is sent now. */
  noteSent(nowMs: number): void {
    if (this.coldStart === null) return;
    this.forget(nowMs);
    this.sentMs.push(nowMs);
    if (!this.isCold(nowMs)) return;
    const earliestMs = nowMs - (BURST - 1) * this.intervalMs;
    this.nextMs = Math.max(this.nextMs, earliestMs) + this.intervalMs;
  }

  /** How soon further requests are taken; null while nothing is limited. */
  outlook(nowMs: number): ColdStartEstimate | null {
    if (!this.isCold(nowMs)) return null;
    const leftMs = Math.max(0, this.coldUntilMs - nowMs);
    const assumedMs = this.unconfirmed > 0 ? (this.coldStart?.durationMs ?? 0) : 0;
    return {
      delayMs: Math.round(this.delayMs(0, nowMs)),
      intervalMs: Math.round(this.intervalMs),
      leftMs: Math.round(Math.max(leftMs, assumedMs)),
    };
  }

  private get intervalMs(): number {
    const perSecond = this.coldStart?.requestsPerSecond ?? Infinity;
    return WINDOW_MS / perSecond;
  }

  /** Requests that may be sent in any window. */
  private get most(): number {
    const perSecond = this.coldStart?.requestsPerSecond ?? Infinity;
    const { factor, slack } = this.bound;
    return Math.max(1, Math.floor(perSecond * factor + slack * (1 - UNUSED_SLACK_SHARE)));
  }

  /** Those that were sent while it was warm count as well: they may have arrived when it was cold. */
  private nextFreeMs(nowMs: number): number {
    this.forget(nowMs);
    const leaving = this.sentMs[this.sentMs.length - this.most];
    const windowMs = leaving === undefined ? -Infinity : leaving + WINDOW_MS + WINDOW_MARGIN_MS;
    return Math.max(this.nextMs, windowMs);
  }

  private forget(nowMs: number): void {
    const sinceMs = nowMs - WINDOW_MS - WINDOW_MARGIN_MS;
    while ((this.sentMs[0] ?? Infinity) <= sinceMs) this.sentMs.shift();
  }
}
