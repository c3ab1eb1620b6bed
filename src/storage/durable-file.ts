/** Atomic replacement of small files: write a temporary file, sync it, rename it and sync the folder. */
import { closeSync, fsyncSync, openSync, renameSync, writeSync } from 'node:fs';
import { access, mkdir, open, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import { Err, Ok, type Result } from '../result.js';
import { encodeRecord, scanRecords, type CorruptionError } from './record-file.js';

/** Replaces the content of `file` by one record with `value`; durable once the promise resolves. */
export async function replaceFile(file: string, value: unknown): Promise<void> {
  const temporaryPath = `${file}.new`;
  const handle = await open(temporaryPath, 'w');
  try {
    await handle.writeFile(encodeRecord(value));
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporaryPath, file);
  await syncFolder(dirname(file));
}

/**
 * Synchronous variant of `replaceFile`. For a few bytes it takes some milliseconds; the eight asynchronous calls take
 * some hundred on a busy machine, and elections wait for them.
 */
export function replaceFileSync(file: string, value: unknown): void {
  const temporaryPath = `${file}.new`;
  const descriptor = openSync(temporaryPath, 'w');
  try {
    writeSync(descriptor, encodeRecord(value));
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
  renameSync(temporaryPath, file);
  syncFolderSync(dirname(file));
}

function syncFolderSync(folder: string): void {
  const descriptor = openSync(folder, 'r');
  try {
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
}

/** Reads a file written by `replaceFile`; null when it does not exist. Torn or corrupt content is an error. */
export async function readSingleRecord(file: string): Promise<Result<unknown, CorruptionError>> {
  const bytes = await readIfPresent(file);
  if (bytes === null) return Ok(null);
  const scan = scanRecords(file, bytes);
  if (scan.err) return scan;
  const isSingleRecord = scan.val.values.length === 1 && scan.val.validBytes === bytes.length;
  if (!isSingleRecord)
    return Err({ kind: 'corrupt-file', file, offset: 0, detail: 'the file is not one whole record' });
  return Ok(scan.val.values[0]);
}

/** Whether a file exists. */
export async function exists(file: string): Promise<boolean> {
  try {
    await access(file);
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return false;
    throw error;
  }
}

/** Returns the content of a file, or null when it does not exist. */
async function readIfPresent(file: string): Promise<Buffer | null> {
  try {
    return await readFile(file);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return null;
    throw error;
  }
}

/** Makes the directory entries of a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Creates a folder and makes its directory entry durable. */
export async function createFolder(folder: string): Promise<void> {
  await mkdir(folder, { recursive: true });
  await syncFolder(dirname(folder));
}
