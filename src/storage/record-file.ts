/**
 * Checked records in a file. Each record is
 * `payload length (4 bytes) | CRC-32 of the length (4) | CRC-32 of the payload (4) | payload`, big-endian.
 * The length has a checksum of its own, so that a flipped bit there cannot pass for a torn last write.
 */
import { crc32 } from 'node:zlib';
import { Err, Ok, type Result } from '../result.js';
import { readText, writeText } from '../model/value-text.js';

/** Bytes in front of each payload. */
export const RECORD_HEADER_BYTES = 12;

/** A file of the data folder that cannot be used. The replica must be given an empty folder. */
export interface CorruptionError {
  readonly kind: 'corrupt-file';
  readonly file: string;
  readonly offset: number;
  readonly detail: string;
}

/** Records read from a file. */
export interface RecordScan {
  readonly values: readonly unknown[];
  /** Offset of each value's record. */
  readonly offsets: readonly number[];
  /** Bytes up to the end of the last whole record; what follows is a torn write. */
  readonly wholeBytes: number;
}

/** Writes one value as a record. */
export function encodeRecord(value: unknown): Buffer {
  const payload = Buffer.from(writeText(value));
  const header = Buffer.alloc(RECORD_HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt32BE(crc32(header.subarray(0, 4)), 4);
  header.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

/**
 * Reads all records. An incomplete record at the end is a torn write and is left out; anything else that
 * does not check is corruption.
 */
export function scanRecords(file: string, bytes: Buffer): Result<RecordScan, CorruptionError> {
  const values: unknown[] = [];
  const offsets: number[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const rest = bytes.subarray(offset);
    if (isTornTail(rest)) break;
    const record = readRecord(rest);
    if (record.err) return Err({ kind: 'corrupt-file', file, offset, detail: record.val });
    values.push(record.val.value);
    offsets.push(offset);
    offset += record.val.bytes;
  }
  return Ok({ values, offsets, wholeBytes: offset });
}

/** A write that never finished leaves a short header, a short payload, or zeros. */
function isTornTail(rest: Buffer): boolean {
  if (rest.length < RECORD_HEADER_BYTES) return true;
  if (headerIsWhole(rest)) return rest.length < RECORD_HEADER_BYTES + rest.readUInt32BE(0);
  return rest.every((byte) => byte === 0);
}

function headerIsWhole(rest: Buffer): boolean {
  return crc32(rest.subarray(0, 4)) === rest.readUInt32BE(4);
}

function readRecord(rest: Buffer): Result<{ value: unknown; bytes: number }, string> {
  if (!headerIsWhole(rest)) return Err('the checksum of a record length does not match');
  const payloadBytes = rest.readUInt32BE(0);
  const payload = rest.subarray(RECORD_HEADER_BYTES, RECORD_HEADER_BYTES + payloadBytes);
  if (crc32(payload) !== rest.readUInt32BE(8)) return Err('the checksum of a record does not match');
  try {
    return Ok({ value: readText(payload.toString('utf8')), bytes: RECORD_HEADER_BYTES + payloadBytes });
  } catch (error) {
    return Err(`a record with a matching checksum does not parse: ${String(error)}`);
  }
}
