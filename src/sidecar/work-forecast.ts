/**
 * What a request is expected to need at one back end: work, places that it must leave free, and time on the network link
 * for its answer. Learned from the answers that came.
 */
import type { RequestHead } from '../link/link-messages.js';
import type { LinkPacer } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';
import { BackendPace, believedPace } from './backend-pace.js';
import { LinkWaitEstimator } from './link-outlook.js';
import {
  wouldMissTargetOnLink,
  lateReserve,
  plannedLinkTimeMs,
  queueRank,
  SHORT_WORK_RANK,
  shortWorkReserve,
  type RequestTimeLimits,
} from './place-policy.js';
import { RouteAverages } from './route-means.js';

/** What a forecast needs of its gateway. */
export interface WorkForecastPorts {
  nowMs(): number;
  /** Time in ms that any request is to be expected to keep its place. */
  serviceMs(): number;
  /** Places at the back end. */
  slots(): number;
  /** Paces large answers; null where the network link is fast. */
  readonly pacer: LinkPacer | null;
}

/** How an answer ended that is learned from. */
export interface LearnedAnswer {
  readonly route: string;
  /** Time in ms for which it kept its place. */
  readonly usedMs: number;
  readonly bytes: number;
  /** How long work takes there, as a factor; null when the answer did not tell, NaN when it could not be read. */
  readonly pace: number | null;
}

/** The forecast of one back end. `Owner` names who will send an answer. */
export class WorkForecast<Owner> {
  readonly pace = new BackendPace();
  /** Figures that the back end told and that could not be read; they count as not told. */
  unreadableFigures = 0;
  /** At the usual pace. */
  private readonly times = new RouteAverages();
  private readonly answerBytes = new RouteAverages();
  private readonly link: LinkWaitEstimator<Owner>;

  constructor(private readonly ports: WorkForecastPorts) {
    this.link = new LinkWaitEstimator(ports.pacer);
  }

  /** How long work takes now, as a factor on the usual. */
  get paceNow(): number {
    return this.pace.at(this.ports.nowMs()).now;
  }

  /** Time in ms until the network link is free of what waits for it and of what was accepted. */
  get sendWaitMs(): number {
    return this.link.waitMs;
  }

  /** Time in ms that a request of the route is to be expected to work. */
  workMs(route: string): number {
    const usualMs = this.times.averageOf(route, NaN);
    return Number.isNaN(usualMs) ? this.ports.serviceMs() : usualMs * this.paceNow;
  }

  /** Time in ms that an answer of the route will need on the network link, behind those that wait for it. */
  sendMs(route: string, owner: Owner | null): number {
    return this.link.sendMs(owner, this.answerBytes.averageOf(route, 0), this.workMs(route));
  }

  /** The answer must have passed the network link by the time that its caller tells. */
  claimOf(head: RequestHead, owner: Owner | null): RequestTimeLimits {
    const sendMs = plannedLinkTimeMs(this.sendMs(head.route, owner));
    if (sendMs === 0) return head;
    const { patienceMs, spentMs } = head;
    const remainingMs = head.remainingMs - sendMs;
    return { remainingMs, patienceMs, targetLeftMs: head.targetLeftMs - sendMs, spentMs };
  }

  /** Whether the network link, which others wait for, would make a large answer late that is accepted now. */
  isTooLateForLink(head: RequestHead, owner: Owner): boolean {
    const claim = this.claimOf(head, owner);
    return claim !== head && wouldMissTargetOnLink(claim, this.link.waitMs, this.workMs(head.route));
  }

  /** The same of one that was accepted and has waited for its place. */
  hasMissedLink(head: RequestHead, owner: Owner, waitedMs: number): boolean {
    if (!policyIsOn('link-margin')) return false;
    const claim = this.claimOf(head, owner);
    if (claim === head) return false;
    const present = { ...claim, targetLeftMs: claim.targetLeftMs - waitedMs };
    return wouldMissTargetOnLink(present, this.link.waitMsExcluding(owner), this.workMs(head.route));
  }

  /** Rank of a request; short work goes first. */
  rankOf({ priority, route }: RequestHead): number {
    if (!policyIsOn('short-work-first')) return priority;
    const meanMs = this.times.averageOf(route, this.ports.serviceMs());
    return queueRank(priority, meanMs, this.times.largest);
  }

  /** Places that a request leaves free for short work, where this back end has lately had any. */
  reserveOf(head: RequestHead): number {
    if (!policyIsOn('short-work-reserve') || this.rankOf(head) === SHORT_WORK_RANK) return 0;
    const { smallest, largest } = this.times;
    const hasShortWork = smallest > 0 && queueRank(head.priority, smallest, largest) === SHORT_WORK_RANK;
    return hasShortWork ? shortWorkReserve(this.ports.slots()) : 0;
  }

  /** Places that a request which will be late leaves free; late short work still ends somebody's wait elsewhere. */
  lateReserveOf(head: RequestHead): number {
    if (!policyIsOn('late-reserve') || this.rankOf(head) === SHORT_WORK_RANK) return this.reserveOf(head);
    return Math.max(lateReserve(this.ports.slots()), this.reserveOf(head));
  }

  /** An answer of the route will come from this owner. */
  expectAnswer(route: string, owner: Owner): void {
    this.link.accept(owner, this.answerBytes.averageOf(route, 0));
  }

  /** The answer is on the link, or will not come. */
  forgetAnswer(owner: Owner): void {
    this.link.forget(owner);
  }

  /** An answer came. */
  learn({ route, usedMs, bytes, pace }: LearnedAnswer): void {
    this.notePace(pace);
    this.times.record(route, usedMs / this.paceNow);
    this.answerBytes.record(route, bytes);
  }

  private notePace(told: number | null): void {
    if (told === null) return;
    const pace = believedPace(told);
    if (pace === null) this.unreadableFigures += 1;
    else this.pace.note(pace, this.ports.nowMs());
  }
}
