/**
 * Frames between daemons that pass requests to each other. Many requests share one connection; each is a stream
 * with a number of its own. A frame is
 * `length of the rest (4 bytes) | kind (1) | stream (4) | length of the head (4) | head | body`, big-endian;
 * the head is JSON, the body is raw. Heads hold nothing but text, finite numbers, booleans, null and lists, and they are
 * most of what a daemon reads and writes, so Node's own JSON serves them rather than `devalue` (figures in
 * docs/DESIGN.md).
 */
import { Err, Ok, type Result } from '../result.js';

const LENGTH_BYTES = 4;
const FIXED_BYTES = 9;

/** Longest frame that is accepted, in bytes. */
export const MAX_LINK_FRAME_BYTES = 80 * 1024 * 1024;

/** What a frame is for. */
export const FRAME_KIND = {
  /** First frame of a connection, from the side that accepted it. */
  hello: 1,
  /** A request, whole. */
  request: 2,
  /** The caller has gone or has given up. */
  cancel: 3,
  /** The request was not run and never will be. */
  refusal: 4,
  /** The request may have run, and there is no answer. */
  failure: 5,
  /** An answer; whole unless its head says that more follows. */
  answer: 6,
  /** More of an answer's body. */
  body: 7,
  /** The end of an answer's body. */
  end: 8,
  /** How busy the back end is. */
  status: 9,
  /** Asks for a sign of life. */
  ping: 10,
  /** A sign of life. */
  pong: 11,
  /** Asks how busy the back end is; answered with a status. */
  probe: 12,
  /** Takes a request back if it has not begun; answered with a refusal then, and not at all otherwise. */
  withdraw: 13,
  /** Last frame of a side that stops: whatever it has not answered it has not run, and never will. */
  goodbye: 14,
} as const;

/** What a frame is for. */
export type FrameKind = (typeof FRAME_KIND)[keyof typeof FRAME_KIND];

/** One frame. */
export interface LinkFrame {
  readonly kind: number;
  readonly stream: number;
  /** Undefined when the frame has no head. */
  readonly head: unknown;
  readonly body: Buffer;
}

/** Why a byte stream could not be read as frames; the connection must be closed. */
export type LinkFrameError = 'frame-too-large' | 'unreadable-head';

const EMPTY = Buffer.alloc(0);

/** Writes everything of a frame but its body, which follows as it is. */
export function encodeFrameStart(kind: FrameKind, stream: number, head: unknown, bodyBytes: number): Buffer {
  const text = head === undefined ? '' : JSON.stringify(head);
  const headBytes = Buffer.byteLength(text);
  const start = Buffer.allocUnsafe(LENGTH_BYTES + FIXED_BYTES + headBytes);
  start.writeUInt32BE(FIXED_BYTES + headBytes + bodyBytes, 0);
  start.writeUInt8(kind, LENGTH_BYTES);
  start.writeUInt32BE(stream, LENGTH_BYTES + 1);
  start.writeUInt32BE(headBytes, LENGTH_BYTES + 5);
  start.write(text, LENGTH_BYTES + FIXED_BYTES);
  return start;
}

/** Cuts an arriving byte stream into frames. */
export class LinkFrameDecoder {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  /** Bytes of the frame that is arriving; 0 while its length is not known. */
  private neededBytes = 0;

  /** Takes the next bytes and returns every frame that is now complete. */
  push(chunk: Buffer): Result<LinkFrame[], LinkFrameError> {
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    const frames: LinkFrame[] = [];
    while (this.pendingBytes >= Math.max(LENGTH_BYTES, this.neededBytes)) {
      const bytes = this.joined();
      const frameBytes = LENGTH_BYTES + bytes.readUInt32BE(0);
      if (frameBytes > MAX_LINK_FRAME_BYTES) return Err('frame-too-large');
      if (frameBytes < LENGTH_BYTES + FIXED_BYTES) return Err('unreadable-head');
      if (bytes.length < frameBytes) {
        this.neededBytes = frameBytes;
        break;
      }
      const frame = readFrame(bytes.subarray(LENGTH_BYTES, frameBytes));
      if (frame.err) return frame;
      frames.push(frame.val);
      this.keep(bytes.subarray(frameBytes));
    }
    return Ok(frames);
  }

  private joined(): Buffer {
    const first = this.pending[0];
    if (first !== undefined && this.pending.length === 1) return first;
    const all = Buffer.concat(this.pending, this.pendingBytes);
    this.pending = [all];
    return all;
  }

  private keep(rest: Buffer): void {
    this.pending = rest.length > 0 ? [rest] : [];
    this.pendingBytes = rest.length;
    this.neededBytes = 0;
  }
}

function readFrame(bytes: Buffer): Result<LinkFrame, LinkFrameError> {
  const kind = bytes.readUInt8(0);
  const stream = bytes.readUInt32BE(1);
  const headEnd = FIXED_BYTES + bytes.readUInt32BE(5);
  if (headEnd > bytes.length) return Err('unreadable-head');
  const body = headEnd === bytes.length ? EMPTY : bytes.subarray(headEnd);
  if (headEnd === FIXED_BYTES) return Ok({ kind, stream, head: undefined, body });
  try {
    return Ok({
      kind,
      stream,
      head: JSON.parse(bytes.toString('utf8', FIXED_BYTES, headEnd)) as unknown,
      body,
    });
  } catch {
    return Err('unreadable-head');
  }
}
