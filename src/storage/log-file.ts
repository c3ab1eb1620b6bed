/** The replicated log on disk: one file of checksummed records that is appended to, and rewritten on compaction. */
import { open, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';
import type { LogEntry } from '../consensus/raft-types.js';
import { Ok, type Result } from '../result.js';
import { readIfPresent, syncFolder } from './durable-file.js';
import { encodeRecord, scanRecords, type CorruptionError } from './record-file.js';

/** An open log file. Entries are contiguous by index. */
export class LogFile {
  private constructor(
    private readonly path: string,
    private handle: FileHandle,
    private endOffset: number,
    private offsets: number[],
    private firstIndex: number,
  ) {}

  /** Opens the file, creating it when absent; returns it with its entries. */
  static async open(
    path: string,
  ): Promise<Result<{ file: LogFile; entries: readonly LogEntry[] }, CorruptionError>> {
    const bytes = (await readIfPresent(path)) ?? Buffer.alloc(0);
    const scan = scanRecords(path, bytes);
    if (scan.err) return scan;
    const handle = await open(path, bytes.length === 0 ? 'w+' : 'r+');
    if (scan.val.validBytes < bytes.length) {
      await handle.truncate(scan.val.validBytes);
    }
    await handle.sync();
    await syncFolder(dirname(path));
    const entries = scan.val.values as LogEntry[];
    const firstIndex = entries[0]?.index ?? 0;
    const file = new LogFile(path, handle, scan.val.validBytes, [...scan.val.offsets], firstIndex);
    return Ok({ file, entries });
  }

  /** Size of the file in bytes. */
  get bytes(): number {
    return this.endOffset;
  }

  /** Appends entries without syncing. */
  async append(entries: readonly LogEntry[]): Promise<void> {
    const first = entries[0];
    if (first === undefined) return;
    const records = entries.map((entry) => encodeRecord(entry));
    await writeFully(this.handle, Buffer.concat(records), this.endOffset);
    // Offsets advance only after a complete write, so that a failed append is retried at the same offset.
    if (this.offsets.length === 0) this.firstIndex = first.index;
    for (const record of records) {
      this.offsets.push(this.endOffset);
      this.endOffset += record.length;
    }
  }

  /** Removes the entry at `fromIndex` and all later entries, without syncing. */
  async truncate(fromIndex: number): Promise<void> {
    const position = fromIndex - this.firstIndex;
    const offset = this.offsets[position];
    if (offset === undefined) return;
    this.offsets.length = position;
    this.endOffset = offset;
    await this.handle.truncate(offset);
  }

  /** Makes all writes so far durable. */
  async sync(): Promise<void> {
    await this.handle.datasync();
  }

  /** Durably replaces the whole content by `entries`. */
  async rewrite(entries: readonly LogEntry[]): Promise<void> {
    const temporaryPath = `${this.path}.new`;
    const handle = await open(temporaryPath, 'w+');
    const written = new LogFile(temporaryPath, handle, 0, [], 0);
    try {
      await written.append(entries);
      await handle.sync();
      await rename(temporaryPath, this.path);
    } catch (error) {
      await handle.close();
      throw error;
    }
    const previous = this.handle;
    this.handle = handle;
    this.offsets = written.offsets;
    this.endOffset = written.endOffset;
    this.firstIndex = written.firstIndex;
    await syncFolder(dirname(this.path));
    await previous.close();
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.handle.close();
  }
}

/** Repeats partial writes, as they happen on a nearly full disk, until all bytes are written. */
async function writeFully(handle: FileHandle, bytes: Buffer, start: number): Promise<void> {
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
