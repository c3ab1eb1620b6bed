/**
 * Events of a replica that wait while its disk is busy, limited in bytes. Messages beyond the limit are dropped, as if the
 * network had lost them; proposals beyond it are refused. Heartbeats and answers are limited by their number only. Ticks,
 * votes and events of the replica itself always fit, since a replica must take part in elections whatever others send.
 */
import { valueBytes } from '../model/value-size.js';
import { entriesBytes } from './entry-size.js';
import type { RaftEvent, RaftMessage } from './raft-types.js';

/** Number of waiting events above which heartbeats, answers and small proposals are dropped as well. */
const MAX_EVENTS = 8_192;

/** Size in bytes assumed for an event without content that others choose. */
const SMALL_EVENT_BYTES = 256;

interface QueuedEvent {
  readonly event: RaftEvent;
  readonly bytes: number;
}

/** Queue of one replica. */
export class ReplicaQueue {
  private events: QueuedEvent[] = [];
  private queuedBytes = 0;
  /** Number of waiting events with content that others choose. */
  private largeEvents = 0;

  /**
   * @param maxBytes size in bytes of the events that may wait; a larger one fits if no other with content waits
   * @param maxBatchBytes size in bytes of the events that are taken at once; a single larger one is taken alone
   */
  constructor(
    private readonly maxBytes: number,
    private readonly maxBatchBytes: number,
  ) {}

  /** Number of waiting events. */
  get length(): number {
    return this.events.length;
  }

  /** Size of the waiting events in bytes. */
  get bytes(): number {
    return this.queuedBytes;
  }

  /** Adds an event; returns false if it was dropped. */
  push(event: RaftEvent): boolean {
    // While a disk write delays the queue, one pending tick is enough.
    if (event.kind === 'tick' && this.events.at(-1)?.event.kind === 'tick') return true;
    const bytes = eventBytes(event);
    if (!isIndispensable(event) && !this.hasRoomFor(bytes)) return false;
    this.events.push({ event, bytes });
    this.queuedBytes += bytes;
    if (isLarge(bytes)) this.largeEvents += 1;
    return true;
  }

  /** Removes and returns the next events, which share one disk sync. */
  takeBatch(): RaftEvent[] {
    let bytes = 0;
    let count = 0;
    for (const queued of this.events) {
      if (count > 0 && bytes + queued.bytes > this.maxBatchBytes) break;
      bytes += queued.bytes;
      count += 1;
      if (isLarge(queued.bytes)) this.largeEvents -= 1;
    }
    this.queuedBytes -= bytes;
    return this.events.splice(0, count).map(({ event }) => event);
  }

  private hasRoomFor(bytes: number): boolean {
    if (this.events.length >= MAX_EVENTS) return false;
    return !isLarge(bytes) || this.largeEvents === 0 || this.queuedBytes + bytes <= this.maxBytes;
  }
}

function isLarge(bytes: number): boolean {
  return bytes > SMALL_EVENT_BYTES;
}

function isIndispensable(event: RaftEvent): boolean {
  switch (event.kind) {
    case 'propose':
    case 'confirm-leadership':
      return false;
    case 'message':
      return event.message.kind === 'vote-request' || event.message.kind === 'vote-answer';
    default:
      return true;
  }
}

function eventBytes(event: RaftEvent): number {
  switch (event.kind) {
    case 'propose':
      return SMALL_EVENT_BYTES + valueBytes(event.command);
    case 'message':
      return SMALL_EVENT_BYTES + messageBytes(event.message);
    default:
      return SMALL_EVENT_BYTES;
  }
}

function messageBytes(message: RaftMessage): number {
  switch (message.kind) {
    case 'append-request':
      return entriesBytes(message.entries);
    case 'snapshot-request':
      return valueBytes(message.data);
    case 'snapshot-part':
      return message.content.length;
    default:
      return 0;
  }
}
