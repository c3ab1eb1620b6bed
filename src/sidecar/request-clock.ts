/** How long one request may still take, and how long it may look for a back end. */
import { policyIsOn } from '../policy-switches.js';
import type { CallerRequest } from './caller-request.js';

/** Part of the target latency for which a request may look for a place, whatever it costs its caller. */
const LEAST_PATIENCE_SHARE = 0.25;

/** Part of the target latency that a caller that came back leaves for the work when it looks for a place. */
const LAST_TRY_WORK_SHARE = 0.5;

/** The time of one request. */
export class RequestClock {
  constructor(
    private readonly request: CallerRequest,
    private readonly nowMs: () => number,
  ) {}

  /** Time in ms until the request ends, answered or not. */
  get leftMs(): number {
    const { deadlineMs, route } = this.request;
    return Math.min(deadlineMs, route.definition.timeoutMs) - this.elapsedMs;
  }

  /** Time in ms until an answer loses its full value. */
  get targetLeftMs(): number {
    return this.request.route.definition.targetLatencyMs - this.elapsedMs;
  }

  /** Time in ms for which the request may still wait for a place at a back end. */
  get patienceMs(): number {
    const spentShare = 1 - LEAST_PATIENCE_SHARE;
    const { targetLatencyMs } = this.request.route.definition;
    return Math.min(this.targetLeftMs - targetLatencyMs * spentShare, this.leftMs);
  }

  /** A caller that came back has no more to gain from a refusal, so it looks on for as long as work could follow. */
  get lookingTimeMs(): number {
    const { spentMs, route } = this.request;
    const { patienceMs } = this;
    if (spentMs === 0 || !policyIsOn('key-patience')) return patienceMs;
    return Math.max(patienceMs, this.leftMs - route.definition.targetLatencyMs * LAST_TRY_WORK_SHARE);
  }

  private get elapsedMs(): number {
    return this.nowMs() - this.request.arrivedMs;
  }
}
