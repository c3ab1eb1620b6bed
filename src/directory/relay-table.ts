/** Maps the tokens of requests relayed to the leader to the daemons' connections, for routing the answers. */
import type { Connection } from '../runtime/runtime.js';

/** Maximum number of pending requests; the oldest is evicted first. */
const MAX_PENDING_REQUESTS = 4_096;

/** Pending relayed requests of one replica. */
export class RelayTable {
  private readonly waiting = new Map<number, Connection>();
  private nextToken = 1;

  /** Records the requesting connection and returns a new token. */
  add(connection: Connection): number {
    const token = this.nextToken;
    this.nextToken += 1;
    this.waiting.set(token, connection);
    if (this.waiting.size > MAX_PENDING_REQUESTS) this.evictOldest();
    return token;
  }

  /** Removes and returns the connection of a token; undefined when it was answered, evicted or discarded. */
  takeConnection(token: number): Connection | undefined {
    const connection = this.waiting.get(token);
    this.waiting.delete(token);
    return connection;
  }

  /** Discards the pending requests of a closed connection. */
  forget(connection: Connection): void {
    for (const [token, waiting] of this.waiting) {
      if (waiting === connection) this.waiting.delete(token);
    }
  }

  private evictOldest(): void {
    const oldest = this.waiting.keys().next();
    if (oldest.done !== true) this.waiting.delete(oldest.value);
  }
}
