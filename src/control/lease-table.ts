/**
 * Session leases on the leader. Renewals are not replicated: a new leader has no record of them, so it grants
 * every session one full lease term before it expires any.
 */

/** Leases by session. Times are ms of the leader's monotonic clock. */
export class LeaseTable {
  private readonly renewedMs = new Map<number, number>();

  constructor(private readonly termMs: number) {}

  /** Resets the table at the start of leadership: every open session is valid for one full term from now. */
  restart(sessions: Iterable<number>, nowMs: number): void {
    this.renewedMs.clear();
    for (const session of sessions) this.renewedMs.set(session, nowMs);
  }

  /** Renews the lease of a session that was opened or renewed by a message received at `receivedMs`. */
  renew(session: number, receivedMs: number): void {
    const known = this.renewedMs.get(session) ?? -Infinity;
    this.renewedMs.set(session, Math.max(known, receivedMs));
  }

  /** Removes the lease of a session that has ended. */
  forget(session: number): void {
    this.renewedMs.delete(session);
  }

  /** Returns the sessions whose lease has expired, longest overdue first. */
  expired(nowMs: number): number[] {
    return [...this.renewedMs]
      .filter(([, renewedMs]) => nowMs - renewedMs > this.termMs)
      .sort(([, left], [, right]) => left - right)
      .map(([session]) => session);
  }
}
