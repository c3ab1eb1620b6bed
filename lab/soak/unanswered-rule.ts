/**
 * Rule on requests that a daemon has read and that end without the answer of their back end around planned work: their
 * connection is closed, or the daemon answers in place of a back end that still works on them. Times are in ms of one clock;
 * the calls may come in any order.
 */
import { RequestRecords, type EndedRequest } from './request-records.js';

/** Share of its time after which a configuration change no longer counts for a request. */
const USED_TIME_SHARE = 0.7;

/** Factor by which closes around configuration changes must exceed those at other times to count. */
const CHANGE_EXCESS_FACTOR = 3;

/** Number of requests passed on that a daemon may leave without an answer without planned work at its machine. */
const MAX_CALM_CLOSES = 3;

const FIRST_SERVER_ERROR = 500;
const UNAVAILABLE = 503;

/** A request that ended wrongly. */
export interface UnansweredRequest {
  readonly requestId: string;
  readonly atMs: number;
  readonly kind: 'closed' | 'answered-in-place' | 'refused-after-run';
  readonly around: 'stop' | 'stop-at-back-end' | 'reload' | 'configuration' | 'calm';
  readonly detail: string;
  /**
   * False where only the daemon beside the back end was stopped, which the rule does not name; and behind a cut answer that
   * is excused, since a begun answer can only be cut off by closing its connection; and where a busy machine did not run the
   * processes on the way in time, which is an unplanned disruption of them.
   */
  readonly isViolation: boolean;
}

/** Judges what callers and back ends observe. */
export class UnansweredRule extends RequestRecords {
  /** Returns all requests that ended wrongly in a run that lasted from `startMs` to `endMs`. */
  result(startMs: number, endMs: number): UnansweredRequest[] {
    const ended = this.allEnded();
    const closes = ended.filter((request) => this.isUnansweredClose(request));
    const found = [
      ...closes.flatMap((request) => this.closeAtSignal(request)),
      ...ended.flatMap((request) => this.answerInPlace(request)),
      ...ended.flatMap((request) => this.refusalAfterRun(request)),
    ];
    const known = new Set(found.map(({ requestId }) => requestId));
    const others = closes.filter(({ requestId }) => !known.has(requestId));
    const atChanges = this.closesAtChanges(others, startMs, endMs);
    const atChangeIds = new Set(atChanges.map(({ requestId }) => requestId));
    return [
      ...found,
      ...atChanges,
      ...this.calmCloses(others.filter(({ requestId }) => !atChangeIds.has(requestId))),
    ];
  }

  /** Whether a request ended with its connection although it was read, its time was not up and its back end did not break off. */
  private isUnansweredClose(request: EndedRequest): boolean {
    return request.end.status === null && this.isRead(request) && !this.isExcused(request);
  }

  private closeAtSignal(request: EndedRequest): UnansweredRequest[] {
    const { machine, sentMs, end } = request;
    if (this.log.stopAround(machine, end.atMs) !== null) return [this.describe(request, 'closed', 'stop')];
    if (!this.log.isAroundReload(machine, sentMs, end.atMs)) return [];
    return [this.describe(request, 'closed', 'reload')];
  }

  /** A daemon's own answer after a SIGTERM, while the back end works on the request. */
  private answerInPlace(request: EndedRequest): UnansweredRequest[] {
    const { requestId, machine, end } = request;
    const isOwnError = end.status !== null && end.status >= FIRST_SERVER_ERROR && !end.fromBackend;
    if (!isOwnError || end.status === UNAVAILABLE || this.isExcused(request)) return [];
    const working = this.worksOn(requestId).filter(({ fromMs, toMs, brokeOff }) => {
      return !brokeOff && fromMs <= end.atMs && end.seenMs < toMs;
    });
    if (working.length === 0) return [];
    if (this.log.stopAround(machine, end.atMs) !== null)
      return [this.describe(request, 'answered-in-place', 'stop')];
    const isAtBackend = working.some((work) => this.log.stopAround(work.machine, end.atMs) !== null);
    return isAtBackend ? [this.describe(request, 'answered-in-place', 'stop-at-back-end')] : [];
  }

  /** A refusal as not run, of a request that ran and may not run twice, or that a back end is working on during a stop. */
  private refusalAfterRun(request: EndedRequest): UnansweredRequest[] {
    const { requestId, machine, end, repeatable } = request;
    if (end.status !== UNAVAILABLE || end.fromBackend) return [];
    const works = this.worksOn(requestId);
    const stopMs = this.log.stopAround(machine, end.atMs);
    const isWorking = works.some(({ fromMs, toMs, brokeOff }) => {
      return !brokeOff && fromMs <= end.atMs && end.seenMs < toMs;
    });
    const isBroken = repeatable ? stopMs !== null && isWorking && !this.isExcused(request) : works.length > 0;
    if (!isBroken) return [];
    return [this.describe(request, 'refused-after-run', stopMs === null ? 'calm' : 'stop')];
  }

  /** Closes around changes of the configuration, where a machine closes more often than at other times. */
  private closesAtChanges(
    closes: readonly EndedRequest[],
    startMs: number,
    endMs: number,
  ): UnansweredRequest[] {
    const spans = this.log.changeSpans();
    const insideMs = spans.reduce((sum, span) => {
      return sum + Math.max(0, Math.min(span.toMs, endMs) - Math.max(span.fromMs, startMs));
    }, 0);
    const outsideMs = Math.max(1, endMs - startMs - insideMs);
    const isInside = ({ end }: EndedRequest): boolean =>
      spans.some(({ fromMs, toMs }) => fromMs <= end.atMs && end.atMs <= toMs);
    return [...byMachine(closes).values()].flatMap((ofMachine) => {
      const inside = ofMachine.filter(isInside);
      const outsideRate = (ofMachine.length - inside.length) / outsideMs;
      if (inside.length / Math.max(1, insideMs) <= CHANGE_EXCESS_FACTOR * outsideRate) return [];
      return inside
        .filter((request) => request.end.seenMs - request.begunMs < USED_TIME_SHARE * this.limitMs(request))
        .map((request) => this.describe(request, 'closed', 'configuration'));
    });
  }

  /** Closes of passed-on requests at any other time, where a machine has more of them than allowed. */
  private calmCloses(closes: readonly EndedRequest[]): UnansweredRequest[] {
    const passedOn = closes.filter(({ requestId }) => this.reached(requestId).length > 0);
    return [...byMachine(passedOn).values()]
      .filter((ofMachine) => ofMachine.length > MAX_CALM_CLOSES)
      .flatMap((ofMachine) => ofMachine.map((request) => this.describe(request, 'closed', 'calm')));
  }

  /** Whether an exception of the rule holds: the time was up, or the answer was out of reach. */
  private isExcused(request: EndedRequest): boolean {
    return this.isTimeUp(request) || this.isOutOfReach(request);
  }

  /** Whether the answer in front of a request was cut off for a reason that is excused. */
  private isBehindExcused({ end }: EndedRequest): boolean {
    const before = end.cutOffBefore === null ? null : this.endedRequest(end.cutOffBefore);
    return before !== null && this.isExcused(before);
  }

  private describe(
    request: EndedRequest,
    kind: UnansweredRequest['kind'],
    around: UnansweredRequest['around'],
  ): UnansweredRequest {
    const { requestId, machine, sentMs, end } = request;
    const stopMs = this.log.stopAround(machine, end.atMs);
    const works = this.worksOn(requestId).map((work) => {
      return `worked at ${work.machine} from ${Math.round(work.fromMs - sentMs)} to ${Math.round(work.toMs - sentMs)} ms`;
    });
    const reached = this.reached(requestId);
    const parts = [
      `${requestId} at ${machine} ended ${Math.round(end.atMs - sentMs)} ms after it was sent`,
      end.status === null ? 'without an answer' : `with a ${end.status} of the daemon's own`,
      ...(stopMs === null ? [] : [`sent ${Math.round(sentMs - stopMs)} ms after SIGTERM`]),
      ...(end.cutOffBefore === null ? [] : [`behind the cut answer to ${end.cutOffBefore}`]),
      ...(request.isBehindAnnouncedClose ? ['behind an answer that announced the close'] : []),
      reached.length === 0 ? 'not passed on' : `passed on to ${reached.join(', ')}`,
      ...works,
    ];
    const delayed = [machine, ...reached].filter((name) =>
      this.log.wasDelayed(name, request.begunMs, end.seenMs),
    );
    if (delayed.length > 0) parts.push(`the busy machine delayed ${delayed.join(', ')}`);
    const isCounted = around !== 'stop-at-back-end' && !this.isBehindExcused(request);
    const isViolation = isCounted && delayed.length === 0;
    const detail = `${kind} around ${around}: ${parts.join('; ')}`;
    return { requestId, atMs: end.atMs, kind, around, detail, isViolation };
  }
}

function byMachine(requests: readonly EndedRequest[]): Map<string, EndedRequest[]> {
  const machines = new Map<string, EndedRequest[]>();
  for (const request of requests)
    machines.set(request.machine, [...(machines.get(request.machine) ?? []), request]);
  return machines;
}
