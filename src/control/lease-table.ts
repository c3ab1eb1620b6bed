/**
 * The leader's side of session leases. Renewals are not replicated: a new leader knows none, so it gives
 * every session one whole term before it ends any.
 */

/** Leases by session. Times are ms of the leader's monotonic clock. */
export class LeaseTable {
  private readonly renewedMs = new Map<number, number>();

  constructor(private readonly termMs: number) {}

  /** Starts leadership: every open session is good for one whole term from now. */
  restart(sessions: Iterable<number>, nowMs: number): void {
    this.renewedMs.clear();
    for (const session of sessions) this.renewedMs.set(session, nowMs);
  }

  /** A session was opened or renewed by a message received at `receivedMs`. */
  renew(session: number, receivedMs: number): void {
    const known = this.renewedMs.get(session) ?? -Infinity;
    this.renewedMs.set(session, Math.max(known, receivedMs));
  }

  /** A session has ended. */
  forget(session: number): void {
    this.renewedMs.delete(session);
  }

  /** Sessions whose term has passed, those that are longest overdue first. */
  expired(nowMs: number): number[] {
    return [...this.renewedMs]
      .filter(([, renewedMs]) => nowMs - renewedMs > this.termMs)
      .sort(([, left], [, right]) => left - right)
      .map(([session]) => session);
  }
}
