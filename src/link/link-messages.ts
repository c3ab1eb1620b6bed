/** Heads of the link frames that daemons exchange. */

/** First frame of the accepting side, which identifies its incarnation: `life` changes with each restart of the daemon. */
export interface HelloHead {
  readonly life: string;
  /** Whether the accepting side reads short heads, and sends them to a peer that has sent `compactHeads`; missing if not. */
  readonly compactHeads?: true;
}

/** What a call inherits from the request that waits for it. */
export interface NestedHead {
  /** Priority of the first request of the chain of calls; an integer from 0, the most urgent, to 100. */
  readonly priority: number;
  /** Time in ms for which the waiting request can still use the answer. */
  readonly remainingMs: number;
}

/** A forwarded request; its body follows the head. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating header names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** Id of the back-end instance that is to execute the request. */
  readonly instance: string;
  /** Key of the request; null if it has none. */
  readonly key: number | null;
  /** Name of the route; requests of one route are expected to take similar time. */
  readonly route: string;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Whether the request may be executed more than once. */
  readonly repeatable: boolean;
  /** Time in ms until the deadline of the request. */
  readonly remainingMs: number;
  /** Time in ms for which the request may wait for a slot regardless of the delay to its caller. */
  readonly patienceMs: number;
  /** Time in ms within which an answer has its full value, counted from the caller's current attempt. */
  readonly targetLeftMs: number;
  /** Time in ms that the caller has spent on earlier attempts. */
  readonly spentMs: number;
  /** Request limit of the back end per second, as the sending daemon knows it; missing if it knows of none. */
  readonly knownLimitPerSecond?: number;
  /** Room in bytes for the body of the answer, to which credit frames add; missing from daemons that send none. */
  readonly windowBytes?: number;
  /** Set for a call that a running request waits for; missing for new work, and from daemons that do not know it. */
  readonly nested?: NestedHead;
}

/** Credit for the answer to a request. */
export interface CreditHead {
  /** Further bytes of the body for which there is room. */
  readonly bytes: number;
}

/** Reason why a request was not executed. */
export type RefusalReason =
  /** No slot became free in time, or none is expected to. */
  | 'busy'
  /** No turn within the request limit that the back end has named becomes free in time. */
  | 'rate-limited'
  /** The back end is draining, or the daemon is stopping. */
  | 'leaving'
  /** The daemon serves a different back-end instance, or none yet. */
  | 'unknown-instance'
  /** The back end does not own the key. */
  | 'not-owner'
  /** The back end cannot be reached. */
  | 'unreachable'
  /** The caller withdrew the request before it was sent to the back end. */
  | 'cancelled'
  /** The back end answered that it did not execute the request. */
  | 'declined'
  /** Back ends that executed the request have crashed. */
  | 'quarantined'
  /** The daemon cannot read the request. */
  | 'unreadable';

/** Limited admission rate of a back end that is warming up or has named a request limit; times in ms. */
export interface PacingEstimate {
  /** Time until the next request may be sent. */
  readonly delayMs: number;
  /** Interval between further requests. */
  readonly intervalMs: number;
  /** Time for which the estimate is valid. */
  readonly leftMs: number;
}

/** Load of a back end, as measured by its daemon. */
export interface StatusHead {
  readonly instance: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Recent service time of a request at the back end, in ms. */
  readonly serviceMs: number;
  readonly accepting: boolean;
  /** Time in ms that a large answer waits at the daemon for the network link. */
  readonly sendWaitMs: number;
  /** Null while as many requests may be sent to the back end as it has slots. */
  readonly pacing: PacingEstimate | null;
  /** Request limit that the back end has named, per second; null while it is unknown, missing if there is none. */
  readonly limitPerSecond?: number | null;
  /** Current and mean service time as a multiple of the normal one; 1 if the back end does not report it. */
  readonly pace: number;
  readonly meanPace: number;
}

/** The request was not executed and never will be. */
export interface RefusalHead {
  readonly reason: RefusalReason;
  /** Whether the request reached the back end and was declined there. */
  readonly arrived: boolean;
  readonly retryAfterMs: number;
  readonly status: StatusHead | null;
  /** Time in ms until the daemon's network link has room for the answer; missing unless the link is the cause. */
  readonly linkFreeInMs?: number;
}

/** Reason why a request that may have been executed has no answer. */
export type FailureReason =
  /** The connection to the back end broke before the answer was complete. */
  | 'broken'
  /** The back end sent no valid answer to the request. */
  | 'garbled'
  /** The deadline passed. */
  | 'deadline';

/** The request may have been executed, and there is no answer. */
export interface FailureHead {
  readonly reason: FailureReason;
  readonly detail: string;
  readonly status: StatusHead | null;
}

/** Times of a request at the daemon beside the back end, in ms. */
export interface AnswerTiming {
  /** Time until the request was sent to the back end. */
  readonly waitedMs: number;
  /** Time from then until forwarding of the answer began. */
  readonly backendMs: number;
}

/** Start of an answer. */
export interface AnswerHead {
  readonly statusCode: number;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  /** Whether `body` and `end` frames follow. */
  readonly moreFollows: boolean;
  /** Length of the whole body in bytes; null if unknown. */
  readonly contentLength: number | null;
  /** Whether the back end delimited the body; if not, nothing but the end of its connection did. */
  readonly framed: boolean;
  /**
   * Set if the body is not framed and its sender confirms its end: before this head, or before the `end` frame if more follows.
   * Missing from daemons that do not confirm it; whether such an answer is whole is not known.
   */
  readonly endConfirmed?: true;
  /**
   * Set if more follows and the last byte of the stated length is sent only once the answer is known to be whole: that byte then
   * ends it, and an `end` frame says nothing more. Missing without a length, and from daemons that send such bytes as they come.
   */
  readonly endsWithLength?: true;
  readonly timing: AnswerTiming;
  readonly status: StatusHead | null;
  /** Whether the back end states in this answer that it leaves; missing if not. */
  readonly leaving?: true;
}
