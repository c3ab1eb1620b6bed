/**
 * Enforces the request limit that a back end names in its answers: requests get turns at the named rate, or at this
 * daemon's share of it where several daemons send to the back end. Pure: every call passes the time in ms of the steady
 * clock.
 */
import type { StatedLimit } from './backend-signals.js';
import { LimitTracker, type LimitChange } from './limit-tracker.js';

const MS_PER_SECOND = 1_000;

/** Time in s whose share of the limit may be sent as a burst after a pause. */
const BURST_S = 0.5;

/** Maximum interval in ms between requests: only their answers tell that a limit has been lifted. */
const MAX_INTERVAL_MS = 4_000;

/** Increase after a limit is lifted: its lowest rate per second, the time in ms to double it, and its duration in ms. */
const MIN_RAMP_RATE = 1;
const RAMP_DOUBLING_MS = 500;
const RAMP_MS = 3_000;

/** Expected time in ms until the answer to a trial, and time after which another one is sent if there is none. */
const EXPECTED_ANSWER_MS = 100;
const TRIAL_INTERVAL_MS = 1_000;

/** Trials of an incarnation that may follow at once after one that ended without an answer. */
const MAX_IMMEDIATE_TRIALS = 1;

/** Minimum expected wait in ms for the answer to a trial. */
const MIN_ANSWER_WAIT_MS = 10;

/** Maximum time in ms over which the promised turns of refused requests are spread. */
const MAX_PROMISE_SPREAD_MS = 4_000;

/** Request limit of one back end. */
export class RequestLimit {
  private readonly tracker = new LimitTracker();
  private nextTurnMs: number;
  private lastSentMs: number;
  /** Newest turn that a refused request was told. */
  private promisedTurnMs = -Infinity;
  private liftedMs = -Infinity;
  private liftedPerSecond = 0;
  /** Whether the limit of the incarnation is unknown, because a previous process of this daemon may have been told one. */
  private isUnknown = false;
  private trialSentMs = -Infinity;
  /** Number of the trial in flight; null if there is none. */
  private trialNumber: number | null = null;
  private immediateTrialsLeft = 0;

  constructor(
    startedMs: number,
    /** Share of the limit that this daemon may use; the shares of all daemons that send to the back end add up to 1. */
    private readonly share = 1,
  ) {
    this.nextTurnMs = startedMs;
    this.lastSentMs = startedMs;
  }

  /** Limit in force in requests per second; null if there is none, or none is known. */
  get perSecond(): number | null {
    return this.tracker.perSecond;
  }

  /** Whether it is known if a limit is in force. */
  get isKnown(): boolean {
    return !this.isUnknown;
  }

  /** Number of unreadable statements. */
  get unreadable(): number {
    return this.tracker.unreadable;
  }

  /**
   * Starts tracking a new incarnation. If a previous process of this daemon may have served it, requests are sent one at
   * a time until an answer shows whether a limit is in force.
   */
  startIncarnation(isNewToDaemon: boolean): void {
    this.tracker.startIncarnation();
    this.isUnknown = !isNewToDaemon;
    this.trialSentMs = -Infinity;
    this.trialNumber = null;
    this.immediateTrialsLeft = MAX_IMMEDIATE_TRIALS;
    this.liftedMs = -Infinity;
  }

  /** Records that no previous process of this daemon can have served the incarnation. */
  confirmNewToDaemon(): void {
    this.isUnknown = false;
  }

  /** Records that a request has ended without an answer. A trial is repeated at once, but not without end. */
  recordUnanswered(requestNumber: number): void {
    if (!this.isUnknown || requestNumber !== this.trialNumber || this.immediateTrialsLeft === 0) return;
    this.immediateTrialsLeft -= 1;
    this.trialSentMs = -Infinity;
  }

  /** Adopts the limit that another daemon knows, unless an answer to this daemon has shown which one is in force. */
  adopt(perSecond: number): LimitChange | null {
    return this.isUnknown
      ? this.recordStatement({ kind: 'limited', requestsPerSecond: perSecond }, 0, 0)
      : null;
  }

  /** Records what the answer to a request states; returns the change of the limit in force, or null. */
  recordStatement(stated: StatedLimit, requestNumber: number, nowMs: number): LimitChange | null {
    const change = this.tracker.recordStatement(stated, requestNumber);
    if (stated.kind !== 'unreadable') this.isUnknown = false;
    if (change === null) return null;
    if (change.kind === 'lifted') this.startRamp(change.before ?? 0, nowMs);
    else this.nextTurnMs = this.lastSentMs + this.intervalMs(change.after ?? 0);
    return change;
  }

  /** Records that a request is sent; returns its number. */
  recordSent(nowMs: number): number {
    const number = this.tracker.recordSent();
    this.lastSentMs = nowMs;
    if (this.isUnknown) {
      this.trialSentMs = nowMs;
      this.trialNumber = number;
    }
    const rate = this.rateAt(nowMs);
    if (rate !== Infinity) this.nextTurnMs = this.earliestTurnMs(rate, nowMs) + this.intervalMs(rate);
    return number;
  }

  /** Returns the time in ms until a request may be sent behind `ahead` others. */
  delayMs(ahead: number, nowMs: number): number {
    if (this.isUnknown) return this.trialDelayMs(ahead, nowMs);
    const rate = this.rateAt(nowMs);
    if (rate === Infinity) return 0;
    return Math.max(0, this.earliestTurnMs(rate, nowMs) - nowMs + ahead * this.intervalMs(rate));
  }

  /** Returns the interval in ms between requests; null if they are not limited. */
  currentIntervalMs(nowMs: number): number | null {
    if (this.isUnknown) return EXPECTED_ANSWER_MS;
    const rate = this.rateAt(nowMs);
    return rate === Infinity ? null : this.intervalMs(rate);
  }

  /**
   * Returns the time in ms until the next turn that is neither needed by `queued` requests nor promised to a refused
   * one, and promises it.
   */
  promiseTurn(queued: number, nowMs: number): number {
    if (this.isUnknown) return this.promiseAfterTrial(nowMs);
    const firstFreeMs = nowMs + this.delayMs(queued, nowMs);
    const nextMs = this.promisedTurnMs + (this.currentIntervalMs(nowMs) ?? 0);
    this.promisedTurnMs = Math.min(Math.max(firstFreeMs, nextMs), firstFreeMs + MAX_PROMISE_SPREAD_MS);
    return this.promisedTurnMs - nowMs;
  }

  /**
   * Promises a time after the trial in flight has been answered or given up, when more than one request may be sent.
   * The promises repeat within one such interval, so that callers return at different times.
   */
  private promiseAfterTrial(nowMs: number): number {
    const firstMs = Math.max(nowMs + EXPECTED_ANSWER_MS, this.trialSentMs + TRIAL_INTERVAL_MS);
    const nextMs = this.promisedTurnMs + EXPECTED_ANSWER_MS;
    const isInSpread = nextMs >= firstMs && nextMs < firstMs + TRIAL_INTERVAL_MS;
    this.promisedTurnMs = isInSpread ? nextMs : firstMs;
    return this.promisedTurnMs - nowMs;
  }

  private startRamp(perSecond: number, nowMs: number): void {
    this.liftedMs = nowMs;
    this.liftedPerSecond = Math.max(MIN_RAMP_RATE, perSecond);
    this.nextTurnMs = nowMs;
  }

  /** Returns the current rate in requests per second; infinite if it is not limited. */
  private rateAt(nowMs: number): number {
    const { perSecond } = this.tracker;
    if (perSecond !== null) return perSecond;
    const sinceMs = nowMs - this.liftedMs;
    return sinceMs < RAMP_MS ? this.liftedPerSecond * 2 ** (sinceMs / RAMP_DOUBLING_MS) : Infinity;
  }

  /** Returns the time of the next turn; turns that were not used accumulate up to the burst size. */
  private earliestTurnMs(rate: number, nowMs: number): number {
    const burst = Math.max(1, rate * this.share * BURST_S);
    return Math.max(this.nextTurnMs, nowMs - (burst - 1) * this.intervalMs(rate));
  }

  private trialDelayMs(ahead: number, nowMs: number): number {
    const sinceTrialMs = nowMs - this.trialSentMs;
    if (sinceTrialMs < TRIAL_INTERVAL_MS)
      return Math.max(MIN_ANSWER_WAIT_MS, EXPECTED_ANSWER_MS - sinceTrialMs);
    return ahead === 0 ? 0 : EXPECTED_ANSWER_MS;
  }

  /** Returns the interval in ms between requests of this daemon. */
  private intervalMs(perSecond: number): number {
    return Math.min(MAX_INTERVAL_MS, MS_PER_SECOND / perSecond) / this.share;
  }
}
