/**
 * Encodes messages between replicas. Entries that are sent to several replicas are serialized once; large ones also if the
 * replicas are at different places of the log. The texts that are kept for this are limited in bytes.
 */
import { isJsonText, writeText } from '../model/value-text.js';
import { encodeFrame, encodeTextFrame } from '../transport/frame-codec.js';
import type { AppendRequest, LogEntry, RaftMessage } from './raft-types.js';

/** Limit of the kept texts of large entries, in characters. */
const MAX_KEPT_LENGTH = 1024 * 1024;

/**
 * Minimum length of a large entry and of the pieces of a frame, in characters. Smaller ones are joined, since writing many
 * pieces takes longer.
 */
const MIN_PIECE_LENGTH = 16 * 1024;

/** Encoder for the messages of one replica. */
export class RaftFrames {
  private lastEntries: readonly LogEntry[] = [];
  /** JSON of the entries of the last append, in pieces; null when JSON cannot represent them. */
  private lastPieces: readonly string[] | null = [];
  /** JSON of large entries, oldest first. */
  private readonly kept = new Map<LogEntry, string>();
  private keptLength = 0;

  /** Encodes one message as a frame. */
  encode(message: RaftMessage): Buffer {
    return message.kind === 'append-request' ? this.encodeAppend(message) : encodeFrame(message);
  }

  private encodeAppend(message: AppendRequest): Buffer {
    const { entries, ...head } = message;
    const pieces = this.encodeEntries(entries);
    if (pieces === null) return encodeFrame(message);
    return encodeTextFrame(`${JSON.stringify(head).slice(0, -1)},"entries":[`, ...pieces, ']}');
  }

  private encodeEntries(entries: readonly LogEntry[]): readonly string[] | null {
    if (areSameEntries(entries, this.lastEntries)) return this.lastPieces;
    const texts = entries.map((entry) => this.textOf(entry));
    this.lastPieces = texts.every(isJsonText) ? joinSmall(texts) : null;
    this.lastEntries = entries;
    return this.lastPieces;
  }

  private textOf(entry: LogEntry): string {
    const kept = this.kept.get(entry);
    if (kept !== undefined) return kept;
    const text = writeText(entry);
    if (text.length >= MIN_PIECE_LENGTH && text.length <= MAX_KEPT_LENGTH) this.keep(entry, text);
    return text;
  }

  private keep(entry: LogEntry, text: string): void {
    this.kept.set(entry, text);
    this.keptLength += text.length;
    for (const [oldest, { length }] of this.kept) {
      if (this.keptLength <= MAX_KEPT_LENGTH) return;
      this.kept.delete(oldest);
      this.keptLength -= length;
    }
  }
}

/** Joins texts with commas; small ones are combined into pieces, large ones are not copied. */
function joinSmall(texts: readonly string[]): string[] {
  const pieces: string[] = [];
  let piece = '';
  for (const [at, text] of texts.entries()) {
    if (at > 0) piece += ',';
    if (text.length >= MIN_PIECE_LENGTH) {
      pieces.push(piece, text);
      piece = '';
      continue;
    }
    piece += text;
    if (piece.length < MIN_PIECE_LENGTH) continue;
    pieces.push(piece);
    piece = '';
  }
  return piece === '' ? pieces : [...pieces, piece];
}

function areSameEntries(left: readonly LogEntry[], right: readonly LogEntry[]): boolean {
  return left.length === right.length && left.every((entry, at) => entry === right[at]);
}
