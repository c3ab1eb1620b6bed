/**
 * Leaves of back ends that this daemon has acknowledged, with the time after which each incarnation receives no
 * requests.
 */

/** Maximum number of stored leaves; a daemon sees one back end at a time. */
const MAX_LEAVES = 64;

/** Closing times by incarnation name; a closing time can only move earlier. */
export class AcknowledgedLeaves {
  private readonly closingTimes = new Map<string, number>();

  /** Records the time after which an incarnation receives no requests, in ms of the daemon's clock. */
  record(incarnation: string, closesAtMs: number): void {
    this.closingTimes.set(incarnation, Math.min(this.closesAtMs(incarnation), closesAtMs));
    if (this.closingTimes.size <= MAX_LEAVES) return;
    const [oldest] = this.closingTimes.keys();
    if (oldest !== undefined) this.closingTimes.delete(oldest);
  }

  /** Returns the time after which an incarnation receives no requests; Infinity if it is not leaving. */
  closesAtMs(incarnation: string | null): number {
    return (incarnation === null ? undefined : this.closingTimes.get(incarnation)) ?? Infinity;
  }
}
