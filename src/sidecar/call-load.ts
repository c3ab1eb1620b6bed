/** Observed load of the calls that one back end serves. Pure: every call passes the time. */

/**
 * Time in ms within which the observed load of calls follows a change, up or down. Long enough to even out single calls
 * at a back end that receives about ten a second, short enough to follow the waves of demand, which last seconds.
 */
const LOAD_WINDOW_MS = 1_000;

/** Slots that the calls to one back end need, observed from their arrivals: rate times slot time. */
export class CallLoad {
  /** Slot time in ms of the calls that have arrived, each fading with its age. */
  private recentSlotMs = 0;
  private updatedMs = 0;

  /** Records the arrival of a call that is expected to hold its slot for `workMs`. */
  record(workMs: number, nowMs: number): void {
    this.recentSlotMs = this.fadedSlotMs(nowMs) + workMs;
    this.updatedMs = nowMs;
  }

  /** Returns the number of slots that calls use on average; 0 when there are none. */
  slotsAt(nowMs: number): number {
    return this.fadedSlotMs(nowMs) / LOAD_WINDOW_MS;
  }

  private fadedSlotMs(nowMs: number): number {
    return this.recentSlotMs * Math.exp((this.updatedMs - nowMs) / LOAD_WINDOW_MS);
  }
}
