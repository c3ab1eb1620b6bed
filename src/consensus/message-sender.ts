/**
 * Sends a replica's messages. Entries whose commands are only on disk are read back first; messages to the same peer stay in
 * order, and one at a time is loaded for each peer.
 */
import type { ReplicaStore } from '../storage/replica-store.js';
import { entryIsStored, loadEntries } from './stored-entries.js';
import type { AppendRequest, RaftMessage, ReplicaId } from './raft-types.js';

/** Sender of one replica's messages. */
export class MessageSender {
  /** Messages that wait for a read, by peer; a peer is present while one of its messages is being completed. */
  private readonly waiting = new Map<ReplicaId, RaftMessage[]>();
  private stopped = false;

  constructor(
    private readonly store: Pick<ReplicaStore, 'readEntries'>,
    private readonly ports: { send(message: RaftMessage): void },
    private readonly onFailure: (error: unknown) => void,
  ) {}

  /** Sends a message after all earlier ones to the same peer. */
  send(message: RaftMessage): void {
    const queue = this.waiting.get(message.to);
    if (queue !== undefined) queue.push(message);
    else if (isComplete(message)) this.ports.send(message);
    else void this.sendInOrder(message.to, [message]);
  }

  /** Sends nothing more. */
  stop(): void {
    this.stopped = true;
    this.waiting.clear();
  }

  private async sendInOrder(to: ReplicaId, queue: RaftMessage[]): Promise<void> {
    this.waiting.set(to, queue);
    try {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        const message = isComplete(next) ? next : await this.complete(next);
        if (this.stopped) return;
        if (message !== null) this.ports.send(message);
      }
      this.waiting.delete(to);
    } catch (error) {
      if (!this.stopped) this.onFailure(error);
    }
  }

  /** Returns the message with all commands; null if the log has discarded an entry in the meantime. */
  private async complete(message: AppendRequest): Promise<AppendRequest | null> {
    const entries = await loadEntries(this.store, message.entries);
    return entries === null ? null : { ...message, entries };
  }
}

function isComplete(message: RaftMessage): message is Exclude<RaftMessage, AppendRequest> {
  return message.kind !== 'append-request' || !message.entries.some(entryIsStored);
}
