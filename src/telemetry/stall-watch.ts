/** Logs stalls of this process, caused by a long turn of its event loop, contention for the processor, or a stop signal. */
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from './event-log.js';
import { ProcessDelay } from './process-delay.js';

/** Minimum delay that is logged, in ms: longer than other daemons wait for an expected heartbeat. */
const MIN_STALL_MS = 250;

/** Starts logging `process-stalled`, with the time during which nothing else in this process can have run. */
export function watchStalls(runtime: Pick<Runtime, 'nowMs' | 'every'>, log: EventLog): ProcessDelay {
  return new ProcessDelay(runtime, (delayMs) => {
    if (delayMs >= MIN_STALL_MS) log.event('process-stalled', { stalledMs: Math.round(delayMs) });
  });
}
