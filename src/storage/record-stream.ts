/** Reads a file of checksummed records one after the other, so that a large file is never in memory as a whole. */
import type { FileHandle } from 'node:fs/promises';
import { readFully } from './file-bytes.js';
import { Err, Ok, type Result } from '../result.js';
import { readHeader, readRecord, RECORD_HEADER_BYTES, type CorruptionError } from './record-file.js';

/** Bytes read at once; a larger record is read alone. */
const WINDOW_BYTES = 256 * 1024;

/** A record of a file. */
export interface FileRecord {
  readonly value: unknown;
  readonly offset: number;
  /** Length of the record with its header. */
  readonly bytes: number;
}

/**
 * Calls back for each record in order and returns the number of bytes up to the end of the last complete one; torn writes and
 * corruption are told apart as by `scanRecords`.
 */
export async function readRecords(
  file: string,
  handle: FileHandle,
  onRecord: (record: FileRecord) => Result<void, string>,
): Promise<Result<number, CorruptionError>> {
  const { size } = await handle.stat();
  const window = new FileWindow(handle, await lengthWithoutZeros(handle, size));
  let offset = 0;
  for (;;) {
    const header = await window.read(offset, RECORD_HEADER_BYTES);
    if (header.length < RECORD_HEADER_BYTES) return Ok(offset);
    const bytes = RECORD_HEADER_BYTES + (readHeader(header) ?? 0);
    const whole = await window.read(offset, bytes);
    if (whole.length < bytes) return Ok(offset);
    const record = readRecord(whole);
    if (record.err) return Err({ kind: 'corrupt-file', file, offset, detail: record.val });
    const accepted = onRecord({ value: record.val.value, offset, bytes });
    if (accepted.err) return Err({ kind: 'corrupt-file', file, offset, detail: accepted.val });
    offset += bytes;
  }
}

async function lengthWithoutZeros(handle: FileHandle, size: number): Promise<number> {
  const buffer = Buffer.alloc(Math.min(size, WINDOW_BYTES));
  let length = size;
  while (length > 0) {
    const start = Math.max(0, length - buffer.length);
    const present = await readFully(handle, buffer, length - start, start);
    const last = buffer.subarray(0, present).findLastIndex((byte) => byte !== 0);
    if (last >= 0) return start + last + 1;
    length = start;
  }
  return 0;
}

/** A part of a file that is in memory; its buffer is reused. */
class FileWindow {
  private buffer = Buffer.alloc(WINDOW_BYTES);
  private start = 0;
  private length = 0;

  constructor(
    private readonly handle: FileHandle,
    private readonly size: number,
  ) {}

  /** Returns the bytes from `offset`, less at the end of the file; valid until the next call. */
  async read(offset: number, length: number): Promise<Buffer> {
    const available = Math.min(length, this.size - offset);
    if (offset < this.start || offset + available > this.start + this.length) {
      await this.load(offset, available);
    }
    return this.buffer.subarray(offset - this.start, offset - this.start + available);
  }

  private async load(offset: number, length: number): Promise<void> {
    if (length > this.buffer.length) this.buffer = Buffer.alloc(length);
    const wanted = Math.min(Math.max(length, WINDOW_BYTES), this.size - offset);
    this.start = offset;
    this.length = await readFully(this.handle, this.buffer, wanted, offset);
  }
}
