/**
 * Calls of the local back end: requests that it makes while it runs another request, which holds its slot until they
 * are answered. The load pattern is a wave of new work that fills a service which others call: without a relation
 * between the two, a call waits behind work that nobody waits for yet, while its parent holds a slot elsewhere. Pure
 * code; the state is bounded by the number of requests that run at the back end.
 */
import type { NestedHead } from '../link/link-messages.js';
import { Err, Ok, type Result } from '../result.js';
import { RouteAverages } from './route-averages.js';
import { MAX_PRIORITY, type RequestTimeLimits } from './slot-policy.js';

/** Separates the id of a running request from the part of the id that its call adds. */
const ID_SEPARATOR = '.';

/** Maximum number of separators of an id that are tried; ids of longer chains do not occur, and ids are caller input. */
const MAX_ID_PARTS = 8;

/**
 * Maximum difference in ms between the deadlines of a call and of its parent. The deadline reaches the back end and
 * comes back from it as a remaining time, with one transfer within the machine and rounding each way.
 */
const DEADLINE_TOLERANCE_MS = 5;

/**
 * Share of a route's recent requests that must have been identified as calls, or have had the deadline of exactly one
 * running request, before the deadline alone identifies one. Unrelated deadlines coincide in a few of a hundred.
 */
const MIN_CALLED_SHARE = 0.5;

/** A request that runs at the local back end. */
export interface RunningRequest {
  readonly requestId: string;
  /** Name of its route. */
  readonly route: string;
  /** Priority that its calls inherit; for a call, the one that it inherited itself. 0 is the most urgent. */
  readonly priority: number;
  /** Deadline that the back end was told, in ms of the daemon's clock. */
  readonly deadlineMs: number;
  /** Whether the request is a call itself. */
  readonly isCall: boolean;
}

/** A request that has arrived at this sidecar from its machine. */
export interface ArrivedRequest {
  readonly requestId: string;
  /** Name of its route. */
  readonly route: string;
  /** Time in ms until the deadline that it states; null if it states none. */
  readonly statedDeadlineMs: number | null;
}

/** What identified a request as a call. */
export type ParentCriterion = 'id' | 'deadline';

/** The request that waits for a call. */
export interface CallParent {
  readonly request: RunningRequest;
  readonly criterion: ParentCriterion;
}

/** A call that has ended. */
export interface EndedCall {
  readonly parent: CallParent;
  /** Service that was called. */
  readonly service: string;
  readonly answered: boolean;
  /** Time in ms from its arrival at this sidecar to its end. */
  readonly elapsedMs: number;
  /** Target latency in ms of its route. */
  readonly targetMs: number;
}

/**
 * Results of the identification: by id, by deadline, not identified because several running requests have the deadline,
 * and identified by a deadline whose request ended before the call was answered.
 */
export type IdentificationResult = ParentCriterion | 'ambiguous' | 'mistaken';

/** The requests that run at the local back end, and the identification of their calls. */
export class RunningRequests {
  readonly counters: Record<IdentificationResult, number> = { id: 0, deadline: 0, ambiguous: 0, mistaken: 0 };
  private readonly running = new Set<RunningRequest>();
  private readonly byId = new Map<string, RunningRequest>();
  /** Share of the recent requests of a route that are calls, by route. */
  private readonly calledShares = new RouteAverages();

  /** Number of running requests that are calls. */
  get callCount(): number {
    let count = 0;
    for (const { isCall } of this.running) count += Number(isCall);
    return count;
  }

  /** Records that a request starts to run. */
  begin(request: RunningRequest): void {
    this.running.add(request);
    this.byId.set(request.requestId, request);
  }

  /** Records that a request has ended. */
  end(request: RunningRequest): void {
    this.running.delete(request);
    if (this.byId.get(request.requestId) === request) this.byId.delete(request.requestId);
  }

  /** Returns the request that waits for an arrived one; null if the arrived one is new work. */
  findParent(arrived: ArrivedRequest, nowMs: number): CallParent | null {
    if (this.running.size === 0) return null;
    const named = this.findById(arrived.requestId);
    if (named === null) return this.findByDeadline(arrived, nowMs);
    this.recordCalled(arrived.route, true);
    this.counters.id += 1;
    return { request: named, criterion: 'id' };
  }

  /** Records the end of a call. A parent that ended before its call was answered was not waiting for it. */
  recordEnded({ parent: { request, criterion }, answered }: EndedCall): void {
    if (criterion === 'deadline' && answered && !this.running.has(request)) this.counters.mistaken += 1;
  }

  /** Finds the longest id of a running request that a separator and a further part follow. */
  private findById(requestId: string): RunningRequest | null {
    let end = requestId.lastIndexOf(ID_SEPARATOR, requestId.length - 2);
    for (let parts = 0; end > 0 && parts < MAX_ID_PARTS; parts += 1) {
      const request = this.byId.get(requestId.slice(0, end));
      if (request !== undefined) return request;
      end = requestId.lastIndexOf(ID_SEPARATOR, end - 1);
    }
    return null;
  }

  private findByDeadline({ route, statedDeadlineMs }: ArrivedRequest, nowMs: number): CallParent | null {
    if (statedDeadlineMs === null) return null;
    const deadlineMs = nowMs + statedDeadlineMs;
    const fitting = [...this.running].filter(
      (request) => Math.abs(request.deadlineMs - deadlineMs) <= DEADLINE_TOLERANCE_MS,
    );
    const wasCalled = this.calledShares.averageOf(route, 0) >= MIN_CALLED_SHARE;
    const [request] = fitting;
    this.recordCalled(route, fitting.length === 1);
    if (!wasCalled || request === undefined) return null;
    if (fitting.length > 1) {
      this.counters.ambiguous += 1;
      return null;
    }
    this.counters.deadline += 1;
    return { request, criterion: 'deadline' };
  }

  /** A route starts as one that is not called, so that a single coincidence of deadlines does not make it one. */
  private recordCalled(route: string, isCalled: boolean): void {
    if (!Number.isFinite(this.calledShares.averageOf(route, NaN))) this.calledShares.record(route, 0);
    this.calledShares.record(route, isCalled ? 1 : 0);
  }
}

/** Returns the field that tells other daemons for whom a call is made; it has the integer priorities of the link. */
export function nestedHeadOf({ request }: CallParent, nowMs: number): NestedHead {
  const priority = Math.min(MAX_PRIORITY, Math.floor(request.priority));
  return { priority, remainingMs: Math.max(0, request.deadlineMs - nowMs) };
}

/** Reads the field of a request head; null if it is missing, an error if its content is impossible. */
export function readNested(field: unknown): Result<NestedHead | null, 'unreadable'> {
  if (field === undefined) return Ok(null);
  if (typeof field !== 'object' || field === null) return Err('unreadable');
  const { priority, remainingMs } = field as Partial<Record<keyof NestedHead, unknown>>;
  const hasPriority = Number.isInteger(priority) && Number(priority) >= 0 && Number(priority) <= MAX_PRIORITY;
  const hasTime = Number.isFinite(remainingMs) && Number(remainingMs) >= 0;
  if (!hasPriority || !hasTime) return Err('unreadable');
  return Ok({ priority: Number(priority), remainingMs: Number(remainingMs) });
}

/**
 * Returns the time limits of a call: it is of use for as long as its parent has time, and the time that its caller seems
 * to have spent before is that of its parent.
 */
export function limitsOfCall<T extends RequestTimeLimits>(limits: T, { remainingMs }: NestedHead): T {
  return { ...limits, targetLeftMs: Math.min(limits.remainingMs, remainingMs), spentMs: 0 };
}
