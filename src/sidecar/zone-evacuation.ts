/** Whether the zone of a daemon's back end is evacuated, and when requests to it stop because of that. */

/** Part of the time that an evacuation may take in which keys may still be used where they are, to be handed over. */
const HANDOVER_SHARE = 0.4;

/** The evacuation of one zone. */
export class ZoneEvacuation {
  private sinceMs: number | null = null;

  constructor(
    /** Time in ms after its acknowledgement in which back ends of the zone may still be sent requests. */
    private readonly boundMs: number,
  ) {}

  /** Whether the zone is evacuated. */
  get standing(): boolean {
    return this.sinceMs !== null;
  }

  /** It is known since `sinceMs` that the zone is evacuated; of old, where that is not known. */
  begin(sinceMs: number): void {
    this.sinceMs = sinceMs;
  }

  /** The zone is not evacuated any more. */
  end(): void {
    this.sinceMs = null;
  }

  /** When requests stop, in ms; infinite while the zone is not evacuated. Keys need time to be handed over. */
  closesAtMs(keyed: boolean): number {
    const handoverMs = keyed ? this.boundMs * HANDOVER_SHARE : 0;
    return (this.sinceMs ?? Infinity) + handoverMs;
  }
}
