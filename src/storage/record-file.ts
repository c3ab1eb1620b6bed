/**
 * Checksummed records in a file. Each record is
 * `payload length (4 bytes) | CRC-32 of the length (4) | CRC-32 of the payload (4) | payload`, big-endian.
 * The length has its own checksum, so that a flipped bit in it is not mistaken for a torn last write.
 */
import { crc32 } from 'node:zlib';
import { Err, Ok, type Result } from '../result.js';
import { readText, writeText } from '../model/value-text.js';

/** Size of the header that precedes each payload. */
export const RECORD_HEADER_BYTES = 12;

/** A corrupt file of the data folder. The replica must be restarted with an empty folder. */
export interface CorruptionError {
  readonly kind: 'corrupt-file';
  readonly file: string;
  readonly offset: number;
  readonly detail: string;
}

/** Records read from a file. */
export interface RecordScan {
  readonly values: readonly unknown[];
  /** Byte offset of each value's record. */
  readonly offsets: readonly number[];
  /** Number of bytes up to the end of the last complete record; any bytes after it are a torn write. */
  readonly validBytes: number;
}

/** Encodes one value as a record. */
export function encodeRecord(value: unknown): Buffer {
  const payload = Buffer.from(writeText(value));
  return Buffer.concat([encodeHeader(payload.length, crc32(payload)), payload]);
}

/** Encodes the header of a record, given the length and the CRC-32 of its payload. */
export function encodeHeader(payloadBytes: number, payloadChecksum: number): Buffer {
  const header = Buffer.alloc(RECORD_HEADER_BYTES);
  header.writeUInt32BE(payloadBytes, 0);
  header.writeUInt32BE(crc32(header.subarray(0, 4)), 4);
  header.writeUInt32BE(payloadChecksum, 8);
  return header;
}

/**
 * Reads all records. An incomplete record at the end is a torn write and is skipped; any other mismatch is
 * corruption. After a power loss a file may have the length of a write of which only the first bytes are present; the
 * others are zeros. No payload ends with a zero byte, since it is text.
 */
export function scanRecords(file: string, bytes: Buffer): Result<RecordScan, CorruptionError> {
  const values: unknown[] = [];
  const offsets: number[] = [];
  const present = withoutZerosAtEnd(bytes);
  let offset = 0;
  while (offset < present.length) {
    const remaining = present.subarray(offset);
    if (isIncomplete(remaining)) break;
    const record = readRecord(remaining);
    if (record.err) return Err({ kind: 'corrupt-file', file, offset, detail: record.val });
    values.push(record.val.value);
    offsets.push(offset);
    offset += record.val.bytes;
  }
  return Ok({ values, offsets, validBytes: offset });
}

function withoutZerosAtEnd(bytes: Buffer): Buffer {
  let length = bytes.length;
  while (length > 0 && bytes[length - 1] === 0) length -= 1;
  return bytes.subarray(0, length);
}

function isIncomplete(remaining: Buffer): boolean {
  const payloadBytes = readHeader(remaining);
  if (payloadBytes === null) return remaining.length < RECORD_HEADER_BYTES;
  return remaining.length < RECORD_HEADER_BYTES + payloadBytes;
}

/** Returns the length of the payload that follows a header; null if the header is incomplete or damaged. */
export function readHeader(bytes: Buffer): number | null {
  if (bytes.length < RECORD_HEADER_BYTES) return null;
  return crc32(bytes.subarray(0, 4)) === bytes.readUInt32BE(4) ? bytes.readUInt32BE(0) : null;
}

/** Reads the complete record at the start of `bytes`; the error tells what is damaged. */
export function readRecord(bytes: Buffer): Result<{ value: unknown; bytes: number }, string> {
  const payloadBytes = readHeader(bytes);
  if (payloadBytes === null) return Err('the checksum of a record length does not match');
  const payload = bytes.subarray(RECORD_HEADER_BYTES, RECORD_HEADER_BYTES + payloadBytes);
  if (crc32(payload) !== bytes.readUInt32BE(8)) return Err('the checksum of a record does not match');
  try {
    return Ok({ value: readText(payload.toString('utf8')), bytes: RECORD_HEADER_BYTES + payloadBytes });
  } catch (error) {
    return Err(`a record with a matching checksum does not parse: ${String(error)}`);
  }
}
