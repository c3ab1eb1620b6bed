/** The replicated log on disk: one file of checksummed records that is appended to, and rewritten on compaction. */
import { open, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';
import { entryBytes } from '../consensus/entry-size.js';
import type { LogEntry, SnapshotPosition } from '../consensus/raft-types.js';
import { Err, Ok, type Result } from '../result.js';
import { syncFolder } from './durable-file.js';
import { LogIndex, type RecordPlace } from './log-index.js';
import { encodeRecord, readRecord, type CorruptionError } from './record-file.js';
import { readFully, writeFully } from './file-bytes.js';
import { readRecords } from './record-stream.js';

/** Bytes written or copied at once; a larger record is written alone. */
const PIECE_BYTES = 1024 * 1024;

/** What to return of a log that is opened. */
export interface LogOpening {
  /** Snapshot that precedes the log; entries that it contains are not returned. */
  readonly snapshot?: SnapshotPosition;
  /** Size in bytes of the commands that are kept in memory, oldest first; later ones are returned as `stored`. */
  readonly cachedBytes?: number;
}

/** An open log file. Entries are contiguous by index. */
export class LogFile {
  private readonly reads = new Set<Promise<unknown>>();
  /** Number of truncations and rewrites, after which places that were looked up earlier may hold other records. */
  private changes = 0;

  private constructor(
    private readonly path: string,
    private handle: FileHandle,
    private index: LogIndex,
  ) {}

  /** Opens the file, creating it when absent; returns it with its entries. */
  static async open(
    path: string,
    opening: LogOpening = {},
  ): Promise<Result<{ file: LogFile; entries: readonly LogEntry[] }, CorruptionError>> {
    const handle = await openOrCreate(path);
    const index = new LogIndex();
    const kept = new KeptEntries(index, opening);
    const valid = await readRecords(path, handle, ({ value, bytes }) => kept.add(value as LogEntry, bytes));
    if (valid.err) {
      await handle.close();
      return valid;
    }
    await handle.truncate(valid.val);
    await handle.sync();
    await syncFolder(dirname(path));
    return Ok({ file: new LogFile(path, handle, index), entries: kept.entries });
  }

  /** Size of the file in bytes. */
  get bytes(): number {
    return this.index.endOffset;
  }

  /** Number of entries. */
  get count(): number {
    return this.index.count;
  }

  /** Returns the size in bytes of the entries up to `index`. */
  bytesUpTo(index: number): number {
    return this.index.offsetAfter(index);
  }

  /**
   * Appends entries without syncing the last write. After a power loss each unsynced write may be missing on its own, and a write
   * that is present behind a missing one would leave an unreadable log; therefore each write is synced before the next one.
   */
  async append(entries: readonly LogEntry[]): Promise<void> {
    const sizes: number[] = [];
    let offset = this.index.endOffset;
    let records: Buffer[] = [];
    let pendingBytes = 0;
    for (const [at, entry] of entries.entries()) {
      const record = encodeRecord(entry);
      sizes.push(record.length);
      records.push(record);
      pendingBytes += record.length;
      if (pendingBytes < PIECE_BYTES && at < entries.length - 1) continue;
      if (offset > this.index.endOffset) await this.sync();
      await writeFully(this.handle, records.length === 1 ? record : Buffer.concat(records), offset);
      offset += pendingBytes;
      records = [];
      pendingBytes = 0;
    }
    // Offsets advance only after a complete write, so that a failed append is retried at the same offset.
    for (const [at, { index, term }] of entries.entries()) this.index.add(index, term, sizes[at] ?? 0);
  }

  /** Removes the entry at `fromIndex` and all later entries, without syncing. */
  async truncate(fromIndex: number): Promise<void> {
    if (fromIndex <= this.index.lastIndex) {
      this.changes += 1;
      this.index.truncate(fromIndex);
    }
    // Also if no entry is left to remove: an earlier attempt may have failed here.
    await this.handle.truncate(this.index.endOffset);
  }

  /** Makes all writes so far durable. */
  async sync(): Promise<void> {
    await this.handle.datasync();
  }

  /**
   * Reads entries back; those that are truncated or discarded in the meantime are missing from the end. May overlap other
   * calls. Throws if the file is corrupt.
   */
  async readEntries(fromIndex: number, toIndex: number): Promise<readonly LogEntry[]> {
    const reading = this.readPlaces(this.handle, this.index.places(fromIndex, toIndex));
    this.reads.add(reading);
    try {
      return await reading;
    } finally {
      this.reads.delete(reading);
    }
  }

  private async readPlaces(handle: FileHandle, places: readonly RecordPlace[]): Promise<LogEntry[]> {
    const { changes } = this;
    const buffer = Buffer.alloc(Math.max(0, ...places.map(({ bytes }) => bytes)));
    const entries: LogEntry[] = [];
    for (const place of places) {
      const present = await readFully(handle, buffer, place.bytes, place.offset);
      const entry = entryIn(buffer.subarray(0, present), place.index);
      if (entry === null && this.changes === changes) {
        throw new Error(`${this.path} is corrupt at byte ${place.offset}`);
      }
      if (entry === null) break;
      entries.push(entry);
    }
    return entries;
  }

  /**
   * Durably discards the entries that a snapshot contains. The later ones are kept if the log agrees with the snapshot at its
   * position (Raft 5.1); a log that disagrees is stale and is discarded as a whole.
   */
  async discard(snapshot: SnapshotPosition): Promise<void> {
    if (this.index.count === 0 || this.index.firstIndex === snapshot.index + 1) return;
    const lastDiscarded = agrees(this.index, snapshot) ? snapshot.index : this.index.lastIndex;
    const startOffset = this.index.offsetAfter(lastDiscarded);
    const handle = await open(`${this.path}.new`, 'w+');
    try {
      await copyBytes(this.handle, handle, startOffset, this.index.endOffset);
      await handle.sync();
      await rename(`${this.path}.new`, this.path);
    } catch (error) {
      await handle.close();
      throw error;
    }
    const previous = this.handle;
    this.changes += 1;
    this.handle = handle;
    this.index = this.index.startingAfter(lastDiscarded);
    await syncFolder(dirname(this.path));
    await this.closeAfterReads(previous);
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.closeAfterReads(this.handle);
  }

  private async closeAfterReads(handle: FileHandle): Promise<void> {
    await Promise.allSettled(this.reads);
    await handle.close();
  }
}

/** Collects what is kept in memory of a log that is read from its start. */
class KeptEntries {
  readonly entries: LogEntry[] = [];
  private cachedBytes = 0;
  private isFull = false;

  constructor(
    private readonly index: LogIndex,
    private readonly opening: LogOpening,
  ) {}

  /** Adds the next entry of the file. */
  add(entry: LogEntry, bytes: number): Result<void, string> {
    if (this.index.count > 0 && entry.index !== this.index.lastIndex + 1) return Err('entries are missing');
    this.index.add(entry.index, entry.term, bytes);
    const { snapshot } = this.opening;
    const isCovered =
      snapshot !== undefined && (entry.index <= snapshot.index || !agrees(this.index, snapshot));
    if (!isCovered) this.entries.push(this.withinLimit(entry));
    return Ok(undefined);
  }

  private withinLimit(entry: LogEntry): LogEntry {
    if (entry.payload.kind !== 'command') return entry;
    const bytes = entryBytes(entry);
    this.isFull ||= this.cachedBytes + bytes > (this.opening.cachedBytes ?? Infinity);
    if (this.isFull) return { index: entry.index, term: entry.term, payload: { kind: 'stored', bytes } };
    this.cachedBytes += bytes;
    return entry;
  }
}

function agrees(index: LogIndex, snapshot: SnapshotPosition): boolean {
  return index.firstIndex === snapshot.index + 1 || index.termAt(snapshot.index) === snapshot.term;
}

function entryIn(record: Buffer, index: number): LogEntry | null {
  const read = readRecord(record);
  if (read.err) return null;
  const entry = read.val.value as LogEntry;
  return entry.index === index ? entry : null;
}

async function openOrCreate(path: string): Promise<FileHandle> {
  try {
    return await open(path, 'r+');
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'ENOENT') throw error;
    return await open(path, 'w+');
  }
}

async function copyBytes(source: FileHandle, target: FileHandle, start: number, end: number): Promise<void> {
  const buffer = Buffer.alloc(Math.min(PIECE_BYTES, end - start));
  for (let offset = start; offset < end;) {
    const present = await readFully(source, buffer, Math.min(buffer.length, end - offset), offset);
    if (present === 0) throw new Error('invariant broken: the log is shorter than its index');
    await writeFully(target, buffer.subarray(0, present), offset - start);
    offset += present;
  }
}
