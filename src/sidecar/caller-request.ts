/** A caller's request, and where its outcome goes. */
import type { AnswerHead } from '../link/link-messages.js';
import type { Route } from './route-table.js';

/** A caller's request. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn, ready to be passed on. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly route: Route;
  readonly service: string;
  readonly key: number | null;
  /** Time that the caller waits, in ms from arrival. */
  readonly deadlineMs: number;
  /** Time in ms that the caller has spent on earlier tries, as far as can be told. */
  readonly spentMs: number;
  readonly arrivedMs: number;
}

/** Why a quarantined request is not run. */
export const QUARANTINE_REASON = 'back ends have ended under this request; it is not run again';

/** How a request ends without a back end's answer. */
export type GivenUp =
  /** It was not run and never will be. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number }
  /** It was not run and must not be sent again: it has ended the back ends that ran it. */
  | { readonly kind: 'quarantined'; readonly reason: string }
  /** It may have run. */
  | { readonly kind: 'unknown'; readonly reason: string; readonly timedOut: boolean };

/** Where the outcome goes. Exactly one final call is made, unless the request was cancelled. */
export interface CallerSink {
  /** The answer begins; final when nothing more follows. */
  answer(head: AnswerHead, body: Buffer): void;
  body(chunk: Buffer): void;
  /** Final: the answer is whole. */
  end(): void;
  /** Final: the answer broke off after it had begun. */
  breakOff(): void;
  /** Final: there is no answer. */
  giveUp(outcome: GivenUp): void;
}
