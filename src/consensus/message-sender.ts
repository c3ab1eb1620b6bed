/**
 * Sends a replica's messages. Entries whose commands are only on disk are read back first; messages to the same peer stay in
 * order, and one at a time is loaded for each peer.
 */
import type { ReplicaStore } from '../storage/replica-store.js';
import { entryIsStored, loadEntries } from './stored-entries.js';
import type { RaftMessage, ReplicaId } from './raft-types.js';

/** Returns the message to send, or null if it cannot be sent any more. */
type LoadMessage = () => Promise<RaftMessage | null>;

/** Sender of one replica's messages. */
export class MessageSender {
  /** Messages that wait for a load, by peer; a peer is present while one of its messages is being loaded. */
  private readonly waiting = new Map<ReplicaId, (RaftMessage | LoadMessage)[]>();
  private stopped = false;

  constructor(
    private readonly store: Pick<ReplicaStore, 'readEntries'>,
    private readonly ports: { send(message: RaftMessage): void },
    private readonly onFailure: (error: unknown) => void,
  ) {}

  /** Sends a message after all earlier ones to the same peer. */
  send(message: RaftMessage): void {
    if (message.kind === 'append-request' && message.entries.some(entryIsStored)) {
      this.sendLater(message.to, async () => {
        const entries = await loadEntries(this.store, message.entries);
        return entries === null ? null : { ...message, entries };
      });
      return;
    }
    const queue = this.waiting.get(message.to);
    if (queue === undefined) this.ports.send(message);
    else queue.push(message);
  }

  /** Sends what `load` returns, after all earlier messages to the same peer. */
  sendLater(to: ReplicaId, load: LoadMessage): void {
    const queue = this.waiting.get(to);
    if (queue !== undefined) {
      queue.push(load);
      return;
    }
    this.waiting.set(to, [load]);
    void this.drain(to);
  }

  /** Sends nothing more. */
  stop(): void {
    this.stopped = true;
    this.waiting.clear();
  }

  private async drain(to: ReplicaId): Promise<void> {
    try {
      const queue = this.waiting.get(to) ?? [];
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        const message = typeof next === 'function' ? await next() : next;
        if (this.stopped) return;
        if (message !== null) this.ports.send(message);
      }
      this.waiting.delete(to);
    } catch (error) {
      if (!this.stopped) this.onFailure(error);
    }
  }
}
