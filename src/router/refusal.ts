/** How a router ends a request that it could not complete: what is known, and when to come back. */

/** Why a request was not completed. */
export type RefusalCode =
  | 'malformed-request'
  | 'unknown-service'
  | 'missing-key'
  | 'no-owner'
  | 'owner-unreachable'
  | 'overloaded'
  | 'deadline-passed'
  | 'not-ready'
  | 'freshness-unproven'
  | 'in-progress'
  | 'quarantined'
  | 'outcome-unknown';

/** What is known about the execution of the request. */
export type Outcome = 'not-run' | 'unknown';

/** A final answer in place of the back end's. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly detail: string;
  /** When to come back, in ms; null when coming back cannot help. */
  readonly retryAfterMs: number | null;
}

interface RefusalRule {
  readonly status: number;
  readonly outcome: Outcome;
  readonly title: string;
}

const RULES: Readonly<Record<RefusalCode, RefusalRule>> = {
  'malformed-request': { status: 400, outcome: 'not-run', title: 'The request cannot be read' },
  'unknown-service': { status: 404, outcome: 'not-run', title: 'No such service' },
  'missing-key': { status: 400, outcome: 'not-run', title: 'The request names no key' },
  'no-owner': { status: 503, outcome: 'not-run', title: 'The key has no owner at present' },
  'owner-unreachable': { status: 503, outcome: 'not-run', title: 'The owner of the key cannot be reached' },
  overloaded: { status: 503, outcome: 'not-run', title: 'All slots are taken' },
  'deadline-passed': { status: 504, outcome: 'not-run', title: 'The deadline passed before the request ran' },
  'not-ready': { status: 503, outcome: 'not-run', title: 'The router has no table yet' },
  'freshness-unproven': {
    status: 409,
    outcome: 'unknown',
    title: 'An earlier attempt under this key may have run at a lost owner',
  },
  'in-progress': { status: 409, outcome: 'unknown', title: 'An earlier attempt under this key is running' },
  quarantined: { status: 400, outcome: 'not-run', title: 'Back ends have ended under this request' },
  'outcome-unknown': { status: 504, outcome: 'unknown', title: 'The request may or may not have run' },
};

/** Header that says what is known about the execution. */
export const OUTCOME_HEADER = 'aldertide-outcome';

/** Header with the time after which to come back, in ms; `Retry-After` gives it in whole seconds. */
export const RETRY_AFTER_MS_HEADER = 'aldertide-retry-after-ms';

const MS_PER_SECOND = 1_000;

/** Makes a refusal. */
export function refusal(code: RefusalCode, detail: string, retryAfterMs: number | null): Refusal {
  return { code, outcome: RULES[code].outcome, detail, retryAfterMs };
}

/** A refusal as an HTTP answer with a problem+json body (RFC 9457). */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Writes a refusal as an HTTP answer. */
export function refusalResponse(given: Refusal): RefusalResponse {
  const rule = RULES[given.code];
  const body = JSON.stringify({
    type: `urn:aldertide:refusal:${given.code}`,
    title: rule.title,
    status: rule.status,
    detail: given.detail,
    outcome: given.outcome,
    retryAfterMs: given.retryAfterMs,
  });
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'content-length': String(Buffer.byteLength(body)),
    [OUTCOME_HEADER]: given.outcome,
  };
  if (given.retryAfterMs !== null) {
    const retryAfterMs = Math.max(1, Math.round(given.retryAfterMs));
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
    headers[RETRY_AFTER_MS_HEADER] = String(retryAfterMs);
  }
  return { status: rule.status, headers, body };
}
