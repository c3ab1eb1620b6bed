/** Interface of an agent to its back end. Errors are returned as values; implementations never retry. */
import type { Claim, Grant, HolderAnswer } from '../backend-contract/grant-messages.js';
import type { Result } from '../result.js';

/** Why a call failed. */
export type BackendCallError =
  /** Connection refused: the process has ended, and so have its grants. */
  | { readonly kind: 'gone' }
  /** No answer: the back end may be frozen and may still hold its grants. */
  | { readonly kind: 'no-answer'; readonly detail: string }
  /** The back end answered that this agent is no longer its holder, or that it cannot perform the call. */
  | { readonly kind: 'refused'; readonly status: number };

/** Contract API of a back end; see `grant-messages.ts`. Times are in ms of the machine's monotonic clock. */
export interface BackendPort {
  /** Makes this agent the only holder; all earlier grants have ended when this succeeds. */
  takeHolder(): Promise<Result<HolderAnswer, BackendCallError>>;
  /** Extends all grants to a new deadline. */
  extendLease(deadlineMs: number): Promise<Result<HolderAnswer, BackendCallError>>;
  /** Adds grants. */
  addGrants(deadlineMs: number, grants: readonly Grant[]): Promise<Result<unknown, BackendCallError>>;
  /** Ends grants immediately. */
  revoke(shards: readonly number[]): Promise<Result<unknown, BackendCallError>>;
  /** Stops admission to a shard, waits for its requests in flight and returns the claimed keys. */
  release(shard: number, epoch: number): Promise<Result<{ window: Claim[] }, BackendCallError>>;
  /** Starts or stops draining the back end. */
  setDraining(draining: boolean): Promise<Result<unknown, BackendCallError>>;
  /** Closes all connections. */
  close(): Promise<void>;
}
