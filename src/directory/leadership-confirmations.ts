/**
 * Asks the replicated log whether this replica still leads (read-index, Raft 6.4). Every caller asks a question of
 * its own: the heartbeat round of an earlier question may have begun before the caller came.
 */

import type { Runtime } from '../runtime/runtime.js';

/** Callers that wait for leadership to be confirmed. */
export class LeadershipConfirmations {
  private readonly waiting = new Map<number, (confirmed: boolean) => void>();
  private nextRequestId = 1;

  constructor(
    private readonly runtime: Runtime,
    private readonly ask: (requestId: number) => void,
  ) {}

  /**
   * Resolves with true once a quorum has confirmed leadership after this call; false when it was lost, or not confirmed
   * within so many ms.
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
      this.ask(requestId);
    });
  }

  /** A quorum has confirmed one question. */
  confirmed(requestId: number): void {
    this.settle(requestId, true);
  }

  /** Leadership was lost: nothing that waits can be confirmed any more. */
  abandonAll(): void {
    for (const requestId of [...this.waiting.keys()]) this.settle(requestId, false);
  }

  private settle(requestId: number, confirmed: boolean): void {
    const resolve = this.waiting.get(requestId);
    this.waiting.delete(requestId);
    resolve?.(confirmed);
  }
}
