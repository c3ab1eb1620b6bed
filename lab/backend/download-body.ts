/** A large body with known content, so that a receiver can tell whether it is whole. */
import { Readable } from 'node:stream';

const BLOCK_BYTES = 64 * 1024;
const BLOCK = Buffer.alloc(BLOCK_BYTES, 'aldertide-download-');

/** A stream of `bytes` bytes. */
export function downloadBody(bytes: number): Readable {
  return Readable.from(blocks(bytes), { objectMode: false, highWaterMark: BLOCK_BYTES });
}

function* blocks(bytes: number): Generator<Buffer> {
  for (let left = bytes; left > 0; left -= BLOCK_BYTES) {
    yield left >= BLOCK_BYTES ? BLOCK : BLOCK.subarray(0, left);
  }
}

/** Checks that chunks follow the content of `downloadBody`. */
export class DownloadChecker {
  private received = 0;
  private matches = true;

  /** Takes the next chunk. */
  push(chunk: Buffer): void {
    for (let at = 0; at < chunk.length && this.matches;) {
      const start = this.received % BLOCK_BYTES;
      const length = Math.min(chunk.length - at, BLOCK_BYTES - start);
      this.matches = chunk.subarray(at, at + length).equals(BLOCK.subarray(start, start + length));
      this.received += length;
      at += length;
    }
  }

  /** Whether exactly `bytes` bytes came and all were right. */
  isWhole(bytes: number): boolean {
    return this.matches && this.received === bytes;
  }
}
