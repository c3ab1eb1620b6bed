/** Large response body with known content, so that a receiver can check that it is complete. */
import { Readable } from 'node:stream';

const BLOCK_BYTES = 64 * 1024;
const BLOCK = Buffer.alloc(BLOCK_BYTES, 'aldertide-download-');

/** Returns a stream of `bytes` bytes. */
export function downloadBody(bytes: number): Readable {
  return Readable.from(blocks(bytes), { objectMode: false, highWaterMark: BLOCK_BYTES });
}

function* blocks(bytes: number): Generator<Buffer> {
  for (let remaining = bytes; remaining > 0; remaining -= BLOCK_BYTES) {
    yield remaining >= BLOCK_BYTES ? BLOCK : BLOCK.subarray(0, remaining);
  }
}

/** Compares received chunks with the content of `downloadBody`. */
export class DownloadChecker {
  private received = 0;
  private matches = true;

  /** Compares the next chunk. */
  push(chunk: Buffer): void {
    for (let offset = 0; offset < chunk.length && this.matches;) {
      const start = this.received % BLOCK_BYTES;
      const length = Math.min(chunk.length - offset, BLOCK_BYTES - start);
      this.matches = chunk.subarray(offset, offset + length).equals(BLOCK.subarray(start, start + length));
      this.received += length;
      offset += length;
    }
  }

  /** Whether exactly `bytes` bytes were received and all were correct. */
  isComplete(bytes: number): boolean {
    return this.matches && this.received === bytes;
  }
}
