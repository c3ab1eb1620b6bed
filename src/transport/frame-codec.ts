/**
 * Frames of the internal protocol: a 4-byte big-endian length, then that many bytes of UTF-8 text
 * written by `devalue` (https://github.com/sveltejs/devalue), the project's internal serialization.
 */
import { parse, stringify } from 'devalue';
import { Err, Ok, type Result } from '../result.js';

const HEADER_BYTES = 4;

/** Largest accepted payload, in bytes; a longer one means garbage or a foreign protocol. */
export const MAX_FRAME_BYTES = 32 * 1024 * 1024;

/** Why a byte stream could not be read as frames. The connection must be closed. */
export interface FrameError {
  readonly kind: 'frame-too-large' | 'not-parseable';
  readonly detail: string;
}

/** Writes one message as one frame. */
export function encodeFrame(message: unknown): Buffer {
  const payload = stringify(message);
  const payloadBytes = Buffer.byteLength(payload);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payloadBytes);
  frame.writeUInt32BE(payloadBytes, 0);
  frame.write(payload, HEADER_BYTES);
  return frame;
}

/** Cuts an arriving byte stream into messages. */
export class FrameDecoder {
  private pending: Buffer[] = [];
  private pendingBytes = 0;

  constructor(private readonly maxFrameBytes: number = MAX_FRAME_BYTES) {}

  /** Takes the next bytes and returns every message that is now complete. */
  push(chunk: Buffer): Result<unknown[], FrameError> {
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    const messages: unknown[] = [];
    for (;;) {
      const next = this.takeFrame();
      if (next.err) return next;
      if (next.val === null) return Ok(messages);
      const parsed = parsePayload(next.val);
      if (parsed.err) return parsed;
      messages.push(parsed.val);
    }
  }

  private takeFrame(): Result<Buffer | null, FrameError> {
    if (this.pendingBytes < HEADER_BYTES) return Ok(null);
    const buffer = this.joined();
    const payloadBytes = buffer.readUInt32BE(0);
    if (payloadBytes > this.maxFrameBytes) {
      return Err({ kind: 'frame-too-large', detail: `${payloadBytes} bytes announced` });
    }
    const frameBytes = HEADER_BYTES + payloadBytes;
    if (buffer.length < frameBytes) return Ok(null);
    this.pending = buffer.length > frameBytes ? [buffer.subarray(frameBytes)] : [];
    this.pendingBytes -= frameBytes;
    return Ok(buffer.subarray(HEADER_BYTES, frameBytes));
  }

  /** The pending bytes as one buffer, joined only once the announced frame is wholly here. */
  private joined(): Buffer {
    const first = this.pending[0];
    if (first === undefined) return Buffer.alloc(0);
    if (this.pending.length === 1) return first;
    if (first.length >= HEADER_BYTES) {
      const frameBytes = HEADER_BYTES + first.readUInt32BE(0);
      const withinLimit = frameBytes - HEADER_BYTES <= this.maxFrameBytes;
      if (withinLimit && this.pendingBytes < frameBytes) return first;
    }
    const all = Buffer.concat(this.pending, this.pendingBytes);
    this.pending = [all];
    return all;
  }
}

/** Reads the payload of one frame. */
export function parsePayload(payload: Buffer): Result<unknown, FrameError> {
  try {
    return Ok(parse(payload.toString('utf8')));
  } catch (error) {
    return Err({ kind: 'not-parseable', detail: error instanceof Error ? error.message : String(error) });
  }
}
