/**
 * Short form of frame heads on one connection: JSON, compressed with raw deflate (RFC 1951) and a dictionary. The first
 * dictionary of each kind of frame is fixed. Heads that it compresses badly are learned: both ends use them as the
 * dictionary of later heads of that kind. A short head is
 * `number of learned heads in its dictionary (low 7 bits), whether it is learned itself (high bit) | deflate data`.
 *
 * Frames of a paced connection are written in another order than they are encoded in. So each head names its dictionary,
 * dictionaries only grow, and a head is learned only if its frame is certain to be written before all later ones.
 */
import { deflateRawSync, inflateRawSync, type ZlibOptions } from 'node:zlib';
import { Err, Ok, type Result } from '../result.js';
import { INITIAL_DICTIONARIES } from './head-dictionaries.js';
import type { LinkFrameError } from './link-frame.js';

/** Maximum size in bytes of the JSON of a short head; longer heads are sent as plain JSON. It also bounds decompression. */
export const MAX_SHORT_HEAD_BYTES = 16 * 1024;

/** Maximum number of learned heads of each kind of frame: one for each of the usual routes of a connection. */
const MAX_LEARNED_HEADS = 3;

/** Maximum size in bytes of the beginning of a head that is learned; that of three heads fits in the window. */
const MAX_LEARNED_BYTES = 1_200;

/** Size of a short head, as a share of its JSON, from which on it is learned; a second head of one route takes 0.2. */
const MIN_LEARNED_SHARE = 0.27;

/** Window of 4 KiB (a power of 2) and small tables, which take less time to set up than the heads to compress. */
const WINDOW: ZlibOptions = { windowBits: 12, memLevel: 2, chunkSize: 1_024 };

const LEARNED_BIT = 0x80;
const PREFIX_BYTES = 1;

/** Dictionaries of one kind of frame, the same at both ends of a connection. */
class HeadDictionaries {
  /** Dictionaries by the number of learned heads in them. */
  private readonly dictionaries: Buffer[];

  constructor(kind: number) {
    this.dictionaries = [INITIAL_DICTIONARIES.get(kind) ?? Buffer.alloc(0)];
  }

  get learnedCount(): number {
    return this.dictionaries.length - 1;
  }

  /** Returns the dictionary with a number of learned heads; undefined if fewer are learned. */
  get(learnedCount: number): Buffer | undefined {
    return this.dictionaries[learnedCount];
  }

  /** Learns the beginning of a head. Learned heads contain all of the initial dictionary that is of use. */
  learn(text: Buffer): void {
    const previous = this.learnedCount === 0 ? [] : this.dictionaries.slice(-1);
    this.dictionaries.push(Buffer.concat([...previous, text.subarray(0, MAX_LEARNED_BYTES)]));
  }
}

/** Dictionaries of one direction of a connection, by kind of frame. */
class ConnectionDictionaries {
  private readonly byKind = new Map<number, HeadDictionaries>();

  of(kind: number): HeadDictionaries {
    const existing = this.byKind.get(kind);
    if (existing !== undefined) return existing;
    const dictionaries = new HeadDictionaries(kind);
    this.byKind.set(kind, dictionaries);
    return dictionaries;
  }
}

/** Encodes the heads that one side of a connection sends. */
export class HeadEncoder {
  private readonly dictionaries = new ConnectionDictionaries();

  /**
   * Returns the short form of a head given as JSON; null if it is not shorter or the head is too long. `mayLearn` states
   * that the frame is written before all frames that are encoded later, whatever its head takes up to the size of `text`.
   */
  encode(kind: number, text: Buffer, mayLearn: boolean): Buffer | null {
    if (text.length > MAX_SHORT_HEAD_BYTES) return null;
    const dictionaries = this.dictionaries.of(kind);
    const count = dictionaries.learnedCount;
    const dictionary = dictionaries.get(count);
    const data = deflateRawSync(text, { ...WINDOW, dictionary });
    const bytes = PREFIX_BYTES + data.length;
    if (bytes >= text.length) return null;
    const learns = mayLearn && count < MAX_LEARNED_HEADS && bytes > text.length * MIN_LEARNED_SHARE;
    if (learns) dictionaries.learn(text);
    const short = Buffer.allocUnsafe(bytes);
    short.writeUInt8(count + (learns ? LEARNED_BIT : 0), 0);
    data.copy(short, PREFIX_BYTES);
    return short;
  }
}

/** Decodes the short heads that one side of a connection receives, in the order of their frames on the wire. */
export class HeadDecoder {
  private readonly dictionaries = new ConnectionDictionaries();

  /** Returns the JSON of a short head. */
  decode(kind: number, short: Buffer): Result<Buffer, LinkFrameError> {
    const prefix = short[0];
    if (prefix === undefined) return Err('unreadable-head');
    const dictionaries = this.dictionaries.of(kind);
    const count = prefix % LEARNED_BIT;
    const learns = prefix >= LEARNED_BIT;
    const dictionary = dictionaries.get(count);
    const mayLearn = count === dictionaries.learnedCount && count < MAX_LEARNED_HEADS;
    if (dictionary === undefined || (learns && !mayLearn)) return Err('unreadable-head');
    const text = inflateHead(short.subarray(PREFIX_BYTES), dictionary);
    if (text.ok && learns) dictionaries.learn(text.val);
    return text;
  }
}

function inflateHead(data: Buffer, dictionary: Buffer): Result<Buffer, LinkFrameError> {
  try {
    return Ok(inflateRawSync(data, { ...WINDOW, dictionary, maxOutputLength: MAX_SHORT_HEAD_BYTES }));
  } catch {
    return Err('unreadable-head');
  }
}
