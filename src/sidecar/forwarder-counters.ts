/** Counters of the requests that one sidecar has received from callers. */
import type { AnswerFault } from './caller-answer.js';
import type { UnansweredCause } from './unanswered-request.js';

/** Classes of ended requests by the number of refusals. */
const REFUSAL_CLASSES = ['0', '1', '2-3', '4-7', '8+'] as const;

/** Minimum number of refusals of each class after the first. */
const CLASS_MIN_REFUSALS = [1, 2, 4, 8] as const;

/** A class of ended requests by the number of refusals. */
export type RefusalClass = (typeof REFUSAL_CLASSES)[number];

/** Counters of all requests of a sidecar. */
export interface ForwarderCounters {
  attempts: number;
  repeats: number;
  answered: number;
  notRun: number;
  unknown: number;
  cancelled: number;
  /** Requests whose callers had left before these were forwarded. */
  leftUnread: number;
  /** Requests refused permanently because they have ended the back ends that ran them. */
  quarantined: number;
  /** Refusals whose time until a network link has room could not be read. */
  unreadableLinkTimes: number;
  /** Answers that callers did not receive as the back end gave them, by reason. */
  readonly answerFaults: Record<AnswerFault, number>;
  /** Requests whose connections this daemon closed without a whole answer. */
  readonly unanswered: Record<UnansweredCause, number>;
  /** Ended requests that were callers' retries. */
  returned: number;
  /** Callers' retries that were answered. */
  returnedAnswered: number;
  /** Ended requests by the number of sidecars that refused them. */
  readonly byRefusals: Record<RefusalClass, number>;
}

/** Creates counters that are all zero. */
export function createForwarderCounters(): ForwarderCounters {
  return {
    attempts: 0,
    repeats: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    cancelled: 0,
    leftUnread: 0,
    quarantined: 0,
    unreadableLinkTimes: 0,
    answerFaults: { 'length-mismatch': 0, unwritable: 0, incomplete: 0, 'connection-closed': 0 },
    unanswered: { 'behind-close': 0, 'connection-closed': 0, 'partly-read': 0 },
    returned: 0,
    returnedAnswered: 0,
    byRefusals: { '0': 0, '1': 0, '2-3': 0, '4-7': 0, '8+': 0 },
  };
}

/** Counts an ended request in the class of its number of refusals. */
export function countRefusals(counters: ForwarderCounters, refusals: number): void {
  const classIndex = CLASS_MIN_REFUSALS.filter((start) => refusals >= start).length;
  counters.byRefusals[REFUSAL_CLASSES[classIndex] ?? '8+'] += 1;
}
