/** Reads and writes of whole ranges of a file, which the system may split. */
import type { FileHandle } from 'node:fs/promises';

/** Reads `length` bytes at `offset` into `target`, less at the end of the file; returns the number of bytes read. */
export async function readFully(
  handle: FileHandle,
  target: Buffer,
  length: number,
  offset: number,
): Promise<number> {
  let readBytes = 0;
  while (readBytes < length) {
    const { bytesRead } = await handle.read(target, readBytes, length - readBytes, offset + readBytes);
    if (bytesRead === 0) break;
    readBytes += bytesRead;
  }
  return readBytes;
}

/** Repeats partial writes, as they happen on a nearly full disk, until all bytes are written. */
export async function writeFully(handle: FileHandle, bytes: Buffer, start: number): Promise<void> {
  let writtenBytes = 0;
  while (writtenBytes < bytes.length) {
    const { bytesWritten } = await handle.write(
      bytes,
      writtenBytes,
      bytes.length - writtenBytes,
      start + writtenBytes,
    );
    if (bytesWritten === 0) throw new Error('the disk accepted no bytes of a write');
    writtenBytes += bytesWritten;
  }
}
