/**
 * Tells whether a request may wait for a place although it will be late. Those that can be in time always go before
 * it, so under lasting overload it would only be held until its deadline. As many wait as recent places for late ones
 * would serve, and a few more, unless such waits have lately ended in vain.
 */

/** Weight of the newest outcome. */
const NEWEST_WEIGHT = 0.2;

/** Share of late waits that must have ended with a place for another one to begin. */
const LEAST_SHARE = 0.75;

/** Time in ms after which a bad experience counts no more. */
const FORGET_MS = 6_000;

/** Time in ms over which places for late requests are counted. */
const RATE_WINDOW_MS = 1_000;

/** Part of the places at a back end that late requests may wait for when nothing was seen yet. */
const TRIAL_SHARE_OF_SLOTS = 0.34;

/** How a late wait ends: with a place, without one, or because the caller left. */
export type LateWaitOutcome = 'place' | 'in-vain' | 'withdrawn';

/** What became of late waits at one back end. */
export class LateOutlook {
  /** Ended waits, by how they ended. */
  readonly counters: Record<LateWaitOutcome, number> = { place: 0, 'in-vain': 0, withdrawn: 0 };
  private share = 1;
  private notedMs = -Infinity;
  private waitingCount = 0;
  /** When late requests got places lately, in ms. */
  private placesMs: number[] = [];

  /** Late requests that wait now. */
  get waiting(): number {
    return this.waitingCount;
  }

  /** Whether another one may begin to wait for up to `waitMs`, at a back end with `slots` places. */
  mayWait(waitMs: number, slots: number, nowMs: number): boolean {
    if (this.shareAt(nowMs) < LEAST_SHARE) return false;
    this.forgetPlaces(nowMs);
    const expected = (this.placesMs.length * waitMs) / RATE_WINDOW_MS;
    return this.waitingCount < expected + slots * TRIAL_SHARE_OF_SLOTS;
  }

  /** One begins to wait. */
  begin(): void {
    this.waitingCount += 1;
  }

  /** One no longer waits: it got a place, waited in vain, or its caller left. */
  end(outcome: LateWaitOutcome, nowMs: number): void {
    this.waitingCount -= 1;
    this.counters[outcome] += 1;
    if (outcome === 'withdrawn') return;
    if (outcome === 'place') this.placesMs.push(nowMs);
    const share = this.shareAt(nowMs);
    this.share = share + ((outcome === 'place' ? 1 : 0) - share) * NEWEST_WEIGHT;
    this.notedMs = nowMs;
  }

  private forgetPlaces(nowMs: number): void {
    const first = this.placesMs.findIndex((atMs) => nowMs - atMs < RATE_WINDOW_MS);
    this.placesMs = first < 0 ? [] : this.placesMs.slice(first);
  }

  private shareAt(nowMs: number): number {
    const forgotten = Math.min(1, (nowMs - this.notedMs) / FORGET_MS);
    return this.share + (1 - this.share) * forgotten;
  }
}
