/** What a back end and the daemon beside it tell each other, in the product's own terms. */
import type { BackendCondition } from '../directory/directory-state.js';

/** Keys that a back end holds under a fence. */
export interface HeldRange {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
}

/** Keys that a back end has let go, and what it left for the next holder. */
export interface ReleasedRange {
  readonly from: number;
  readonly to: number;
  readonly handover: string;
}

/** One heartbeat of a back end. */
export interface BackendHeartbeat {
  /** Name that the back end goes by; another life may go by the same. */
  readonly id: string;
  /** When this life started, in ms of its machine's wall clock; null where it does not tell. */
  readonly bornMs: number | null;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly condition: BackendCondition;
  /** Version of its software; empty where it tells none. */
  readonly version: string;
  /** Rises with every heartbeat of one life. */
  readonly sequence: number;
  /** Time in ms for which it stays cold, from when it sent this; null when it did not tell. */
  readonly coldLeftMs: number | null;
  /** Null where grants do not travel in heartbeats. */
  readonly holds: readonly HeldRange[] | null;
  readonly released: readonly ReleasedRange[];
}

/** A range that a back end is to hold, with what its last holder left. */
export interface GrantedRange extends HeldRange {
  readonly handover: string;
}

/** Everything that a back end is to hold. */
export interface HeartbeatGrant {
  readonly ranges: readonly GrantedRange[];
  /** Counted from when the heartbeat was sent, in ms. */
  readonly holdMs: number;
}

/**
 * What became of a grant: it came to a life that goes by another id (misdirected), nobody listened at the address so that it
 * was never sent (not-sent), or it was sent and may still be taken (unanswered).
 */
export type GrantResult = 'granted' | 'superseded' | 'misdirected' | 'not-sent' | 'unanswered';

/** What a back end tells of itself when it is asked. */
export interface BackendIdentity {
  /** Id that it goes by; null when it does not tell. */
  readonly id: string | null;
  /** When it started, in ms of its machine's wall clock; null when it does not tell. */
  readonly bornMs: number | null;
  /** Whether it says that it is well and stays. */
  readonly isWell: boolean;
  /** Time in ms for which it stays cold; null when it does not tell. */
  readonly coldLeftMs: number | null;
}

/**
 * Calls to a back end: grants of keys where they are sent in calls, and a question. A call that names the id it is meant for
 * is carried out by no other.
 */
export interface BackendCalls {
  /** Asks at a path who it is; null when there was no answer. */
  identify(path: string): Promise<BackendIdentity | null>;
  /** Grants a range for `holdMs` from when the call arrives; the same call again renews it. */
  grant(id: string, range: GrantedRange, holdMs: number): Promise<GrantResult>;
  /** Takes a range back; the handover comes once nothing runs on it. Null when it was not answered, or misdirected. */
  release(id: string, range: HeldRange): Promise<string | null>;
}
