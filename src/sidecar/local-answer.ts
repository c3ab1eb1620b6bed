/** Answers that a sidecar itself generates. */
import type { UnansweredOutcome } from './caller-request.js';

/** An answer that the sidecar itself generates. */
export interface LocalAnswer {
  readonly statusCode: number;
  readonly retryAfterMs: number | null;
  readonly reason: string;
}

/** HTTP statuses of the answers that the sidecar itself generates. */
export const LOCAL_STATUS = {
  badRequest: 400,
  /** A client error, so that callers do not retry. */
  quarantined: 400,
  noRoute: 404,
  /** The request did not arrive in time, and was not run. */
  requestTimeout: 408,
  bodyTooLarge: 413,
  headersTooLarge: 431,
  unknownOutcome: 502,
  notRun: 503,
  deadlinePassed: 504,
} as const;

/** Creates an answer without a retry-after time. */
export function localAnswer(statusCode: number, reason: string): LocalAnswer {
  return { statusCode, reason, retryAfterMs: null };
}

/** Returns the answer to a request that ended without an answer of a back end. */
export function localAnswerFor(outcome: UnansweredOutcome): LocalAnswer {
  if (outcome.kind === 'not-run') {
    const { reason, retryAfterMs } = outcome;
    return { statusCode: LOCAL_STATUS.notRun, reason, retryAfterMs };
  }
  if (outcome.kind === 'quarantined') return localAnswer(LOCAL_STATUS.quarantined, outcome.reason);
  const statusCode = outcome.timedOut ? LOCAL_STATUS.deadlinePassed : LOCAL_STATUS.unknownOutcome;
  return localAnswer(statusCode, outcome.reason);
}
