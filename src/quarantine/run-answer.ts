/** Classification of runs by the status code of the back end's answer. */

const MIN_FAILURE_STATUS = 500;

/** The back end gave up at the deadline, possibly before it reached the code that crashes. */
const DEADLINE_STATUS = 504;

/** Returns the outcome of a run that the back end survived; null if the status code is no evidence. */
export function runOutcomeOf(statusCode: number): 'good' | 'failed' | null {
  if (statusCode < MIN_FAILURE_STATUS) return 'good';
  return statusCode === DEADLINE_STATUS ? null : 'failed';
}
