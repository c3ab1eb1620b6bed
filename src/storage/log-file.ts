/** The replicated log on disk: one file of checked records, appended and synced; rewritten on compaction. */
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

  /** Opens the file, creating it when absent; returns it and the entries it holds. */
  static async open(
    path: string,
  ): Promise<Result<{ file: LogFile; entries: readonly LogEntry[] }, CorruptionError>> {
    const bytes = (await readIfPresent(path)) ?? Buffer.alloc(0);
    const scan = scanRecords(path, bytes);
    if (scan.err) return scan;
    const handle = await open(path, bytes.length === 0 ? 'w+' : 'r+');
    if (scan.val.wholeBytes < bytes.length) {
      await handle.truncate(scan.val.wholeBytes);
    }
    await handle.sync();
    await syncFolder(dirname(path));
    const entries = scan.val.values as LogEntry[];
    const firstIndex = entries[0]?.index ?? 0;
    const file = new LogFile(path, handle, scan.val.wholeBytes, [...scan.val.offsets], firstIndex);
    return Ok({ file, entries });
  }

  /** Size of the file in bytes. */
  get bytes(): number {
    return this.endOffset;
  }

  /** Writes entries at the end without syncing. */
  async append(entries: readonly LogEntry[]): Promise<void> {
    const first = entries[0];
    if (first === undefined) return;
    const records = entries.map((entry) => encodeRecord(entry));
    await writeWhole(this.handle, Buffer.concat(records), this.endOffset);
    // Only what was written counts, so that a write that failed can be repeated in the same place.
    if (this.offsets.length === 0) this.firstIndex = first.index;
    for (const record of records) {
      this.offsets.push(this.endOffset);
      this.endOffset += record.length;
    }
  }

  /** Forgets `fromIndex` and everything after it, without syncing. */
  async truncate(fromIndex: number): Promise<void> {
    const at = fromIndex - this.firstIndex;
    const offset = this.offsets[at];
    if (offset === undefined) return;
    this.offsets.length = at;
    this.endOffset = offset;
    await this.handle.truncate(offset);
  }

  /** Makes everything written so far durable. */
  async sync(): Promise<void> {
    await this.handle.datasync();
  }

  /** Replaces the whole content by `entries`, durably. */
  async rewrite(entries: readonly LogEntry[]): Promise<void> {
    const temporary = `${this.path}.new`;
    const handle = await open(temporary, 'w+');
    const written = new LogFile(temporary, handle, 0, [], 0);
    try {
      await written.append(entries);
      await handle.sync();
      await rename(temporary, this.path);
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

/** A disk that is nearly full takes a part of a write. */
async function writeWhole(handle: FileHandle, bytes: Buffer, start: number): Promise<void> {
  let done = 0;
  while (done < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, done, bytes.length - done, start + done);
    if (bytesWritten === 0) throw new Error('the disk takes no bytes');
    done += bytesWritten;
  }
}
