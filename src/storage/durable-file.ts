/** Small files that are replaced as a whole: written beside, synced, renamed, folder synced. */
import { closeSync, fsyncSync, openSync, renameSync, writeSync } from 'node:fs';
import { mkdir, open, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import { Err, Ok, type Result } from '../result.js';
import { encodeRecord, scanRecords, type CorruptionError } from './record-file.js';

/** Replaces `file` by one record with `value`; durable once this returns. */
export async function replaceFile(file: string, value: unknown): Promise<void> {
  const temporary = `${file}.new`;
  const handle = await open(temporary, 'w');
  try {
    await handle.writeFile(encodeRecord(value));
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, file);
  await syncFolder(dirname(file));
}

/**
 * The same in one turn. For a few bytes this takes some milliseconds; as eight asynchronous calls it takes some
 * hundred on a busy machine, and elections wait for it.
 */
export function replaceFileNow(file: string, value: unknown): void {
  const temporary = `${file}.new`;
  const descriptor = openSync(temporary, 'w');
  try {
    writeSync(descriptor, encodeRecord(value));
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
  renameSync(temporary, file);
  syncFolderNow(dirname(file));
}

function syncFolderNow(folder: string): void {
  const descriptor = openSync(folder, 'r');
  try {
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
}

/** Reads a file written by `replaceFile`; null when there is none. Torn or flipped content is an error. */
export async function readWholeFile(file: string): Promise<Result<unknown, CorruptionError>> {
  const bytes = await readIfPresent(file);
  if (bytes === null) return Ok(null);
  const scan = scanRecords(file, bytes);
  if (scan.err) return scan;
  const whole = scan.val.values.length === 1 && scan.val.wholeBytes === bytes.length;
  if (!whole)
    return Err({ kind: 'corrupt-file', file, offset: 0, detail: 'the file is not one whole record' });
  return Ok(scan.val.values[0]);
}

/** Content of a file, or null when it does not exist. */
export async function readIfPresent(file: string): Promise<Buffer | null> {
  try {
    return await readFile(file);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return null;
    throw error;
  }
}

/** Makes the names in a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Creates a folder and makes its name durable. */
export async function createFolder(folder: string): Promise<void> {
  await mkdir(folder, { recursive: true });
  await syncFolder(dirname(folder));
}
