/** Retry policy: decides whether a failed attempt is retried or ends the request with a refusal. */
import type { RefusalCode as BackendRefusalCode } from '../backend-contract/grant-messages.js';
import { createRefusal, type Refusal } from './refusal.js';

/** Why an attempt produced no answer for the caller. */
export type AttemptFailure =
  /** The back end refused the request without running it. */
  | { readonly kind: 'refused'; readonly code: BackendRefusalCode; readonly retryAfterMs: number }
  /** No byte of the request was sent; `gone` is true if the connection was refused. */
  | { readonly kind: 'not-sent'; readonly gone: boolean }
  /** The request was sent, at least in part, but no answer started. */
  | { readonly kind: 'no-answer' }
  /** An answer started and broke off, and nothing of it was passed on. */
  | { readonly kind: 'broken-answer' }
  /** The deadline passed; `sent` is true if the request may have reached the back end, `answering` if its answer had started. */
  | { readonly kind: 'deadline-passed'; readonly sent: boolean; readonly answering?: boolean };

/** Properties of the request that the retry decision depends on. */
export interface AttemptContext {
  readonly repeatable: boolean;
  /** Whether the request body is still available for another attempt. */
  readonly bodyAvailable: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  /** Time left before the deadline, in ms. */
  readonly remainingMs: number;
  /** Consumes one retry from the budget; false if none is left. Called only if every other condition allows a retry. */
  readonly tryConsumeRetry: () => boolean;
}

/** Outcome of the retry decision. */
export type AttemptDecision =
  /** Retry at the current owner of the key, after a table update or after `backoffMs`, whichever comes first. */
  | { readonly kind: 'retry'; readonly backoffMs: number }
  | { readonly kind: 'end'; readonly refusal: Refusal };

/** Maximum number of attempts per request. */
const MAX_ATTEMPTS = 8;

/** Backoff before the first retry, in ms; doubles with every further retry. */
const INITIAL_BACKOFF_MS = 5;

/**
 * Retry-after in ms when the owner of a key is lost: roughly the rest of its session term plus the time to grant the
 * shard to a new owner.
 */
export const OWNER_RETRY_AFTER_MS = 500;

/**
 * Retry-after in ms when the outcome is unknown. The usual cause is an owner that has stopped answering, and by the
 * end of a typical deadline a new owner is about to be granted the shard.
 */
const UNKNOWN_RETRY_AFTER_MS = OWNER_RETRY_AFTER_MS;

/** Retry-after in ms for an overloaded back end that states none itself. */
const OVERLOAD_RETRY_AFTER_MS = 50;

/** Decides whether to retry after a failed attempt or to end the request. */
export function decideAfterFailure(failure: AttemptFailure, context: AttemptContext): AttemptDecision {
  switch (failure.kind) {
    case 'refused':
      return afterRefusal(failure, context);
    case 'not-sent':
      if (canRetry(context) && context.tryConsumeRetry()) return retryWithBackoff(context);
      return endWithRefusal('owner-unreachable', 'the connection could not be opened', OWNER_RETRY_AFTER_MS);
    case 'no-answer':
    case 'broken-answer':
      if (context.repeatable && canRetry(context) && context.tryConsumeRetry())
        return retryWithBackoff(context);
      return endWithRefusal(
        'outcome-unknown',
        failure.kind === 'no-answer' ? 'the connection ended before the answer' : 'the answer broke off',
        UNKNOWN_RETRY_AFTER_MS,
      );
    case 'deadline-passed':
      return afterDeadline(failure.sent);
  }
}

function afterRefusal(
  failure: Extract<AttemptFailure, { kind: 'refused' }>,
  context: AttemptContext,
): AttemptDecision {
  switch (failure.code) {
    case 'not-owner':
    case 'lease-expired':
    case 'releasing':
      // Grant and table are briefly out of step. Such a refusal costs the back end almost nothing, so it is
      // not charged to the retry budget; the maximum owner wait limits these retries.
      if (canRetry(context)) return retryWithBackoff(context);
      return endWithRefusal('no-owner', `the back end answered ${failure.code}`, OWNER_RETRY_AFTER_MS);
    case 'draining':
      if (canRetry(context)) return { kind: 'retry', backoffMs: 0 };
      return endWithRefusal('no-owner', 'the back end is leaving', OWNER_RETRY_AFTER_MS);
    case 'overloaded':
      return endWithRefusal(
        'overloaded',
        'the back end is overloaded',
        failure.retryAfterMs || OVERLOAD_RETRY_AFTER_MS,
      );
    case 'deadline-passed':
      return endWithRefusal('deadline-passed', 'the back end got the request too late', null);
    case 'freshness-unproven':
      return endWithRefusal('freshness-unproven', 'the record of earlier attempts was lost', null);
    case 'in-progress':
      return endWithRefusal('in-progress', 'ask again under the same key', UNKNOWN_RETRY_AFTER_MS);
  }
}

function afterDeadline(sent: boolean): AttemptDecision {
  if (!sent) return endWithRefusal('deadline-passed', 'the request was not sent in time', null);
  return endWithRefusal('outcome-unknown', 'the deadline passed before the answer', UNKNOWN_RETRY_AFTER_MS);
}

function canRetry(context: AttemptContext): boolean {
  return context.bodyAvailable && context.attempts < MAX_ATTEMPTS && context.remainingMs > 0;
}

function retryWithBackoff(context: AttemptContext): AttemptDecision {
  return { kind: 'retry', backoffMs: INITIAL_BACKOFF_MS * 2 ** Math.max(0, context.attempts - 1) };
}

function endWithRefusal(code: Refusal['code'], detail: string, retryAfterMs: number | null): AttemptDecision {
  return { kind: 'end', refusal: createRefusal(code, detail, retryAfterMs) };
}
