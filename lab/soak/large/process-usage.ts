/** What other processes have used so far, as the kernel counts it (proc(5)). */
import { readFileSync } from 'node:fs';
import { processorSeconds } from './processor-time.js';

/** Sums over some processes since they started. */
export interface ProcessUsage {
  readonly processorSeconds: number;
  /** System calls that read, and those that write. */
  readonly reads: number;
  readonly writes: number;
  /** Times that a main thread gave up the processor to wait. */
  readonly wakeUps: number;
}

/** Returns the usage of the processes. */
export function processUsage(pids: readonly number[]): ProcessUsage {
  const sum = (read: (pid: number) => number): number => pids.reduce((total, pid) => total + read(pid), 0);
  return {
    processorSeconds: sum(processorSeconds),
    reads: sum((pid) => readCount(`/proc/${pid}/io`, 'syscr')),
    writes: sum((pid) => readCount(`/proc/${pid}/io`, 'syscw')),
    wakeUps: sum((pid) => readCount(`/proc/${pid}/status`, 'voluntary_ctxt_switches')),
  };
}

/** Returns the usage between two readings of the same processes. */
export function usageBetween(from: ProcessUsage, to: ProcessUsage): ProcessUsage {
  return {
    processorSeconds: to.processorSeconds - from.processorSeconds,
    reads: to.reads - from.reads,
    writes: to.writes - from.writes,
    wakeUps: to.wakeUps - from.wakeUps,
  };
}

/** Returns a count of a file of names and values; 0 if the process has ended. */
function readCount(file: string, name: string): number {
  try {
    const line = readFileSync(file, 'utf8')
      .split('\n')
      .find((text) => text.startsWith(`${name}:`));
    return Number(line?.split(':')[1] ?? 0);
  } catch {
    return 0;
  }
}
