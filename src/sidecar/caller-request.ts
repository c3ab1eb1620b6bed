/** A caller's request, its possible outcomes and the sink that receives them. */
import type { AnswerHead } from '../link/link-messages.js';
import type { CallParent } from './nested-calls.js';
import type { Route } from './route-table.js';

/** A validated request, ready to be forwarded. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Header names and values alternately, ready to be forwarded. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly route: Route;
  readonly service: string;
  readonly key: number | null;
  /** Time in ms from arrival for which the caller waits. */
  readonly deadlineMs: number;
  /** Estimated time in ms that the caller has spent on earlier attempts. */
  readonly spentMs: number;
  readonly arrivedMs: number;
  /** The request of the local back end that waits for this one; null for new work. */
  readonly parent: CallParent | null;
}

/** Reason given for refusing a quarantined request. */
export const QUARANTINE_REASON = 'back ends have ended under this request; it is not run again';

/** Outcome of a request that ends without an answer of a back end. */
export type UnansweredOutcome =
  /** The request was not run and will not be. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number }
  /** The request was not run and must not be retried: it has ended the back ends that ran it. */
  | { readonly kind: 'quarantined'; readonly reason: string }
  /** The request may have run. */
  | { readonly kind: 'unknown'; readonly reason: string; readonly timedOut: boolean };

/** Receives the outcome of a request. Exactly one final call is made, unless the request is cancelled. */
export interface CallerSink {
  /**
   * Starts the answer; final if no more of the body follows. `onTaken` is called once the connection has taken the body, or
   * it is discarded; not if the connection closes.
   */
  answer(head: AnswerHead, body: Buffer, onTaken?: () => void): void;
  /** Passes on a further part of the body; `onTaken` is called once the connection has taken it. */
  body(chunk: Buffer, onTaken?: () => void): void;
  /** Final: the answer is complete. */
  end(): void;
  /** Whether further requests of the caller wait behind the answer, so that they would end with it. */
  hasRequestsBehind(): boolean;
  /**
   * The deadline of an answer that has begun has passed. Calls back once when no request behind it has time left, unless the request
   * ends before.
   */
  overdue(onExpendable: () => void): void;
  /** Final: the answer was interrupted after it had started. */
  abort(): void;
  /** Final: no back end answered. */
  fail(outcome: UnansweredOutcome): void;
}

/** Handle of a request that is being forwarded. */
export interface RequestHandle {
  /** Cancels the request after its caller has disconnected. */
  cancel(): void;
  /** Starts forwarding the request; missing if nothing is to be started. */
  start?(): void;
  /** Time in ms until the deadline of the request; missing if it has none. */
  leftMs?(): number;
}
