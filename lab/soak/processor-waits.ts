/**
 * Finds processes that a busy machine does not run in time. A daemon that waits for a processor is as silent to its peers as one
 * that is frozen, and so are the back ends and callers in the soak's own process. Times are in ms.
 */

/**
 * Share of an interval between samples that a process may wait for a processor before it counts as delayed: 200 ms of 500 ms,
 * the time within which a request may cross the close of its connection.
 */
const MAX_WAIT_SHARE = 0.4;

/** A process and the machine whose work it does; null for the soak's process, which works for all. */
export interface ObservedProcess {
  readonly machine: string | null;
  readonly pid: number;
}

/** Compares the waits of processes from sample to sample. */
export class ProcessorWaits {
  private readonly waitedMs = new Map<number, number>();
  private sampledMs: number;

  constructor(
    private readonly readWaitedMs: (pid: number) => number,
    private readonly onDelayed: (machine: string | null, fromMs: number, toMs: number) => void,
    startMs: number,
  ) {
    this.sampledMs = startMs;
  }

  /** Takes a sample; a process seen for the first time is compared from the next one on. */
  sample(processes: readonly ObservedProcess[], nowMs: number): void {
    const fromMs = this.sampledMs;
    this.sampledMs = nowMs;
    for (const { machine, pid } of processes) {
      const before = this.waitedMs.get(pid);
      const waitedMs = this.readWaitedMs(pid);
      this.waitedMs.set(pid, waitedMs);
      if (before !== undefined && waitedMs - before > (nowMs - fromMs) * MAX_WAIT_SHARE)
        this.onDelayed(machine, fromMs, nowMs);
    }
  }
}
