/** Processor time of other processes, as the kernel counts it (proc(5)). */
import { readFileSync } from 'node:fs';

/** Clock ticks per second in `/proc/PID/stat`; Linux uses this value on all common platforms. */
const TICKS_PER_SECOND = 100;

/** Index of the user time among the fields behind the command name; the system time follows it. */
const USER_TIME_FIELD = 11;

/** Returns the processor time in s that a process has used so far; 0 if it has ended. */
export function processorSeconds(pid: number): number {
  try {
    const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
    return ticks / TICKS_PER_SECOND;
  } catch {
    return 0;
  }
}

const NS_PER_MS = 1e6;

/** Times in ms of the main thread of a process: running, and ready to run while the machine ran others. */
export interface ThreadTimes {
  readonly ranMs: number;
  readonly waitedMs: number;
}

/** Returns the times that the main thread of a process has spent so far; 0 if it has ended. */
export function threadTimes(pid: number): ThreadTimes {
  try {
    const [ranNs, waitedNs] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ');
    return { ranMs: Number(ranNs) / NS_PER_MS, waitedMs: Number(waitedNs) / NS_PER_MS };
  } catch {
    return { ranMs: 0, waitedMs: 0 };
  }
}
