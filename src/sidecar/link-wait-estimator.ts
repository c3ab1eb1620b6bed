/**
 * Estimates how long an answer would wait for the network link of this sidecar. Includes answers
 * that are still being produced, since a back end produces large answers faster than a slow link transmits them.
 */
import { MIN_PACED_FRAME_BYTES, type LinkPacer } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';
import { queueEndMs, type ExpectedAnswer } from './link-admission.js';

/** The part of a link pacer that the estimate uses. */
export type LinkQueue = Pick<LinkPacer, 'backlogMs' | 'sendingMs'>;

/** An answer that is not on the link yet. */
interface AwaitedAnswer {
  readonly bytes: number;
  /** Time in ms of the daemon's clock at which it should be ready. */
  readonly readyAtMs: number;
}

/** Estimates waits for the network link. `Owner` identifies the request whose answer is expected. */
export class LinkWaitEstimator<Owner> {
  private readonly awaited = new Map<Owner, AwaitedAnswer>();
  private awaitedBytes = 0;

  /** `queue` is null if the link is fast. */
  constructor(
    private readonly queue: LinkQueue | null,
    private readonly nowMs: () => number,
  ) {}

  /** Time in ms that the link needs to send its backlog and all expected answers. */
  get waitMs(): number {
    return this.queue === null ? 0 : this.queue.backlogMs + this.queue.sendingMs(this.awaitedBytes);
  }

  /** Adds an expected answer of about `bytes` that should be ready in `readyInMs`; replaces that of the same owner. */
  accept(owner: Owner, bytes: number, readyInMs: number): void {
    if (!this.isPaced(bytes) || !policyIsOn('expected-answers')) return;
    this.forget(owner);
    this.awaited.set(owner, { bytes, readyAtMs: this.nowMs() + readyInMs });
    this.awaitedBytes += bytes;
  }

  /** Takes bytes that were passed to the link from the expected answer of which they are a part. */
  recordPassedOn(owner: Owner, bytes: number): void {
    const awaited = this.awaited.get(owner);
    if (awaited === undefined) return;
    const passedBytes = Math.min(bytes, awaited.bytes);
    this.awaited.set(owner, { ...awaited, bytes: awaited.bytes - passedBytes });
    this.awaitedBytes -= passedBytes;
  }

  /** Removes an expected answer that is on the link now, or that will not be sent. */
  forget(owner: Owner): void {
    this.awaitedBytes -= this.awaited.get(owner)?.bytes ?? 0;
    this.awaited.delete(owner);
    if (this.awaited.size === 0) this.awaitedBytes = 0;
  }

  /** Whether answers of this size wait for the link at all. */
  isPaced(bytes: number): boolean {
    return this.queue !== null && bytes >= MIN_PACED_FRAME_BYTES;
  }

  /** Returns the time in ms that the link takes to send this many bytes; 0 if they are not paced. */
  sendingMs(bytes: number): number {
    return this.queue === null || !this.isPaced(bytes) ? 0 : this.queue.sendingMs(bytes);
  }

  /** Returns the time in ms until the link has sent what is ahead of an answer that will be ready in `readyInMs`. */
  queueMs(owner: Owner | null, readyInMs: number): number {
    return this.queue === null ? 0 : queueEndMs(this.queue.backlogMs, this.expectedExcept(owner), readyInMs);
  }

  private expectedExcept(owner: Owner | null): readonly ExpectedAnswer[] {
    const nowMs = this.nowMs();
    return [...this.awaited]
      .filter(([other]) => other !== owner)
      .map(([, { bytes, readyAtMs }]) => ({
        readyInMs: Math.max(0, readyAtMs - nowMs),
        sendingMs: this.sendingMs(bytes),
      }));
  }
}
