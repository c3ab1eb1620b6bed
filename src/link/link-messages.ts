/** Heads of the frames between daemons. */

/** First frame of the accepting side: who it is. A daemon that was started anew has another `life`. */
export interface HelloHead {
  readonly life: string;
}

/** A request that is passed on; its body follows the head. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn, without those that concern one connection only. */
  readonly headers: readonly string[];
  /** Back end that is to run it. */
  readonly instance: string;
  /** Key of the request, or null. */
  readonly key: number | null;
  /** Name of its route; requests of one route take about the same time. */
  readonly route: string;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Time left for the whole request, in ms. */
  readonly remainingMs: number;
  /** Time for which the request may wait for a place whatever it costs its caller, in ms. */
  readonly patienceMs: number;
  /** Time left until an answer loses its full value, in ms, counted from this try of its caller. */
  readonly targetLeftMs: number;
  /** Time in ms that its caller has spent on earlier tries. */
  readonly spentMs: number;
}

/** Why a request was not run. */
export type RefusalReason =
  /** No place came free in time, or none would. */
  | 'busy'
  /** The back end is leaving, or the daemon is stopping. */
  | 'leaving'
  /** The daemon has another back end beside it, or none yet. */
  | 'unknown-instance'
  /** The back end does not own the key. */
  | 'not-owner'
  /** The back end cannot be reached. */
  | 'unreachable'
  /** The caller took the request back before it was sent. */
  | 'cancelled'
  /** The back end itself says that it did not run the request. */
  | 'declined'
  /** It has ended the back ends that ran it. */
  | 'quarantined';

/** How soon a cold back end takes further requests, in ms. */
export interface ColdStartOutlook {
  /** Until the next request may be sent. */
  readonly delayMs: number;
  /** Between requests. */
  readonly intervalMs: number;
  /** For which it is still cold, as far as is known. */
  readonly leftMs: number;
}

/** How busy a back end is, as its daemon sees it. */
export interface StatusHead {
  readonly instance: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Recent time that a request took at the back end, in ms. */
  readonly serviceMs: number;
  readonly accepting: boolean;
  /** Time in ms that a large answer waits there for the network link. */
  readonly sendWaitMs: number;
  /** Null while it may be sent as many requests as it has places. */
  readonly coldStart: ColdStartOutlook | null;
  /** How long work takes there at this moment, and in the mean, as factors on the usual; 1 where it is not told. */
  readonly pace: number;
  readonly meanPace: number;
}

/** The request was not run and never will be. */
export interface RefusalHead {
  readonly reason: RefusalReason;
  /** Whether the request reached the back end, which declined it. */
  readonly arrived: boolean;
  readonly retryAfterMs: number;
  readonly status: StatusHead | null;
}

/** Why there is no answer to a request that may have run. */
export type FailureReason =
  /** The connection to the back end broke before the answer was whole. */
  | 'broken'
  /** What came back is no answer to this request. */
  | 'garbled'
  /** The time was up. */
  | 'deadline';

/** The request may have run, and there is no answer. */
export interface FailureHead {
  readonly reason: FailureReason;
  readonly detail: string;
  readonly status: StatusHead | null;
}

/** How the daemon beside the back end spent its time on a request, in ms. */
export interface AnswerTiming {
  /** Until the request was sent to the back end. */
  readonly waitedMs: number;
  /** From then on until the answer began to be passed on. */
  readonly backendMs: number;
}

/** The beginning of an answer. */
export interface AnswerHead {
  readonly statusCode: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Whether `body` and `end` frames follow. */
  readonly moreFollows: boolean;
  /** Length of the whole body in bytes; null when it is not known yet. */
  readonly contentLength: number | null;
  /** Whether the back end said where its answer ends; otherwise it is passed on to end with its connection too. */
  readonly framed: boolean;
  readonly timing: AnswerTiming;
  readonly status: StatusHead | null;
}
