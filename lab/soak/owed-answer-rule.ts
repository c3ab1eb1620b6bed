/**
 * Rule on the answers that callers are owed, judged from their side at all times: no connection ends behind a whole answer that did
 * not announce it, for a request that was sent before the end could be seen; and a request that was read whole and has time left
 * gets an answer, or was not passed on to a back end and its connection ends soon after its last byte. Times are in ms of one clock.
 */
import type { PlannedWorkLog } from './planned-work-log.js';
import { CROSSING_MS, type EndedRequest, type RequestRecords } from './request-records.js';

/** Time for which the end of a connection may stay unseen by the process of the callers without a stall that it records. */
export const UNSEEN_MS = 30;

/** How a request ended without the answer that it was owed. */
export type OwedAnswerKind =
  /** Its connection ended behind a whole answer that did not announce it. */
  | 'behind-whole-answer'
  /** It was passed on, and its connection ended before its answer began. */
  | 'passed-on'
  /** It was passed on behind an answer that had begun and could not be completed. */
  | 'passed-on-behind-begun'
  /** It was read and not passed on, and its connection ended late. */
  | 'ended-late'
  /** Its answer began and was cut off with time left. */
  | 'cut'
  /** The same at the end of the grace time of a daemon on its way, although its back end was done. */
  | 'cut-at-stop'
  /** Read and not passed on, behind an answer that was cut off so. */
  | 'behind-cut-at-stop'
  /** Passed on before the answer in front of it began that nobody could complete; counted apart. */
  | 'behind-broken-passed-on'
  /** Waited behind an answer that nobody could complete, and was not passed on; counted apart. */
  | 'behind-broken-waiting';

/** Kinds that no daemon can avoid, since a begun answer can only be cut off by ending its connection. */
const COUNTED_APART: ReadonlySet<OwedAnswerKind> = new Set([
  'behind-broken-passed-on',
  'behind-broken-waiting',
]);

/** A request that ended without the answer that it was owed. */
export interface OwedAnswer {
  readonly requestId: string;
  readonly kind: OwedAnswerKind;
  readonly atMs: number;
  readonly detail: string;
  readonly isViolation: boolean;
  /** Whether a busy machine did not run the processes on the way in time. */
  readonly isDelayed: boolean;
}

/** Judges the requests of a run. */
export class OwedAnswerRule {
  constructor(
    private readonly records: RequestRecords,
    private readonly log: PlannedWorkLog,
  ) {}

  /** Returns all requests that ended without the answer that they were owed. */
  result(): OwedAnswer[] {
    return this.records.allEnded().flatMap((request) => {
      const kind = request.end.status === null ? this.kindOf(request) : null;
      return kind === null ? [] : [this.describe(request, kind)];
    });
  }

  /** Returns how a request whose connection ended breaks the rule; null if it does not. */
  private kindOf(request: EndedRequest): OwedAnswerKind | null {
    const { machine, begunMs, sentMs, end } = request;
    if (this.log.wasDisrupted(machine, begunMs, end.seenMs)) return null;
    const hasBegun = end.answerBegunMs !== null;
    const couldBeSeen = end.atMs - sentMs <= UNSEEN_MS;
    if (end.isBehindWholeAnswer && !hasBegun && !couldBeSeen) return 'behind-whole-answer';
    if (!this.records.isRead(request) || this.records.isTimeUp(request)) return null;
    return hasBegun ? this.kindOfCut(request) : this.kindBehind(request);
  }

  /** Returns how an answer was cut off with time left; null if nobody could complete it. */
  private kindOfCut(request: EndedRequest): OwedAnswerKind | null {
    if (this.records.isOutOfReach(request)) return null;
    return this.records.isAtEndOfGrace(request) ? 'cut-at-stop' : 'cut';
  }

  /** Returns how a request ended that was read, had time left and whose answer had not begun. */
  private kindBehind({ requestId, end }: EndedRequest): OwedAnswerKind {
    const arrivedMs = this.records.firstArrivalMs(requestId);
    const front = end.cutOffBefore === null ? null : this.records.endedRequest(end.cutOffBefore);
    if (front === null || !this.records.isOutOfReach(front)) {
      if (arrivedMs !== null) return 'passed-on';
      return front !== null && this.kindOfCut(front) === 'cut-at-stop' && !this.records.isTimeUp(front)
        ? 'behind-cut-at-stop'
        : 'ended-late';
    }
    if (arrivedMs === null) return 'behind-broken-waiting';
    const frontBegunMs = front.end.answerBegunMs ?? Infinity;
    return arrivedMs > frontBegunMs + CROSSING_MS ? 'passed-on-behind-begun' : 'behind-broken-passed-on';
  }

  private describe(request: EndedRequest, kind: OwedAnswerKind): OwedAnswer {
    const { requestId, machine, route, sentMs, end } = request;
    const since = (atMs: number): string => `${Math.round(atMs - sentMs)} ms`;
    const front = end.cutOffBefore === null ? null : this.records.endedRequest(end.cutOffBefore);
    const reached = this.records.reached(requestId);
    const arrivedMs = this.records.firstArrivalMs(requestId);
    const leftMs = this.records.limitMs(request) - (end.atMs - request.begunMs);
    const delayed = [machine, ...reached].filter((name) =>
      this.log.wasDelayed(name, request.begunMs, end.seenMs),
    );
    const parts = [
      `${requestId} (${route}) at ${machine} ended without an answer after ${since(end.atMs)} with ${Math.round(leftMs)} ms left`,
      arrivedMs === null ? 'not passed on' : `at ${reached.join(', ')} after ${since(arrivedMs)}`,
      ...(front === null ? [] : [this.describeFront(front, sentMs)]),
      ...(request.isBehindAnnouncedClose ? ['sent behind an announced close'] : []),
      ...this.occasions(request),
      ...(delayed.length === 0 ? [] : [`the busy machine delayed ${delayed.join(', ')}`]),
    ];
    const detail = `${kind}: ${parts.join('; ')}`;
    const isViolation = !COUNTED_APART.has(kind);
    return { requestId, kind, atMs: end.atMs, detail, isViolation, isDelayed: delayed.length > 0 };
  }

  private describeFront(front: EndedRequest, sentMs: number): string {
    const begunMs = front.end.answerBegunMs ?? sentMs;
    const leftMs = this.records.limitMs(front) - (front.end.atMs - front.begunMs);
    const brokeOff = this.records.worksOn(front.requestId).some((work) => work.brokeOff);
    const reason = brokeOff ? ', which its back end broke off' : '';
    const times = `begun ${Math.round(begunMs - sentMs)} ms after this was sent, with ${Math.round(leftMs)} ms left`;
    return `behind the cut answer to ${front.requestId} (${front.route})${reason}, ${times}`;
  }

  /** Planned work around the end of a request. */
  private occasions({ requestId, machine, sentMs, end }: EndedRequest): string[] {
    const stops = [machine, ...this.records.reached(requestId)].filter(
      (name) => this.log.stopAround(name, end.atMs) !== null,
    );
    const isAtChange = this.log
      .changeSpans()
      .some(({ fromMs, toMs }) => fromMs <= end.atMs && end.atMs <= toMs);
    return [
      ...stops.map((name) => `beside a stop of ${name}`),
      ...(this.log.isAroundReload(machine, sentMs, end.atMs) ? ['beside a reload'] : []),
      ...(isAtChange ? ['beside a change'] : []),
    ];
  }
}
