/** Load and reachability of a back end, as estimated by a calling sidecar. */
import { decayedPace } from './backend-pace.js';
import type { StatusHead } from '../link/link-messages.js';
import { MIN_PACED_FRAME_BYTES } from '../link/link-pacer.js';

/** Service time in ms that is assumed before a status reports one. */
const DEFAULT_SERVICE_MS = 50;

/** Backoff in ms after failures, by the number of consecutive failures. */
const BACKOFF_MS = [0, 100, 300, 600, 1_000];

/** Start delay in ms up to which a back end with a limited rate counts as free. */
const MAX_FREE_START_DELAY_MS = 20;

/** Age in ms at which a status expires. */
const MAX_STATUS_AGE_MS = 2_000;

/**
 * Bounds in ms of the age up to which the slots in a status count as fresh. Between the bounds the limit is one service
 * time, since most of the requests that ran when the status was sent are still running.
 */
const MIN_FRESH_LIMIT_MS = 50;
const MAX_FRESH_LIMIT_MS = 500;

/** Estimated state of one back end. */
export class BackendView {
  private lastStatus: StatusHead | null = null;
  private statusReceivedMs = -Infinity;
  /** Requests sent by this sidecar since the newest status. */
  private sentSinceStatus = 0;
  /** Expected bytes of the answers to these requests that will wait for the network link. */
  private bytesSinceStatus = 0;
  private consecutiveFailures = 0;
  private backoffUntilMs = -Infinity;
  private lastKnownLimit: number | null = null;
  private replacedReportMs = -Infinity;
  /** Requests sent by this sidecar that are still in flight. */
  outstanding = 0;

  /** Newest status; null before the first. */
  get status(): StatusHead | null {
    return this.lastStatus;
  }

  /** Request limit of the back end per second, as its sidecar last knew it; null if there was none. */
  get knownLimitPerSecond(): number | null {
    return this.lastKnownLimit;
  }

  /** Returns the age in ms of the newest status; infinite before the first. */
  statusAgeMs(nowMs: number): number {
    return nowMs - this.statusReceivedMs;
  }

  /** Whether the newest status is fresh enough to select by without a probe. */
  hasFreshStatus(nowMs: number): boolean {
    if (this.lastStatus === null) return false;
    const limitMs = Math.min(MAX_FRESH_LIMIT_MS, Math.max(MIN_FRESH_LIMIT_MS, this.lastStatus.serviceMs));
    return this.statusAgeMs(nowMs) <= limitMs;
  }

  /**
   * Whether the back end accepts new requests. An expired status is ignored, since the sidecar may have been replaced.
   */
  accepting(nowMs: number): boolean {
    return this.lastStatus?.accepting !== false || this.statusAgeMs(nowMs) > MAX_STATUS_AGE_MS;
  }

  /** Records that the sidecar has reported another incarnation in place of this one. */
  recordReplaced(nowMs: number): void {
    this.replacedReportMs = nowMs;
  }

  /**
   * Whether another incarnation was recently reported in place of this one, so that requests to it would be refused
   * until the directory names the other one. The report expires like a status, in case the sidecar was wrong.
   */
  isReplaced(nowMs: number): boolean {
    return nowMs - this.replacedReportMs <= MAX_STATUS_AGE_MS;
  }

  /** Whether a request sent now would find a free slot. */
  hasCapacity(slots: number, nowMs: number): boolean {
    return this.startDelayMs(nowMs) <= MAX_FREE_START_DELAY_MS && this.busy(nowMs) < slots;
  }

  /** Records a status reported by the back end's sidecar. */
  recordStatus(status: StatusHead, nowMs: number): void {
    this.lastStatus = status;
    // A sidecar that does not know the limit has restarted and is told this one.
    if (status.limitPerSecond !== null) this.lastKnownLimit = status.limitPerSecond ?? null;
    this.statusReceivedMs = nowMs;
    this.replacedReportMs = -Infinity;
    this.resetSent();
  }

  /** Records that a request was sent to the back end, whose answer is expected to have this size. */
  recordSent(answerBytes = 0): void {
    this.outstanding += 1;
    this.sentSinceStatus += 1;
    if (answerBytes >= MIN_PACED_FRAME_BYTES) this.bytesSinceStatus += answerBytes;
  }

  /** Records that the link to the sidecar was lost, and with it what was sent since the newest status. */
  recordLinkLost(): void {
    this.resetSent();
  }

  private resetSent(): void {
    this.sentSinceStatus = 0;
    this.bytesSinceStatus = 0;
  }

  /** Records that a request sent to the back end has ended. */
  recordEnded(): void {
    this.outstanding = Math.max(0, this.outstanding - 1);
  }

  /** Records an answer, which ends any backoff. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.backoffUntilMs = -Infinity;
  }

  /** Records that the back end could not be reached or interrupted an answer, and starts the backoff. */
  recordFailure(nowMs: number): void {
    this.consecutiveFailures = Math.min(this.consecutiveFailures + 1, BACKOFF_MS.length - 1);
    this.backoffUntilMs = nowMs + (BACKOFF_MS[this.consecutiveFailures] ?? 0);
  }

  /** Whether the backoff after a failure is in effect. */
  isBackingOff(nowMs: number): boolean {
    return nowMs < this.backoffUntilMs;
  }

  /** Returns the estimated number of requests running and waiting at the back end. */
  busy(nowMs: number): number {
    const fresh = this.lastStatus !== null && nowMs - this.statusReceivedMs < MAX_STATUS_AGE_MS;
    const reported =
      fresh && this.lastStatus !== null ? this.lastStatus.running + this.lastStatus.waiting : 0;
    return Math.max(this.outstanding, reported + this.sentSinceStatus);
  }

  /**
   * Returns the expected time in ms until the sidecar's network link, of this bandwidth, has sent the answers that its
   * status counted and those requested from here since. The link drains as the status ages.
   */
  sendWaitMs(nowMs: number, linkBytesPerMs: number): number {
    const ageMs = this.statusAgeMs(nowMs);
    const reportedMs = ageMs < MAX_STATUS_AGE_MS ? (this.lastStatus?.sendWaitMs ?? 0) : 0;
    return Math.max(0, reportedMs - ageMs) + this.bytesSinceStatus / linkBytesPerMs;
  }

  /** Returns the time in ms until a back end with a limited rate would start another request; 0 if it has none. */
  startDelayMs(nowMs: number): number {
    const pacing = this.lastStatus?.pacing ?? null;
    const ageMs = this.statusAgeMs(nowMs);
    if (pacing === null || ageMs > pacing.leftMs) return 0;
    return Math.max(0, pacing.delayMs + this.sentSinceStatus * pacing.intervalMs - ageMs);
  }

  /** Returns the estimated current work time as a factor on the usual one, based on the newest status. */
  private paceAt(nowMs: number): number {
    if (this.lastStatus === null) return 1;
    const { pace: now, meanPace: mean } = this.lastStatus;
    return decayedPace({ now, mean }, this.statusAgeMs(nowMs));
  }

  /**
   * Returns the estimated time in ms that a request would take, including the time in the queue. `workMs` is the
   * estimated time of its own work at the usual pace; null if unknown.
   */
  expectedMs(slots: number, nowMs: number, workMs: number | null): number {
    const pace = this.paceAt(nowMs);
    const status = this.lastStatus;
    const serviceMs = status === null ? DEFAULT_SERVICE_MS : (status.serviceMs / status.pace) * pace;
    const ownWorkMs = workMs === null ? serviceMs : workMs * pace;
    const queuedAhead = Math.max(0, this.busy(nowMs) + 1 - slots);
    // A back end is slower close to its limit, and its status is slightly outdated.
    const loadFactor = 1 + 0.5 * Math.min(1, this.busy(nowMs) / slots) ** 2;
    return ownWorkMs * loadFactor + (serviceMs * queuedAhead) / slots + this.startDelayMs(nowMs);
  }
}
