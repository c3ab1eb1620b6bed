/** Detects stalls of this process, caused by a long turn of its event loop, contention for the processor, or a stop signal. */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { EventLog } from './event-log.js';

/** Interval between checks, in ms. */
const CHECK_INTERVAL_MS = 100;

/** Minimum delay of a check that is logged, in ms: longer than other daemons wait for an expected heartbeat. */
const MIN_STALL_MS = 250;

/** Starts logging `process-stalled`, with the time during which nothing else in this process can have run. */
export function watchStalls(runtime: Pick<Runtime, 'nowMs' | 'every'>, log: EventLog): CancelTimer {
  let checkedMs = runtime.nowMs();
  return runtime.every(CHECK_INTERVAL_MS, () => {
    const nowMs = runtime.nowMs();
    const stalledMs = nowMs - checkedMs - CHECK_INTERVAL_MS;
    checkedMs = nowMs;
    if (stalledMs >= MIN_STALL_MS) log.event('process-stalled', { stalledMs: Math.round(stalledMs) });
  });
}
