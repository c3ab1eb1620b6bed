/** Clocks of the machine. */
import { hrtime } from 'node:process';

const NANOSECONDS_PER_MICROSECOND = 1_000n;
const MICROSECONDS_PER_MS = 1_000;

/** Present time of the host's monotonic clock (CLOCK_MONOTONIC), in ms; all processes on it read the same. */
export function monotonicMs(): number {
  return Number(hrtime.bigint() / NANOSECONDS_PER_MICROSECOND) / MICROSECONDS_PER_MS;
}
