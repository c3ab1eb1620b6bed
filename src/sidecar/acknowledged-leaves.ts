/** Leaves of back ends that were acknowledged here: when each life is sent nothing more. */

/** Leaves that are remembered; a daemon sees one back end at a time. */
const REMEMBERED_LEAVES = 64;

/** Closing times by the name of the life; they only come sooner. */
export class AcknowledgedLeaves {
  private readonly closing = new Map<string, number>();

  /** A life is to be sent nothing from a time on, in ms of the daemon's clock. */
  note(life: string, closesAtMs: number): void {
    this.closing.set(life, Math.min(this.closesAtMs(life), closesAtMs));
    if (this.closing.size <= REMEMBERED_LEAVES) return;
    const [oldest] = this.closing.keys();
    if (oldest !== undefined) this.closing.delete(oldest);
  }

  /** When requests to a life stop; infinite for one that stays. */
  closesAtMs(life: string | null): number {
    return (life === null ? undefined : this.closing.get(life)) ?? Infinity;
  }
}
