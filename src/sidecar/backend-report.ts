/** Messages between a back end and its daemon, independent of the wire format. */
import type { BackendCondition } from '../directory/directory-state.js';
import type { BackendSignals } from './backend-signals.js';

/** Range of keys that a back end holds under a fence. */
export interface HeldRange {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
}

/** Range of keys that a back end has released, and the handover data it left for the next holder. */
export interface ReleasedRange {
  readonly from: number;
  readonly to: number;
  readonly handover: string;
}

/** One heartbeat of a back end. */
export interface BackendHeartbeat {
  /** Id of the back end; other incarnations may use the same id. */
  readonly id: string;
  /** Start time of this incarnation, in ms of its machine's wall clock; null if not reported. */
  readonly bornMs: number | null;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly condition: BackendCondition;
  /** Software version; empty if not reported. */
  readonly version: string;
  /** Increases with every heartbeat of an incarnation. */
  readonly sequence: number;
  /** Time in ms, from the sending of the heartbeat, for which the back end stays cold; null if not reported. */
  readonly coldLeftMs: number | null;
  /** Ranges that the back end holds; null if grants are not sent in heartbeat answers. */
  readonly holds: readonly HeldRange[] | null;
  readonly released: readonly ReleasedRange[];
}

/** Range granted to a back end, with the handover data of its previous holder. */
export interface GrantedRange extends HeldRange {
  readonly handover: string;
}

/** All ranges granted to a back end. */
export interface HeartbeatGrant {
  readonly ranges: readonly GrantedRange[];
  /** Duration of the grant in ms, counted from when the heartbeat was sent. */
  readonly holdMs: number;
}

/**
 * Outcome of a grant call. `misdirected`: it reached an incarnation with another id. `not-sent`: no process
 * listened at the address. `unanswered`: it was sent and may still be applied. `superseded`: the back end has seen
 * a higher fence.
 */
export type GrantResult = 'granted' | 'superseded' | 'misdirected' | 'not-sent' | 'unanswered';

/** Answer of a back end to an identity probe. */
export interface BackendIdentity {
  /** Id of the back end; null if not reported. */
  readonly id: string | null;
  /** Start time in ms of its machine's wall clock; null if not reported. */
  readonly bornMs: number | null;
  /** Whether the back end has rejected the probe, because it is not the one that the probe names. */
  readonly isOther: boolean;
  /** Whether the back end reports that it is healthy and not leaving. */
  readonly isHealthy: boolean;
  /** Time in ms for which the back end stays cold; null if not reported. */
  readonly coldLeftMs: number | null;
  /** What the answer to the probe states, like any other answer. */
  readonly signals: BackendSignals;
}

/**
 * Calls to a back end: identity probes, and grants and releases of keys if those are made by calls. A back end
 * rejects a call that names another id.
 */
export interface BackendCalls {
  /**
   * Queries at a path whether the back end of an id is there; null if there was no answer. Back ends with another id reject the
   * call, which takes no slot there.
   */
  identify(path: string, id: string): Promise<BackendIdentity | null>;
  /** Grants a range for `holdMs`, counted from when the call arrives. Repeating the call renews the grant. */
  grant(id: string, range: GrantedRange, holdMs: number): Promise<GrantResult>;
  /**
   * Revokes a range; resolves to the handover data once no request runs on it, or to null if the call was not
   * answered or was misdirected.
   */
  release(id: string, range: HeldRange): Promise<string | null>;
}
