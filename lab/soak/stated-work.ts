/** Work that the path of a soak's request states: how long the back end works on it, and the answer that it streams. */

/** A streamed answer. */
export interface StatedStream {
  readonly bytes: number;
  /** Time in ms over which the back end sends it. */
  readonly durationMs: number;
  /** Bytes after which the back end breaks the answer off; missing if it completes the answer. */
  readonly cutAtBytes?: number;
}

/** Work on one request. */
export interface StatedWork {
  /** Time in ms before the answer begins. */
  readonly workMs: number;
  /** Null for an answer in one piece. */
  readonly stream: StatedStream | null;
}

const STATED_WORK = /~work=(\d+)(?:~stream=(\d+),(\d+)(?:~cut=(\d+))?)?$/;

/** Returns the end of a path that states work. */
export function workSuffix({ workMs, stream }: StatedWork): string {
  const suffix = `~work=${Math.round(workMs)}`;
  if (stream === null) return suffix;
  const { bytes, durationMs, cutAtBytes } = stream;
  const cut = cutAtBytes === undefined ? '' : `~cut=${Math.round(cutAtBytes)}`;
  return `${suffix}~stream=${Math.round(bytes)},${Math.round(durationMs)}${cut}`;
}

/** Returns the work that a path states; null if it states none. */
export function readStatedWork(path: string): StatedWork | null {
  const found = STATED_WORK.exec(path);
  if (found === null) return null;
  const [, workMs = '0', bytes, durationMs, cutAtBytes] = found;
  if (bytes === undefined) return { workMs: Number(workMs), stream: null };
  const whole = { bytes: Number(bytes), durationMs: Number(durationMs) };
  const stream = cutAtBytes === undefined ? whole : { ...whole, cutAtBytes: Number(cutAtBytes) };
  return { workMs: Number(workMs), stream };
}

/** Bytes of the pattern that a block repeats, and length of a block in bytes. */
const BLOCK_BYTES = 64 * 1024;

/** Content of a streamed answer, which repeats a pattern; reads at any offset without building the whole content. */
export class StreamContent {
  private readonly block: Buffer;
  private readonly patternLength: number;

  constructor(
    pattern: string,
    readonly length: number,
  ) {
    this.patternLength = pattern.length;
    this.block = Buffer.from(pattern.repeat(Math.ceil(BLOCK_BYTES / pattern.length) + 1));
  }

  /** Returns at most `BLOCK_BYTES` of the content from an offset on. */
  slice(offset: number, length: number): Buffer {
    const start = offset % this.patternLength;
    const count = Math.min(length, this.length - offset, BLOCK_BYTES);
    return this.block.subarray(start, start + count);
  }

  /** Whether a chunk is the content from an offset on. */
  matches(chunk: Buffer, offset: number): boolean {
    for (let at = 0; at < chunk.length; at += BLOCK_BYTES) {
      const part = chunk.subarray(at, at + BLOCK_BYTES);
      if (!part.equals(this.slice(offset + at, part.length))) return false;
    }
    return true;
  }
}
