/**
 * Clocks of the machine. One rule applies to all expiry times: permissions of this process expire by `clockMs`, which
 * counts all time that may have passed; permissions of other processes expire by `steadyMs`, which counts only time that
 * has certainly passed.
 */
import { hrtime } from 'node:process';
import { ProcessIntervals } from './process-intervals.js';
import { ProcessTimers } from './process-timers.js';
import { SuspensionClock } from './suspension-clock.js';

const NANOSECONDS_PER_MICROSECOND = 1_000n;
const MICROSECONDS_PER_MS = 1_000;

/** The host's steady clock (CLOCK_MONOTONIC), in ms; shared by all processes on the host, stops during suspension. */
export function steadyMs(): number {
  return Number(hrtime.bigint() / NANOSECONDS_PER_MICROSECOND) / MICROSECONDS_PER_MS;
}

const clock = new SuspensionClock(steadyMs, Date.now, () => {
  processTimers.clockSkipped();
});

/** This process's clock, in ms: the steady clock plus the time for which the machine may have been suspended. */
export function clockMs(): number {
  return clock.nowMs();
}

/** Timers of this process, which follow its clock. */
export const processTimers = new ProcessTimers(clockMs);

/** Intervals of this process, which share wake-ups. */
export const processIntervals = new ProcessIntervals({
  nowMs: clockMs,
  after: (ms, callback) => processTimers.after(ms, callback),
});
