/**
 * Admission to a slow network link by the time at which the link will have sent an answer. Handles overload by large
 * answers: what the link cannot send in time is refused before the work is done, and what it can is never refused
 * because the back end is slow. Pure functions; all times are in ms from now.
 */
import { policyIsOn } from '../policy-switches.js';

/** An answer that the link is expected to send. */
export interface ExpectedAnswer {
  /** Time until the back end has produced it; 0 or less if that is overdue. */
  readonly readyInMs: number;
  /** Time that the link takes to send it. */
  readonly sendingMs: number;
}

/** Expected course of the answer to a request. */
export interface AnswerForecast extends ExpectedAnswer {
  /** Time until the link has sent everything that is ahead of the answer. */
  readonly queueMs: number;
  /** Time left to answer within the target latency. */
  readonly targetLeftMs: number;
}

/** Whether the link has room for an answer. */
export type LinkDecision =
  | { readonly kind: 'accept' }
  /** The queue of the link leaves no room for the answer until `freeInMs` from now. */
  | { readonly kind: 'refuse'; readonly freeInMs: number };

const ACCEPT: LinkDecision = { kind: 'accept' };

/**
 * Factor on the estimated wait for the link, since sizes vary and small frames arrive in bursts. Filling the queue up to
 * the target makes most answers late without carrying more of them, and a queue half as long keeps the link as busy. The
 * answer's own time has no margin: it is the same on every link.
 */
const LINK_WAIT_MARGIN = 2;

/** Returns the wait for the link to plan with, given the estimated one. */
export function plannedLinkWaitMs(estimatedMs: number): number {
  return policyIsOn('link-margin') ? estimatedMs * LINK_WAIT_MARGIN : estimatedMs;
}

/**
 * Returns the time until the link has sent its backlog and the expected answers that will be ready within `untilMs`. The
 * link drains while an answer is being produced, so an expected answer delays others only from when it is ready. 0 if
 * the link is idle: nothing is queued, and the expected answers leave some of the time until then unused.
 */
export function queueEndMs(backlogMs: number, expected: readonly ExpectedAnswer[], untilMs: number): number {
  const expectedMs = expected.reduce((sumMs, { sendingMs }) => sumMs + sendingMs, 0);
  if (backlogMs === 0 && expectedMs < untilMs) return 0;
  const ahead = expected
    .filter(({ readyInMs }) => readyInMs <= untilMs)
    .sort((left, right) => left.readyInMs - right.readyInMs);
  return ahead.reduce((endMs, { readyInMs, sendingMs }) => Math.max(endMs, readyInMs) + sendingMs, backlogMs);
}

/** Returns the time for which a finished answer waits until the link has sent what is ahead of it. */
export function linkWaitMs(readyInMs: number, queueMs: number): number {
  return Math.max(0, queueMs - readyInMs);
}

/**
 * Decides whether the link has room for an answer. Only a wait for the link is a cause to refuse, never the time that
 * the work takes. An answer that would be late on an idle link too has room behind one of its size: more of them would
 * delay answers that can be in time, and none would leave the link unused.
 */
export function decideOnLink(answer: AnswerForecast): LinkDecision {
  const { readyInMs, sendingMs, queueMs, targetLeftMs } = answer;
  const waitMs = linkWaitMs(readyInMs, queueMs);
  const slackMs = targetLeftMs - readyInMs - sendingMs;
  const roomMs = Math.max(slackMs / plannedLinkWaitMs(1), sendingMs);
  return waitMs <= roomMs ? ACCEPT : { kind: 'refuse', freeInMs: waitMs - roomMs };
}
