/**
 * Estimates how long an answer would wait for the network link of this sidecar. Answers that are still being produced
 * count as well, since a back end produces large answers faster than a slow link carries them.
 */
import { MIN_PACED_FRAME_BYTES, type LinkPacer } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';

/** The part of a link pacer that the estimate uses. */
export type LinkQueue = Pick<LinkPacer, 'backlogMs' | 'sendingMs'>;

/** Estimates waits for the network link. `Owner` identifies the request whose answer is expected. */
export class LinkWaitEstimator<Owner> {
  /** Estimated time on the link, in ms, of each expected answer that is not on the link yet. */
  private readonly expectedByOwner = new Map<Owner, number>();
  private expectedMs = 0;

  /** `queue` is null if the link is fast. */
  constructor(private readonly queue: LinkQueue | null) {}

  /** Time in ms until the link has carried its backlog and all expected answers. */
  get waitMs(): number {
    return this.queue === null ? 0 : this.queue.backlogMs + this.expectedMs;
  }

  /** Returns the wait in ms without the expected answer of one owner. */
  waitMsExcluding(owner: Owner): number {
    return Math.max(0, this.waitMs - this.expectedMsOf(owner));
  }

  /** Adds an expected answer of about `bytes`. */
  accept(owner: Owner, bytes: number): void {
    if (this.queue === null || bytes < MIN_PACED_FRAME_BYTES || !policyIsOn('expected-answers')) return;
    this.forget(owner);
    const sendingMs = this.queue.sendingMs(bytes);
    this.expectedByOwner.set(owner, sendingMs);
    this.expectedMs += sendingMs;
  }

  /** Removes an expected answer that is on the link now, or that will not be sent. */
  forget(owner: Owner): void {
    this.expectedMs -= this.expectedByOwner.get(owner) ?? 0;
    this.expectedByOwner.delete(owner);
    if (this.expectedByOwner.size === 0) this.expectedMs = 0;
  }

  /**
   * Returns the estimated time in ms from the end of the work on an answer until the link has carried it; 0 for answers
   * that are not paced. The queue ahead of it drains during the work, which takes `workMs`.
   */
  sendMs(owner: Owner | null, bytes: number, workMs: number): number {
    if (this.queue === null || bytes < MIN_PACED_FRAME_BYTES) return 0;
    const aheadMs = this.queue.backlogMs + this.expectedMs - this.expectedMsOf(owner);
    const drainedMs = policyIsOn('expected-answers') ? workMs : 0;
    return Math.max(0, aheadMs - drainedMs) + this.queue.sendingMs(bytes);
  }
  private expectedMsOf(owner: Owner | null): number {
    return owner === null ? 0 : (this.expectedByOwner.get(owner) ?? 0);
  }
}
