/**
 * What callers and back ends observe of the requests of a soak, and which of their ends are excused. Times are in ms of one clock;
 * the calls may come in any order.
 */
import type { PlannedWorkLog } from './planned-work-log.js';

/** Time after its last byte within which a request that was not passed on may cross the close of its connection. */
export const CROSSING_MS = 200;

/** Share of the grace time in which a request must be sent, and last share of it in which its back end is at work, to be excused. */
const EARLY_GRACE_SHARE = 1 / 2;
const LATE_GRACE_SHARE = 1 / 6;

/** Resolution in ms of the timers of the daemon and of the clock of the caller, by which a time limit may seem to end early. */
const TIMER_RESOLUTION_MS = 2;

/** A request whose last byte was sent on an open connection. */
export interface CompleteRequest {
  readonly requestId: string;
  /** Machine whose daemon took the request. */
  readonly machine: string;
  readonly route: string;
  /** Times at which its first byte was written, and at which its last byte was written at the earliest. */
  readonly begunMs: number;
  readonly writtenMs: number;
  /** Time at which the last byte was sent for sure; later than `writtenMs` if the caller's process was delayed. */
  readonly sentMs: number;
  readonly deadlineMs: number;
  readonly repeatable: boolean;
  /** Whether an answer on the connection had announced its end before the first byte was written. */
  readonly isBehindAnnouncedClose: boolean;
}

/** How a request ended at its caller: its connection closed, or a complete answer with a status. */
export interface RequestEnd {
  /** Earliest time of the end; it is seen later if the caller's process was delayed. */
  readonly atMs: number;
  readonly seenMs: number;
  /** Null for a closed connection. */
  readonly status: number | null;
  /** Whether a back end has given the answer. */
  readonly fromBackend: boolean;
  /** Request in front of it on the connection whose answer had begun and was cut off by the close; null for none. */
  readonly cutOffBefore: string | null;
  /** Earliest time at which the head of its own answer was received; null for none. */
  readonly answerBegunMs: number | null;
  /** Whether the last answer on the connection was whole when it closed, and none had announced that. */
  readonly isBehindWholeAnswer: boolean;
}

/** Work of a back end on a request. */
export interface ObservedWork {
  readonly requestId: string;
  /** Machine of the back end. */
  readonly machine: string;
  readonly fromMs: number;
  /** Time at which the work ended, or would have ended if the daemon had not closed the connection. */
  readonly toMs: number;
  /** Whether the back end itself broke off. */
  readonly brokeOff: boolean;
}

/** A request with its end. */
export interface EndedRequest extends CompleteRequest {
  readonly end: RequestEnd;
}

/** Collects what callers and back ends observe. */
export class RequestRecords {
  private readonly requests = new Map<string, CompleteRequest>();
  private readonly ends = new Map<string, RequestEnd>();
  /** Time of the first arrival of each request at the back end of each machine. */
  private readonly arrivals = new Map<string, Map<string, number>>();
  private readonly works = new Map<string, ObservedWork[]>();

  constructor(protected readonly log: PlannedWorkLog) {}

  /** Records that the last byte of a request has been sent. */
  sent(request: CompleteRequest): void {
    this.requests.set(request.requestId, request);
  }

  /** Records how a request has ended. */
  ended(requestId: string, end: RequestEnd): void {
    this.ends.set(requestId, end);
  }

  /** Records that a request has reached the back end of a machine, which may refuse it, at the earliest at a time. */
  arrived(requestId: string, machine: string, atMs: number): void {
    const machines = this.arrivals.get(requestId) ?? new Map<string, number>();
    if (!machines.has(machine)) machines.set(machine, atMs);
    this.arrivals.set(requestId, machines);
  }

  /** Records the work of a back end on a request. */
  worked(work: ObservedWork): void {
    this.works.set(work.requestId, [...(this.works.get(work.requestId) ?? []), work]);
  }

  /** Returns the requests that were sent and have ended. */
  allEnded(): EndedRequest[] {
    return [...this.requests.keys()].flatMap((requestId) => this.endedRequest(requestId) ?? []);
  }

  /** Returns a request with its end; null if it was not sent completely or has not ended. */
  endedRequest(requestId: string): EndedRequest | null {
    const request = this.requests.get(requestId);
    const end = this.ends.get(requestId);
    return request === undefined || end === undefined ? null : { ...request, end };
  }

  /** Returns the work of back ends on a request. */
  worksOn(requestId: string): readonly ObservedWork[] {
    return this.works.get(requestId) ?? [];
  }

  /** Returns the machines of the back ends that a request has reached. */
  reached(requestId: string): string[] {
    return [...(this.arrivals.get(requestId)?.keys() ?? [])];
  }

  /** Returns when a request reached its first back end; null if it reached none. */
  firstArrivalMs(requestId: string): number | null {
    const times = [...(this.arrivals.get(requestId)?.values() ?? [])];
    return times.length === 0 ? null : Math.min(...times);
  }

  /** Whether the daemon has certainly read a request whose connection was closed. */
  isRead({ requestId, sentMs, end }: EndedRequest): boolean {
    return this.arrivals.has(requestId) || end.atMs - sentMs > CROSSING_MS;
  }

  /** Returns the time that a request has, in ms. */
  limitMs({ route, begunMs, deadlineMs }: CompleteRequest): number {
    return Math.min(deadlineMs, this.log.timeoutMs(route, begunMs));
  }

  /** Whether the time of a request was up when it ended. */
  isTimeUp(request: EndedRequest): boolean {
    return request.end.seenMs - request.begunMs >= this.limitMs(request) - TIMER_RESOLUTION_MS;
  }

  /** Whether nobody could complete an answer: the back end broke off, the work was too long for a stop, or a disruption. */
  isOutOfReach(request: EndedRequest): boolean {
    const { requestId, machine, begunMs, end } = request;
    if (this.worksOn(requestId).some(({ brokeOff }) => brokeOff)) return true;
    const involved = [machine, ...this.reached(requestId)];
    if (involved.some((name) => this.log.wasDisrupted(name, begunMs, end.seenMs))) return true;
    return involved.some((name) => this.isTooLongForStop(name, request));
  }

  /** Whether a request ended late in the grace time of a daemon on its way, or shortly after it. */
  isAtEndOfGrace({ requestId, machine, end }: EndedRequest): boolean {
    return [machine, ...this.reached(requestId)].some((name) => {
      const lateMs = this.lateGraceMs(name, end.atMs);
      return lateMs !== null && end.atMs >= lateMs;
    });
  }

  /** Returns when the last part of the grace time begins in whose span a time lies; null outside of such spans. */
  private lateGraceMs(machine: string, atMs: number): number | null {
    const stopMs = this.log.stopAround(machine, atMs);
    return stopMs === null ? null : stopMs + this.log.bounds.graceMs * (1 - LATE_GRACE_SHARE);
  }

  /** Whether a request sent early in a grace time is still being worked on late in it. */
  private isTooLongForStop(machine: string, { requestId, writtenMs, end }: EndedRequest): boolean {
    const stopMs = this.log.stopAround(machine, end.atMs);
    const lateMs = this.lateGraceMs(machine, end.atMs);
    if (stopMs === null || lateMs === null) return false;
    const { graceMs } = this.log.bounds;
    const isSentEarly = writtenMs <= stopMs + graceMs * EARLY_GRACE_SHARE;
    const works = this.worksOn(requestId);
    return isSentEarly && works.some(({ fromMs, toMs }) => fromMs <= lateMs && toMs >= lateMs);
  }
}
