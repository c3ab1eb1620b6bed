/** Remaining time of a request, and the time for which it may search for a back end. */
import { policyIsOn } from '../policy-switches.js';
import type { CallerRequest } from './caller-request.js';
import type { CallParent } from './nested-calls.js';

/** Share of the target latency for which any request may wait for a slot. */
const MIN_WAIT_SHARE = 0.25;

/**
 * Share of the target latency that a caller's retry, or a call of unknown work time, reserves for the work while it
 * searches for a slot.
 */
const RETRY_WORK_SHARE = 0.5;

/** Time budget of one request. */
export class RequestClock {
  constructor(
    private readonly request: CallerRequest,
    private readonly nowMs: () => number,
  ) {}

  /** Time in ms until the deadline of the request. */
  get leftMs(): number {
    const { deadlineMs, route } = this.request;
    return Math.min(deadlineMs, route.definition.timeoutMs) - this.elapsedMs;
  }

  /** Time in ms left to answer within the target latency; negative afterwards. */
  get targetLeftMs(): number {
    return this.request.route.definition.targetLatencyMs - this.elapsedMs;
  }

  /** Maximum time in ms for which the request may still wait for a slot at a back end. */
  get patienceMs(): number {
    const elapsedShare = 1 - MIN_WAIT_SHARE;
    const { targetLatencyMs } = this.request.route.definition;
    return Math.min(this.targetLeftMs - targetLatencyMs * elapsedShare, this.leftMs);
  }

  /**
   * Time in ms for which the request may search for a back end. A caller's retry gains nothing from another refusal, so
   * it searches for as long as the work could still be done. So does a call while its parent has time.
   */
  get searchTimeMs(): number {
    const { spentMs, route, parent } = this.request;
    const { patienceMs } = this;
    if (parent !== null) return this.callSearchTimeMs(parent);
    if (spentMs === 0 || !policyIsOn('key-patience')) return patienceMs;
    return Math.max(patienceMs, this.leftMs - route.definition.targetLatencyMs * RETRY_WORK_SHARE);
  }

  private callSearchTimeMs({ request }: CallParent): number {
    const { definition, workMs } = this.request.route;
    const usefulMs = Math.min(this.leftMs, request.deadlineMs - this.nowMs());
    return usefulMs - (workMs ?? definition.targetLatencyMs * RETRY_WORK_SHARE);
  }

  private get elapsedMs(): number {
    return this.nowMs() - this.request.arrivedMs;
  }
}
