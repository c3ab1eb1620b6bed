/** Which shard a key belongs to. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Shard of a key: xxHash32 of `service`, a zero byte and the key, modulo the number of shards. */
export function shardOfKey(service: string, key: string, shards: number): number {
  return hasher.h32(`${service}\0${key}`) % shards;
}

/** Ownership of one shard. */
export interface ShardRow {
  readonly shard: number;
  /** Rises with every change of owner; 0 before the first. */
  readonly epoch: number;
  /** Back end that owns it, or null. */
  readonly owner: string | null;
  /** Session under which the owner holds it; 0 without owner. */
  readonly session: number;
  /** Back end that a planned move is taking it to, or null. */
  readonly movingTo: string | null;
  /** Index of the log entry that began the move; tells a late report from that of an earlier move. 0 without one. */
  readonly moveId: number;
  /**
   * Wall-clock time in ms: an idempotency key first used before this cannot be proven fresh, since the
   * window of claimed keys was lost with an earlier owner. 0 when no window was lost.
   */
  readonly freshAfterMs: number;
}

/** Row of a shard that nobody has owned yet. */
export function emptyShardRow(shard: number): ShardRow {
  return { shard, epoch: 0, owner: null, session: 0, movingTo: null, moveId: 0, freshAfterMs: 0 };
}
