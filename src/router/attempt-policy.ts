/** Decides what follows an attempt that brought no answer: try again, or end the request, and how. */
import type { RefusalCode as BackendRefusalCode } from '../backend-contract/grant-messages.js';
import { refusal, type Refusal } from './refusal.js';

/** How an attempt ended without an answer for the caller. */
export type AttemptFailure =
  /** The back end says that it did not run the request. */
  | { readonly kind: 'refused'; readonly code: BackendRefusalCode; readonly retryAfterMs: number }
  /** No byte of the request was sent. `gone`: the connection was refused. */
  | { readonly kind: 'not-sent'; readonly gone: boolean }
  /** The request was sent, at least in part, and no answer began. */
  | { readonly kind: 'no-answer' }
  /** The deadline passed. */
  | { readonly kind: 'deadline-passed'; readonly sent: boolean };

/** What is known about the request itself. */
export interface AttemptContext {
  readonly repeatable: boolean;
  /** Whether the request's body is still here to be sent again. */
  readonly bodyAvailable: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  /** Time left before the deadline, in ms. */
  readonly remainingMs: number;
  /** Whether the budget allows one more attempt. Asked only when everything else does. */
  readonly takeRetry: () => boolean;
}

/** What follows. */
export type AttemptDecision =
  /** Try again at whoever owns the key after a newer table has come, or after `pauseMs`. */
  { readonly kind: 'retry'; readonly pauseMs: number } | { readonly kind: 'end'; readonly refusal: Refusal };

/** Attempts that one request may take. */
const MAX_ATTEMPTS = 8;

/** First pause before a retry, in ms; each further one is twice as long. */
const FIRST_PAUSE_MS = 5;

/** When to come back after a lost owner, in ms: about the rest of a session term and the new grant. */
export const OWNER_RETRY_AFTER_MS = 500;

/**
 * When to ask again about an unknown outcome, in ms. It mostly comes from an owner that has stopped answering, and
 * by the end of a usual deadline the new owner is near.
 */
const UNKNOWN_RETRY_AFTER_MS = OWNER_RETRY_AFTER_MS;

/** When to come back after a short overload, in ms. */
const OVERLOAD_RETRY_AFTER_MS = 50;

/** Decides what follows a failed attempt. */
export function decideAfterFailure(failure: AttemptFailure, context: AttemptContext): AttemptDecision {
  switch (failure.kind) {
    case 'refused':
      return afterRefusal(failure, context);
    case 'not-sent':
      if (canRetry(context) && context.takeRetry()) return retry(context);
      return end('owner-unreachable', 'the connection could not be opened', OWNER_RETRY_AFTER_MS);
    case 'no-answer':
      if (context.repeatable && canRetry(context) && context.takeRetry()) return retry(context);
      return end('outcome-unknown', 'the connection ended before the answer', UNKNOWN_RETRY_AFTER_MS);
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
      // The grant follows or precedes the table by a moment. Such a refusal costs the back end next to
      // nothing, so it is not charged to the retry budget; the owner wait limits it.
      if (canRetry(context)) return retry(context);
      return end('no-owner', `the back end answered ${failure.code}`, OWNER_RETRY_AFTER_MS);
    case 'draining':
      if (canRetry(context)) return { kind: 'retry', pauseMs: 0 };
      return end('no-owner', 'the back end is leaving', OWNER_RETRY_AFTER_MS);
    case 'overloaded':
      return end('overloaded', 'the back end is overloaded', failure.retryAfterMs || OVERLOAD_RETRY_AFTER_MS);
    case 'deadline-passed':
      return end('deadline-passed', 'the back end got the request too late', null);
    case 'freshness-unproven':
      return end('freshness-unproven', 'the record of earlier attempts was lost', null);
    case 'in-progress':
      return end('in-progress', 'ask again under the same key', UNKNOWN_RETRY_AFTER_MS);
  }
}

function afterDeadline(sent: boolean): AttemptDecision {
  if (!sent) return end('deadline-passed', 'the request was not sent in time', null);
  return end('outcome-unknown', 'the deadline passed before the answer', UNKNOWN_RETRY_AFTER_MS);
}

function canRetry(context: AttemptContext): boolean {
  return context.bodyAvailable && context.attempts < MAX_ATTEMPTS && context.remainingMs > 0;
}

function retry(context: AttemptContext): AttemptDecision {
  return { kind: 'retry', pauseMs: FIRST_PAUSE_MS * 2 ** Math.max(0, context.attempts - 1) };
}

function end(code: Refusal['code'], detail: string, retryAfterMs: number | null): AttemptDecision {
  return { kind: 'end', refusal: refusal(code, detail, retryAfterMs) };
}
