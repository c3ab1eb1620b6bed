/**
 * Disturbances that a soak causes, by machine. A machine is in touch with the others if neither it nor the directory was
 * disturbed for a time. Times are in ms of one clock.
 */

/** A span in which a machine, or the directory and with it all machines, was disturbed. */
interface Disturbance {
  /** Null for all machines. */
  readonly machine: string | null;
  readonly fromMs: number;
  toMs: number;
}

/** Records disturbances. */
export class Disturbances {
  private readonly disturbances: Disturbance[] = [];

  constructor(
    /** Time after a disturbance in ms at which a machine is in touch again. */
    private readonly contactMs: number,
  ) {}

  /** Records the begin of a disturbance; returns a function that records its end. */
  begin(machine: string | null, nowMs: number): (nowMs: number) => void {
    const disturbance = { machine, fromMs: nowMs, toMs: Infinity };
    this.disturbances.push(disturbance);
    return (endMs) => {
      disturbance.toMs = endMs;
    };
  }

  /** Returns whether a machine was in touch at a time. */
  isInTouch(machine: string, atMs: number): boolean {
    return !this.disturbances.some((disturbance) => {
      const isConcerned = disturbance.machine === null || disturbance.machine === machine;
      return isConcerned && disturbance.fromMs <= atMs && disturbance.toMs > atMs - this.contactMs;
    });
  }
}
