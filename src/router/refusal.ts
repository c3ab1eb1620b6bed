/** Answers of the router itself for requests that it could not complete, with their outcome and retry hint. */

/** Why a request was not completed. */
export type RefusalCode =
  | 'malformed-request'
  | 'unknown-service'
  | 'missing-key'
  | 'no-owner'
  | 'owner-unreachable'
  | 'overloaded'
  | 'rate-limited'
  | 'deadline-passed'
  | 'not-ready'
  | 'freshness-unproven'
  | 'in-progress'
  | 'quarantined'
  | 'outcome-unknown';

/** Whether the request is known not to have been executed. */
export type Outcome = 'not-run' | 'unknown';

/** Final answer of the router in place of the back end's. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly detail: string;
  /** Time in ms after which to retry; null if a retry cannot succeed. */
  readonly retryAfterMs: number | null;
}

interface RefusalRule {
  readonly status: number;
  readonly outcome: Outcome;
  readonly title: string;
}

const REFUSAL_RULES: Readonly<Record<RefusalCode, RefusalRule>> = {
  'malformed-request': { status: 400, outcome: 'not-run', title: 'The request cannot be read' },
  'unknown-service': { status: 404, outcome: 'not-run', title: 'No such service' },
  'missing-key': { status: 400, outcome: 'not-run', title: 'The request names no key' },
  'no-owner': { status: 503, outcome: 'not-run', title: 'The key has no owner at present' },
  'owner-unreachable': { status: 503, outcome: 'not-run', title: 'The owner of the key cannot be reached' },
  overloaded: { status: 503, outcome: 'not-run', title: 'All slots are taken' },
  'rate-limited': {
    status: 503,
    outcome: 'not-run',
    title: 'The back end accepts no more requests at present',
  },
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

/** Response header with the outcome of a refused request. */
export const OUTCOME_HEADER = 'aldertide-outcome';

/** Response header with the time after which to retry, in ms; `Retry-After` gives it in whole seconds. */
export const RETRY_AFTER_MS_HEADER = 'aldertide-retry-after-ms';

const MS_PER_SECOND = 1_000;

/** Creates a refusal; its outcome follows from the code. */
export function createRefusal(code: RefusalCode, detail: string, retryAfterMs: number | null): Refusal {
  return { code, outcome: REFUSAL_RULES[code].outcome, detail, retryAfterMs };
}

/** HTTP response for a refusal, with a problem+json body (RFC 9457). */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Converts a refusal to an HTTP response. */
export function refusalResponse(refused: Refusal): RefusalResponse {
  const rule = REFUSAL_RULES[refused.code];
  const body = JSON.stringify({
    type: `urn:aldertide:refusal:${refused.code}`,
    title: rule.title,
    status: rule.status,
    detail: refused.detail,
    outcome: refused.outcome,
    retryAfterMs: refused.retryAfterMs,
  });
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'content-length': String(Buffer.byteLength(body)),
    [OUTCOME_HEADER]: refused.outcome,
  };
  if (refused.retryAfterMs !== null) {
    const retryAfterMs = Math.max(1, Math.round(refused.retryAfterMs));
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
    headers[RETRY_AFTER_MS_HEADER] = String(retryAfterMs);
  }
  return { status: rule.status, headers, body };
}
