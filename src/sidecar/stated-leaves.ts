/**
 * Leaves that back ends have stated in answers which this daemon has passed on. They bind this daemon by themselves,
 * whether or not the daemon beside the back end or the directory knows of them.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import { LeaveDeadlines } from './leave-deadlines.js';
import { DRAIN_MARGIN_MS } from './local-backend.js';

/** Maximum number of stored leaves. */
const MAX_LEAVES = 1_024;

/** Dependencies of the stated leaves. */
export interface StatedLeavesPorts {
  readonly runtime: Pick<Runtime, 'nowMs'>;
  readonly log: EventLog;
  /** Time in ms after such an answer within which requests to the back end must have stopped. */
  readonly drainMs: number;
}

/** Stated leaves by incarnation. */
export class StatedLeaves {
  private readonly deadlines = new LeaveDeadlines(MAX_LEAVES);

  constructor(private readonly ports: StatedLeavesPorts) {}

  /** Records that an answer which states the leave of a back end is passed on. */
  record(instance: string, requestId: string): void {
    if (this.isLeaving(instance)) return;
    const closesInMs = Math.max(0, this.ports.drainMs - DRAIN_MARGIN_MS);
    this.deadlines.record(instance, this.ports.runtime.nowMs() + closesInMs);
    this.ports.log.event('leave-stated', { instance, closesInMs, requestId });
  }

  /** Whether a back end has stated its leave. */
  isLeaving(instance: string): boolean {
    return this.deadlines.closesAtMs(instance) !== Infinity;
  }

  /** Whether a back end must receive no more requests. */
  isClosed(instance: string): boolean {
    const closesAtMs = this.deadlines.closesAtMs(instance);
    return closesAtMs < Infinity && this.ports.runtime.nowMs() >= closesAtMs;
  }
}
