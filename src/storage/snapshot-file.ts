/** The snapshot on disk: one record with the text of `{ position, data }`. It is written and read in pieces. */
import { open, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';
import { crc32 } from 'node:zlib';
import type { SnapshotPosition } from '../consensus/raft-types.js';
import { jsonPieces } from '../model/json-pieces.js';
import { writeText } from '../model/value-text.js';
import { syncFolder } from './durable-file.js';
import { readFully, writeFully } from './file-bytes.js';
import { encodeHeader, RECORD_HEADER_BYTES } from './record-file.js';
import type { SnapshotSource } from './replica-store.js';

/** Content of a snapshot file. */
export interface SnapshotFileContent {
  readonly position: SnapshotPosition;
  readonly data: unknown;
}

/** A snapshot file, kept open so that it stays readable after another one has replaced it. */
export class SnapshotFile {
  private users = 0;
  private released = false;

  private constructor(
    private readonly handle: FileHandle,
    private readonly position: SnapshotPosition,
    /** Length of the content in bytes. */
    readonly bytes: number,
  ) {}

  /** Opens a whole file whose content is known. */
  static async open(path: string, position: SnapshotPosition): Promise<SnapshotFile> {
    const handle = await open(path, 'r');
    const { size } = await handle.stat();
    return new SnapshotFile(handle, position, size - RECORD_HEADER_BYTES);
  }

  /** Durably replaces the file at `path`. */
  static async write(path: string, content: SnapshotFileContent): Promise<SnapshotFile> {
    const handle = await open(`${path}.new`, 'w+');
    try {
      const bytes =
        (await writePieces(handle, jsonPieces(content))) ??
        (await writePieces(handle, [writeText(content)])) ??
        0;
      await handle.sync();
      await rename(`${path}.new`, path);
      await syncFolder(dirname(path));
      return new SnapshotFile(handle, content.position, bytes);
    } catch (error) {
      await handle.close();
      throw error;
    }
  }

  /** Returns the content for reading; the file stays open until it is closed. */
  source(): SnapshotSource {
    this.users += 1;
    let isOpen = true;
    return {
      position: this.position,
      bytes: this.bytes,
      read: async (offset, length) => await this.read(offset, length),
      close: async () => {
        if (!isOpen) return;
        isOpen = false;
        this.users -= 1;
        await this.closeIfUnused();
      },
    };
  }

  /** Closes the file once no source of it is in use. */
  async release(): Promise<void> {
    this.released = true;
    await this.closeIfUnused();
  }

  private async closeIfUnused(): Promise<void> {
    if (this.released && this.users === 0) await this.handle.close();
  }

  private async read(offset: number, length: number): Promise<Buffer> {
    const buffer = Buffer.alloc(Math.max(0, Math.min(length, this.bytes - offset)));
    const present = await readFully(this.handle, buffer, buffer.length, RECORD_HEADER_BYTES + offset);
    return buffer.subarray(0, present);
  }
}

/** Writes one record; returns the length of its payload, or null if a piece is null. */
async function writePieces(handle: FileHandle, pieces: Iterable<string | null>): Promise<number | null> {
  await handle.truncate(0);
  let bytes = 0;
  let checksum = 0;
  for (const text of pieces) {
    if (text === null) return null;
    const piece = Buffer.from(text);
    await writeFully(handle, piece, RECORD_HEADER_BYTES + bytes);
    checksum = crc32(piece, checksum);
    bytes += piece.length;
  }
  await writeFully(handle, encodeHeader(bytes, checksum), 0);
  return bytes;
}
