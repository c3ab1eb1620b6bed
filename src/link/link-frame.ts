/**
 * Wire format of the links between daemons. Requests are multiplexed over one connection, each as a numbered stream.
 * A frame is
 * `length of the rest (4 bytes) | kind (1) | stream (4) | length of the head (4) | head | body`, big-endian;
 * the head is JSON, or its short form (`head-codec.ts`) if the high bit of the kind is set; the body is raw bytes. Heads
 * contain only strings, finite numbers, booleans, null, arrays and objects, and are most of what a daemon reads and
 * writes, so they are encoded with Node's built-in JSON rather than `devalue` (measurements in docs/DESIGN.md).
 */
import { Err, Ok, type Result } from '../result.js';

const LENGTH_PREFIX_BYTES = 4;
const FIXED_FIELDS_BYTES = 9;

/** Bytes of a frame besides its head and body. */
export const FRAME_OVERHEAD_BYTES = LENGTH_PREFIX_BYTES + FIXED_FIELDS_BYTES;

/** Bit of the kind that marks a head in short form. */
const SHORT_HEAD_BIT = 0x80;

/** Maximum size of a received frame in bytes, including the length prefix. */
export const MAX_LINK_FRAME_BYTES = 80 * 1024 * 1024;

/** Kinds of frames, by their number on the wire. */
export const FRAME_KIND = {
  /** First frame of a connection, sent by the accepting side. */
  hello: 1,
  /** A complete request. */
  request: 2,
  /** The caller has disconnected or given up. */
  cancel: 3,
  /** The request was not executed and never will be. */
  refusal: 4,
  /** The request may have been executed, and there is no answer. */
  failure: 5,
  /** An answer; complete unless its head says that more of the body follows. */
  answer: 6,
  /** A further part of an answer's body. */
  body: 7,
  /** End of an answer's body. */
  end: 8,
  /** Load of the back end. */
  status: 9,
  /** Liveness check; answered with a pong. */
  ping: 10,
  /** Answer to a ping. */
  pong: 11,
  /** Query for the load of the back end; answered with a status. */
  probe: 12,
  /** Withdraws a request whose execution has not begun, which is then refused; not answered otherwise. */
  withdraw: 13,
  /** Last frame of a stopping daemon: it has not executed, and never will, any request that it has not answered. */
  goodbye: 14,
  /** The receiver of an answer has room for more of its body. */
  credit: 15,
  /** The connecting side reads and sends short heads; sent only if the hello states the same of the accepting side. */
  compactHeads: 16,
} as const;

/** Number of a frame's kind on the wire. */
export type FrameKind = (typeof FRAME_KIND)[keyof typeof FRAME_KIND];

/** A decoded frame. */
export interface LinkFrame {
  readonly kind: number;
  readonly stream: number;
  /** Undefined when the frame has no head, or none that is readable. */
  readonly head: unknown;
  readonly body: Buffer;
}

/** Reason why a byte stream could not be decoded; the connection must then be closed. */
export type LinkFrameError = 'frame-too-large' | 'unreadable-head';

const EMPTY_BODY = Buffer.alloc(0);

/** Encodes a frame with a plain head up to its body; the body must be written right after it. */
export function encodeFrameStart(kind: FrameKind, stream: number, head: unknown, bodyBytes: number): Buffer {
  return encodeTextFrameStart(kind, stream, head === undefined ? '' : JSON.stringify(head), bodyBytes);
}

/** Like `encodeFrameStart`, for a head that is given as JSON. */
export function encodeTextFrameStart(
  kind: FrameKind,
  stream: number,
  text: string,
  bodyBytes: number,
): Buffer {
  const headBytes = Buffer.byteLength(text);
  const start = allocateFrameStart(kind, stream, headBytes, bodyBytes);
  start.write(text, FRAME_OVERHEAD_BYTES);
  return start;
}

/** Encodes a frame with a short head up to its body; the body must be written right after it. */
export function encodeShortFrameStart(
  kind: FrameKind,
  stream: number,
  head: Buffer,
  bodyBytes: number,
): Buffer {
  const start = allocateFrameStart(kind + SHORT_HEAD_BIT, stream, head.length, bodyBytes);
  head.copy(start, FRAME_OVERHEAD_BYTES);
  return start;
}

function allocateFrameStart(kind: number, stream: number, headBytes: number, bodyBytes: number): Buffer {
  const start = Buffer.allocUnsafe(FRAME_OVERHEAD_BYTES + headBytes);
  start.writeUInt32BE(FIXED_FIELDS_BYTES + headBytes + bodyBytes, 0);
  start.writeUInt8(kind, LENGTH_PREFIX_BYTES);
  start.writeUInt32BE(stream, LENGTH_PREFIX_BYTES + 1);
  start.writeUInt32BE(headBytes, LENGTH_PREFIX_BYTES + 5);
  return start;
}

/** Returns the JSON of a short head of a kind of frame; called in the order of the frames. */
export type DecodeShortHead = (kind: number, short: Buffer) => Result<Buffer, LinkFrameError>;

/** Rejects short heads, for a receiver that has not stated that it reads them. */
const REJECT_SHORT_HEAD: DecodeShortHead = () => Err('unreadable-head');

/** Incremental decoder that splits a byte stream into frames. */
export class LinkFrameDecoder {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  /** Size in bytes of the frame being received, including the length prefix; 0 while unknown. */
  private neededBytes = 0;

  constructor(private readonly decodeShortHead: DecodeShortHead = REJECT_SHORT_HEAD) {}

  /** Appends received bytes and returns the frames that they complete. */
  push(chunk: Buffer): Result<LinkFrame[], LinkFrameError> {
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    const frames: LinkFrame[] = [];
    while (this.pendingBytes >= Math.max(LENGTH_PREFIX_BYTES, this.neededBytes)) {
      const bytes = this.concatPending();
      const frameBytes = LENGTH_PREFIX_BYTES + bytes.readUInt32BE(0);
      if (frameBytes > MAX_LINK_FRAME_BYTES) return Err('frame-too-large');
      if (frameBytes < LENGTH_PREFIX_BYTES + FIXED_FIELDS_BYTES) return Err('unreadable-head');
      if (bytes.length < frameBytes) {
        this.neededBytes = frameBytes;
        break;
      }
      const frame = readFrame(bytes.subarray(LENGTH_PREFIX_BYTES, frameBytes), this.decodeShortHead);
      if (frame.err) return frame;
      frames.push(frame.val);
      this.retain(bytes.subarray(frameBytes));
    }
    return Ok(frames);
  }

  private concatPending(): Buffer {
    const first = this.pending[0];
    if (first !== undefined && this.pending.length === 1) return first;
    const all = Buffer.concat(this.pending, this.pendingBytes);
    this.pending = [all];
    return all;
  }

  private retain(rest: Buffer): void {
    this.pending = rest.length > 0 ? [rest] : [];
    this.pendingBytes = rest.length;
    this.neededBytes = 0;
  }
}

function readFrame(bytes: Buffer, decodeShortHead: DecodeShortHead): Result<LinkFrame, LinkFrameError> {
  const markedKind = bytes.readUInt8(0);
  const kind = markedKind % SHORT_HEAD_BIT;
  const stream = bytes.readUInt32BE(1);
  const headEnd = FIXED_FIELDS_BYTES + bytes.readUInt32BE(5);
  if (headEnd > bytes.length) return Err('unreadable-head');
  const body = headEnd === bytes.length ? EMPTY_BODY : bytes.subarray(headEnd);
  if (headEnd === FIXED_FIELDS_BYTES) return Ok({ kind, stream, head: undefined, body });
  const headBytes = bytes.subarray(FIXED_FIELDS_BYTES, headEnd);
  const text = markedKind === kind ? Ok(headBytes) : decodeShortHead(kind, headBytes);
  if (text.err) return text;
  return Ok({ kind, stream, head: parseHead(text.val), body });
}

/** Returns the head; undefined if it is not readable, which concerns its stream only: the next frame is found without it. */
function parseHead(text: Buffer): unknown {
  try {
    return JSON.parse(text.toString('utf8'));
  } catch {
    return undefined;
  }
}
