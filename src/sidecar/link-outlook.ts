/**
 * How long an answer would wait for the network link of this daemon. Answers that are still being worked on will stand
 * before it as well: a back end makes large answers faster than a slow link carries them.
 */
import { MIN_PACED_FRAME_BYTES, type LinkPacer } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';

/** The part of a pacer that is needed here. */
export type LinkQueue = Pick<LinkPacer, 'backlogMs' | 'sendingMs'>;

/** What is to be expected of the network link. `Owner` names who will send an answer. */
export class LinkOutlook<Owner> {
  /** Time on the link in ms of answers that were accepted and are not on the link yet. */
  private readonly expected = new Map<Owner, number>();
  private expectedMs = 0;

  /** `queue` is null where the link is fast. */
  constructor(private readonly queue: LinkQueue | null) {}

  /** Time in ms until the link is free of what waits for it now and of what was accepted. */
  get waitMs(): number {
    return this.queue === null ? 0 : this.queue.backlogMs + this.expectedMs;
  }

  /** The same without what one owner will send itself. */
  waitMsBeside(owner: Owner): number {
    return Math.max(0, this.waitMs - this.expectedOf(owner));
  }

  /** An answer of about this size will come. */
  accept(owner: Owner, bytes: number): void {
    if (this.queue === null || bytes < MIN_PACED_FRAME_BYTES || !policyIsOn('expected-answers')) return;
    this.forget(owner);
    const sendingMs = this.queue.sendingMs(bytes);
    this.expected.set(owner, sendingMs);
    this.expectedMs += sendingMs;
  }

  /** The answer is on the link, or will not come. */
  forget(owner: Owner): void {
    this.expectedMs -= this.expected.get(owner) ?? 0;
    this.expected.delete(owner);
    if (this.expected.size === 0) this.expectedMs = 0;
  }

  /**
   * Time in ms that an answer will need to pass the link once it is made; 0 where it does not wait. What stands before
   * it passes while it is made, which takes `workMs`.
   */
  sendMs(owner: Owner | null, bytes: number, workMs: number): number {
    if (this.queue === null || bytes < MIN_PACED_FRAME_BYTES) return 0;
    const aheadMs = this.queue.backlogMs + this.expectedMs - this.expectedOf(owner);
    const passedMs = policyIsOn('expected-answers') ? workMs : 0;
    return Math.max(0, aheadMs - passedMs) + this.queue.sendingMs(bytes);
  }
  private expectedOf(owner: Owner | null): number {
    return owner === null ? 0 : (this.expected.get(owner) ?? 0);
  }
}
