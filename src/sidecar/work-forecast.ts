/**
 * Estimates the cost of requests at one back end from past answers: processing time, slots to leave free for others,
 * and transfer time of the answer on the network link.
 */
import type { RequestHead } from '../link/link-messages.js';
import type { LinkPacer } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';
import { BackendPace, clampPace } from './backend-pace.js';
import { InTimeDemand } from './in-time-demand.js';
import { LinkWaitEstimator } from './link-wait-estimator.js';
import { decideOnLink, linkWaitMs, plannedLinkWaitMs, type LinkDecision } from './link-admission.js';
import {
  callReserve,
  lateReserve,
  queueRank,
  SHORT_WORK_RANK,
  shortWorkReserve,
  type RequestTimeLimits,
} from './slot-policy.js';
import { CallLoad } from './call-load.js';
import { RouteAverages } from './route-averages.js';

/** Dependencies of a forecast. */
export interface WorkForecastPorts {
  nowMs(): number;
  /** Returns the expected time in ms for which a request of any route holds its slot. */
  serviceMs(): number;
  /** Returns the number of slots of the back end. */
  slots(): number;
  /** Paces large answers; null if the network link is fast. */
  readonly pacer: LinkPacer | null;
}

/** Measurements of one answer. */
export interface AnswerSample {
  readonly route: string;
  /** Time in ms for which the request held its slot. */
  readonly usedMs: number;
  readonly bytes: number;
  /** Reported processing time as a factor of the usual one; null if not reported, NaN if not readable. */
  readonly pace: number | null;
}

/** Expected times in ms from now of an answer and the network link. */
interface LinkTimes {
  readonly readyInMs: number;
  /** Time until the link has sent what is ahead of the answer. */
  readonly queueMs: number;
  /** Time for which the answer waits for the link once it is ready. */
  readonly waitMs: number;
  readonly sendingMs: number;
}

/** Forecast for one back end. `Owner` is the type of the requests, which identify the answers to be sent. */
export class WorkForecast<Owner> {
  readonly pace = new BackendPace();
  /** Arrivals of requests that can meet their target. */
  readonly inTime = new InTimeDemand();
  /** Number of reported paces that were not readable; these are ignored. */
  unreadablePaceReports = 0;
  /** Processing time in ms by route, normalized to the usual pace. */
  private readonly workTimes = new RouteAverages();
  private readonly answerBytes = new RouteAverages();
  private readonly callLoad = new CallLoad();
  private presentCallReserve = 0;
  private readonly link: LinkWaitEstimator<Owner>;

  constructor(private readonly ports: WorkForecastPorts) {
    this.link = new LinkWaitEstimator(ports.pacer, () => ports.nowMs());
  }

  /** Current processing time as a factor of the usual one. */
  get currentPace(): number {
    return this.pace.at(this.ports.nowMs()).now;
  }

  /** Time in ms until the network link has sent the queued answers and those of accepted requests. */
  get sendWaitMs(): number {
    return this.link.waitMs;
  }

  /** Returns the expected processing time in ms of a request of the route. */
  workMs(route: string): number {
    const nominalMs = this.workTimes.averageOf(route, NaN);
    return Number.isNaN(nominalMs) ? this.ports.serviceMs() : nominalMs * this.currentPace;
  }

  /** Returns the expected time in ms for an answer of the route to pass the network link, including its queue. */
  sendMs(route: string, owner: Owner | null): number {
    const { waitMs, sendingMs } = this.linkTimesOf(route, owner);
    return waitMs + sendingMs;
  }

  /** Returns the time limits of a request, reduced by the time that its answer needs to pass the network link. */
  claimOf(head: RequestHead, owner: Owner | null): RequestTimeLimits {
    const { waitMs, sendingMs } = this.linkTimesOf(head.route, owner);
    if (sendingMs === 0) return head;
    const { patienceMs, spentMs } = head;
    const remainingMs = head.remainingMs - waitMs - sendingMs;
    const targetLeftMs = head.targetLeftMs - plannedLinkWaitMs(waitMs) - sendingMs;
    return { remainingMs, patienceMs, targetLeftMs, spentMs };
  }

  /**
   * Decides whether the network link has room for the answer to a request that has waited for its slot for `waitedMs`.
   * Answers that are not paced always have room.
   */
  decideOnLink(head: RequestHead, owner: Owner, waitedMs: number): LinkDecision {
    const { readyInMs, queueMs, sendingMs } = this.linkTimesOf(head.route, owner);
    return decideOnLink({ readyInMs, queueMs, sendingMs, targetLeftMs: head.targetLeftMs - waitedMs });
  }

  private linkTimesOf(route: string, owner: Owner | null): LinkTimes {
    const bytes = this.answerBytes.averageOf(route, 0);
    const readyInMs = this.workMs(route);
    if (!this.link.isPaced(bytes)) return { readyInMs, queueMs: 0, waitMs: 0, sendingMs: 0 };
    const queueMs = this.link.queueMs(owner, readyInMs);
    const sendingMs = this.link.sendingMs(bytes);
    return { readyInMs, queueMs, waitMs: linkWaitMs(readyInMs, queueMs), sendingMs };
  }

  /** Returns the queue priority of a request; short work goes first. */
  rankOf({ priority, route }: RequestHead): number {
    if (!policyIsOn('short-work-first')) return priority;
    const meanMs = this.workTimes.averageOf(route, this.ports.serviceMs());
    return queueRank(priority, meanMs, this.workTimes.largest);
  }

  /** Returns the number of slots to leave free for short work, if this back end has recently had any. */
  reserveOf(head: RequestHead): number {
    if (!policyIsOn('short-work-reserve') || this.rankOf(head) === SHORT_WORK_RANK) return 0;
    const { smallest, largest } = this.workTimes;
    const hasShortWork = smallest > 0 && queueRank(head.priority, smallest, largest) === SHORT_WORK_RANK;
    return hasShortWork ? shortWorkReserve(this.ports.slots()) : 0;
  }

  /** Number of slots that late requests leave free now; 0 while no request arrives that can meet its target. */
  get lateReserve(): number {
    return this.inTime.isPresent(this.ports.nowMs()) ? lateReserve(this.ports.slots()) : 0;
  }

  /**
   * Returns the number of slots that a request which will miss its target leaves free. Short work is exempt even when
   * late, because requests at other back ends wait for its answer.
   */
  lateReserveOf(head: RequestHead): number {
    if (!policyIsOn('late-reserve') || this.rankOf(head) === SHORT_WORK_RANK) return this.reserveOf(head);
    return Math.max(this.lateReserve, this.reserveOf(head));
  }

  /** Records the arrival of a call. */
  recordCall(route: string): void {
    this.callLoad.record(this.workMs(route), this.ports.nowMs());
  }

  /** Number of slots that recent calls need on average. */
  get callSlots(): number {
    return this.callLoad.slotsAt(this.ports.nowMs());
  }

  /** Number of slots that new work leaves to calls. */
  get callReserve(): number {
    this.presentCallReserve = callReserve(this.ports.slots(), this.callSlots, this.presentCallReserve);
    return this.presentCallReserve;
  }

  /** Registers that the back end is to produce an answer of the route for this owner, from now on. */
  expectAnswer(route: string, owner: Owner): void {
    this.link.accept(owner, this.answerBytes.averageOf(route, 0), this.workMs(route));
  }

  /** Records that a part of an expected answer has reached the link. */
  recordPassedOn(owner: Owner, bytes: number): void {
    this.link.recordPassedOn(owner, bytes);
  }

  /** Removes an expected answer that has reached the link, or will not be sent. */
  discardExpectedAnswer(owner: Owner): void {
    this.link.forget(owner);
  }

  /** Updates the estimates with a received answer. */
  recordAnswer({ route, usedMs, bytes, pace }: AnswerSample): void {
    this.recordPace(pace);
    this.workTimes.record(route, usedMs / this.currentPace);
    this.answerBytes.record(route, bytes);
  }

  private recordPace(reported: number | null): void {
    if (reported === null) return;
    const pace = clampPace(reported);
    if (pace === null) this.unreadablePaceReports += 1;
    else this.pace.record(pace, this.ports.nowMs());
  }
}
