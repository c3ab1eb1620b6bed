/**
 * Confirms with a quorum that this replica is still the leader (read index, section 6.4 of the Raft dissertation). Each
 * call makes its own request, because the heartbeat round of an earlier request may have begun before the call.
 */

import type { Runtime } from '../runtime/runtime.js';

/** Pending confirmations of leadership. */
export class LeadershipConfirmations {
  private readonly waiting = new Map<number, (confirmed: boolean) => void>();
  private nextRequestId = 1;

  constructor(
    private readonly runtime: Runtime,
    private readonly requestConfirmation: (requestId: number) => void,
  ) {}

  /**
   * Resolves with true once a quorum has confirmed leadership after this call; with false when leadership was lost or
   * not confirmed within `timeoutMs`.
   */
  async confirm(timeoutMs: number): Promise<boolean> {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return await new Promise((resolve) => {
      const cancel = this.runtime.after(timeoutMs, () => {
        this.settle(requestId, false);
      });
      this.waiting.set(requestId, (confirmed) => {
        cancel();
        resolve(confirmed);
      });
      this.requestConfirmation(requestId);
    });
  }

  /** Resolves a request that a quorum has confirmed. */
  confirmed(requestId: number): void {
    this.settle(requestId, true);
  }

  /** Resolves all pending requests with false after leadership was lost. */
  abandonAll(): void {
    for (const requestId of [...this.waiting.keys()]) this.settle(requestId, false);
  }

  private settle(requestId: number, confirmed: boolean): void {
    const resolve = this.waiting.get(requestId);
    this.waiting.delete(requestId);
    resolve?.(confirmed);
  }
}
