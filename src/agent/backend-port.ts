/** What an agent needs of its back end. Every outcome is a value; nothing behind this retries. */
import type { Claim, Grant, HolderAnswer } from '../backend-contract/grant-messages.js';
import type { Result } from '../result.js';

/** Why a call failed. */
export type BackendCallError =
  /** Nothing listens there: the process is gone, and its grants with it. */
  | { readonly kind: 'gone' }
  /** No answer: the back end may be frozen and may still hold its grants. */
  | { readonly kind: 'no-answer'; readonly detail: string }
  /** It answered that this agent no longer holds it, or that it cannot do this. */
  | { readonly kind: 'refused'; readonly status: number };

/** The back end's side of the contract; see `grant-messages.ts`. Times are ms of the machine's monotonic clock. */
export interface BackendPort {
  /** Makes this agent the only holder; earlier grants have ended once this returns. */
  takeHolder(): Promise<Result<HolderAnswer, BackendCallError>>;
  /** Lengthens all grants. */
  extendLease(deadlineMs: number): Promise<Result<HolderAnswer, BackendCallError>>;
  /** Adds grants. */
  addGrants(deadlineMs: number, grants: readonly Grant[]): Promise<Result<unknown, BackendCallError>>;
  /** Ends grants at once. */
  revoke(shards: readonly number[]): Promise<Result<unknown, BackendCallError>>;
  /** Stops admitting to a shard, waits for what is running and returns the claimed keys. */
  release(shard: number, epoch: number): Promise<Result<{ window: Claim[] }, BackendCallError>>;
  /** Tells the back end that it is leaving, or that it stays. */
  setDraining(draining: boolean): Promise<Result<unknown, BackendCallError>>;
  /** Closes the connections. */
  close(): Promise<void>;
}
