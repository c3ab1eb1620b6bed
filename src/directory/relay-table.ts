/** Daemons whose requests were passed on to the leader, by the token that the leader's answer carries. */
import type { Connection } from '../runtime/runtime.js';

/** Requests that are remembered; the oldest is forgotten first. */
const REMEMBERED = 4_096;

/** Requests under way of one replica. */
export class RelayTable {
  private readonly waiting = new Map<number, Connection>();
  private nextToken = 1;

  /** Remembers who asked; returns the token. */
  add(connection: Connection): number {
    const token = this.nextToken;
    this.nextToken += 1;
    this.waiting.set(token, connection);
    if (this.waiting.size > REMEMBERED) this.forgetOldest();
    return token;
  }

  /** Who asked, once; undefined when that is not known any more. */
  take(token: number): Connection | undefined {
    const connection = this.waiting.get(token);
    this.waiting.delete(token);
    return connection;
  }

  /** A daemon's connection has closed. */
  forget(connection: Connection): void {
    for (const [token, waiting] of this.waiting) {
      if (waiting === connection) this.waiting.delete(token);
    }
  }

  private forgetOldest(): void {
    const oldest = this.waiting.keys().next();
    if (oldest.done !== true) this.waiting.delete(oldest.value);
  }
}
