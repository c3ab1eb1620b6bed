/**
 * Evacuation of the zone of a daemon's back end, and the time at which requests to the back end stop because of it.
 */

/**
 * Fraction of an evacuation's maximum duration during which keys may still be used at their present owner, for a
 * handover.
 */
const HANDOVER_FRACTION = 0.4;

/** Evacuation state of one zone. */
export class ZoneEvacuation {
  private sinceMs: number | null = null;

  constructor(
    /**
     * Time in ms after the acknowledgement of an evacuation during which back ends of the zone may still receive
     * requests.
     */
    private readonly maxDurationMs: number,
  ) {}

  /** Whether the zone is evacuated. */
  get isActive(): boolean {
    return this.sinceMs !== null;
  }

  /** Records that the zone is evacuated since `sinceMs`; -Infinity if the time is unknown. */
  begin(sinceMs: number): void {
    this.sinceMs = sinceMs;
  }

  /** Records that the evacuation has ended. */
  end(): void {
    this.sinceMs = null;
  }

  /**
   * Returns the time in ms at which requests stop; Infinity if the zone is not evacuated. A keyed service gets
   * extra time to hand keys over.
   */
  closesAtMs(keyed: boolean): number {
    const handoverMs = keyed ? this.maxDurationMs * HANDOVER_FRACTION : 0;
    return (this.sinceMs ?? Infinity) + handoverMs;
  }
}
