/** Encodes messages between replicas; entries sent to several replicas are serialized only once. */
import { isJsonText, writeText } from '../model/value-text.js';
import { encodeFrame, encodeTextFrame } from '../transport/frame-codec.js';
import type { AppendRequest, LogEntry, RaftMessage } from './raft-types.js';

/** Encoder for the messages of one replica. */
export class RaftFrames {
  private lastEntries: readonly LogEntry[] = [];
  /** JSON of the entries of the last append; null when JSON cannot represent them. */
  private lastText: string | null = '[]';

  /** Encodes one message as a frame. */
  encode(message: RaftMessage): Buffer {
    return message.kind === 'append-request' ? this.encodeAppend(message) : encodeFrame(message);
  }

  private encodeAppend(message: AppendRequest): Buffer {
    const { entries, ...head } = message;
    const text = this.encodeEntries(entries);
    if (text === null) return encodeFrame(message);
    return encodeTextFrame(`${JSON.stringify(head).slice(0, -1)},"entries":${text}}`);
  }

  private encodeEntries(entries: readonly LogEntry[]): string | null {
    if (areSameEntries(entries, this.lastEntries)) return this.lastText;
    const texts = entries.map(writeText);
    this.lastText = texts.every(isJsonText) ? `[${texts.join(',')}]` : null;
    this.lastEntries = entries;
    return this.lastText;
  }
}

function areSameEntries(left: readonly LogEntry[], right: readonly LogEntry[]): boolean {
  return left.length === right.length && left.every((entry, at) => entry === right[at]);
}
