/** What the status of a back end's answer says of the run that it ends. */

const FIRST_FAILURE_STATUS = 500;

/** The back end gave up at the deadline, perhaps before it came to the harm. */
const DEADLINE_STATUS = 504;

/** Good and failed runs were outlived by the back end; null where the answer shows nothing. */
export function saysOfRun(statusCode: number): 'good' | 'failed' | null {
  if (statusCode < FIRST_FAILURE_STATUS) return 'good';
  return statusCode === DEADLINE_STATUS ? null : 'failed';
}
