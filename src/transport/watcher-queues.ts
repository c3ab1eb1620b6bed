/**
 * Accounts for the frames that are queued for watchers and that their connections have not yet taken. A frame is shared by all
 * watchers and counted once, for as long as any of them has it in its queue.
 */
import type { Connection } from '../runtime/runtime.js';

/** Frames of one watcher that may still be in its queue, oldest first. */
interface WatcherQueue {
  frames: Buffer[];
  /** Size of `frames`. */
  bytes: number;
}

/** The queues of all watchers of one replica. */
export class WatcherQueues {
  private readonly queues = new Map<Connection, WatcherQueue>();
  /** Number of queues that hold a frame. */
  private readonly holders = new Map<Buffer, number>();
  private heldBytes = 0;

  constructor(
    /** Limit in bytes of the frames in all queues, and so of each queue. */
    private readonly limitBytes: number,
  ) {}

  /** Size in bytes of the frames that are in any queue. */
  get bytes(): number {
    return this.heldBytes;
  }

  /** Queues a frame for a watcher. */
  send(watcher: Connection, frame: Buffer): void {
    const queue = this.queues.get(watcher) ?? { frames: [], bytes: 0 };
    this.queues.set(watcher, queue);
    queue.frames.push(frame);
    queue.bytes += frame.length;
    this.hold(frame);
    watcher.sendEncoded(frame);
    // The connection closes itself when too much is queued, and its queue is then removed.
    if (this.queues.get(watcher) === queue) this.removeSent(watcher, queue);
  }

  /** Removes the queue of a watcher whose connection has closed. */
  remove(watcher: Connection): void {
    const queue = this.queues.get(watcher);
    this.queues.delete(watcher);
    for (const frame of queue?.frames ?? []) this.release(frame);
  }

  /**
   * Removes and returns the watchers that are to be disconnected: those with the longest queues, as many as are needed to bring the
   * queues below the limit. A single frame may be larger than the limit, and is sent all the same.
   */
  removeSlow(): Connection[] {
    const slow: Connection[] = [];
    if (this.heldBytes <= this.limitBytes) return slow;
    for (const [watcher, queue] of this.queues) this.removeSent(watcher, queue);
    const slowestFirst = [...this.queues].sort(([, a], [, b]) => b.bytes - a.bytes);
    for (const [watcher, { bytes }] of slowestFirst) {
      if (bytes === 0 || this.heldBytes <= this.limitBytes || this.holders.size <= 1) break;
      this.remove(watcher);
      slow.push(watcher);
    }
    return slow;
  }

  /** Removes the frames that have left a queue. It is first in, first out, so that its last bytes are those sent last. */
  private removeSent(watcher: Connection, queue: WatcherQueue): void {
    const queuedBytes = watcher.queuedBytes ?? 0;
    let sent = 0;
    for (const frame of queue.frames) {
      if (queue.bytes - frame.length < queuedBytes) break;
      queue.bytes -= frame.length;
      this.release(frame);
      sent += 1;
    }
    if (sent > 0) queue.frames = queue.frames.slice(sent);
  }

  private hold(frame: Buffer): void {
    const count = this.holders.get(frame) ?? 0;
    if (count === 0) this.heldBytes += frame.length;
    this.holders.set(frame, count + 1);
  }

  private release(frame: Buffer): void {
    const count = this.holders.get(frame) ?? 0;
    if (count > 1) {
      this.holders.set(frame, count - 1);
      return;
    }
    this.holders.delete(frame);
    this.heldBytes -= frame.length;
  }
}
