/** Tells when a process was kept from running: by its own work in one turn, by others on its processor, or by a stop. */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { EventLog } from './event-log.js';

/** Pause between looks, in ms. */
const LOOK_MS = 100;

/** Lateness of a look in ms that is told: longer than other daemons wait for a sign of life while they await one. */
const LEAST_STALL_MS = 250;

/** Writes `process-stalled` with the time for which nothing else of this process can have run. */
export function watchStalls(runtime: Pick<Runtime, 'nowMs' | 'every'>, log: EventLog): CancelTimer {
  let lookedMs = runtime.nowMs();
  return runtime.every(LOOK_MS, () => {
    const nowMs = runtime.nowMs();
    const stalledMs = nowMs - lookedMs - LOOK_MS;
    lookedMs = nowMs;
    if (stalledMs >= LEAST_STALL_MS) log.event('process-stalled', { stalledMs: Math.round(stalledMs) });
  });
}
