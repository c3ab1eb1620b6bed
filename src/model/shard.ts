/** Mapping of keys to shards, and the ownership record of a shard. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Returns the shard of a key: xxHash32 of `service`, a zero byte and the key, modulo the number of shards. */
export function shardOfKey(service: string, key: string, shards: number): number {
  return hasher.h32(`${service}\0${key}`) % shards;
}

/** Ownership of one shard. */
export interface ShardRow {
  readonly shard: number;
  /** Incremented on every change of owner; 0 before the first. */
  readonly epoch: number;
  /** Back end that owns it, or null. */
  readonly owner: string | null;
  /** Session under which the owner holds it; 0 without an owner. */
  readonly session: number;
  /** Target back end of a planned move in progress, or null. */
  readonly movingTo: string | null;
  /** Index of the log entry that began the move, which identifies late reports of earlier moves; 0 without a move. */
  readonly moveId: number;
  /**
   * Wall-clock time in ms. An idempotency key first used before it cannot be proven unused, because the window of
   * claimed keys was lost with an earlier owner. 0 if no window was lost.
   */
  readonly freshAfterMs: number;
}

/** Creates the row of a shard that has never had an owner. */
export function emptyShardRow(shard: number): ShardRow {
  return { shard, epoch: 0, owner: null, session: 0, movingTo: null, moveId: 0, freshAfterMs: 0 };
}
