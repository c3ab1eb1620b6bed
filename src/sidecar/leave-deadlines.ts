/** Times after which leaving incarnations of back ends receive no requests. */

/** Closing times by incarnation name; a closing time can only move earlier. */
export class LeaveDeadlines {
  private readonly closingTimes = new Map<string, number>();

  constructor(
    /** Maximum number of stored incarnations; the oldest are discarded first. */
    private readonly maxIncarnations: number,
  ) {}

  /** Records the time after which an incarnation receives no requests, in ms of the daemon's clock. */
  record(incarnation: string, closesAtMs: number): void {
    this.closingTimes.set(incarnation, Math.min(this.closesAtMs(incarnation), closesAtMs));
    if (this.closingTimes.size <= this.maxIncarnations) return;
    const [oldest] = this.closingTimes.keys();
    if (oldest !== undefined) this.closingTimes.delete(oldest);
  }

  /** Returns the time after which an incarnation receives no requests; Infinity if it is not leaving. */
  closesAtMs(incarnation: string | null): number {
    return (incarnation === null ? undefined : this.closingTimes.get(incarnation)) ?? Infinity;
  }
}
