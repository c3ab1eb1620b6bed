/**
 * Guards against a log that cannot be opened after a power loss: the writes since the last sync may be present or missing
 * independently of each other, so that a lost write before a present one leaves a gap in the file.
 */
import { mkdtemp, open, readFile, rm, writeFile, type FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { LogEntry } from '../../src/consensus/raft-types.js';
import { LogFile } from '../../src/storage/log-file.js';

interface FileWrite {
  readonly start: number;
  readonly bytes: number;
}

/** Records the writes of all files that no sync has followed. */
async function recordUnsyncedWrites(path: string, run: () => Promise<void>): Promise<FileWrite[][]> {
  const probe = await open(path, 'r');
  const prototype = Object.getPrototypeOf(probe) as FileHandle;
  await probe.close();
  const { write, datasync } = prototype;
  const groups: FileWrite[][] = [[]];
  prototype.write = async function (this: FileHandle, ...args: unknown[]) {
    const [, , bytes, start] = args as [Buffer, number, number, number];
    groups.at(-1)?.push({ start, bytes });
    return await (write as (...all: unknown[]) => Promise<never>).apply(this, args);
  };
  prototype.datasync = async function (this: FileHandle) {
    groups.push([]);
    await datasync.call(this);
  };
  try {
    await run();
  } finally {
    Object.assign(prototype, { write, datasync });
  }
  return groups;
}

function entryOf(index: number, length: number): LogEntry {
  return {
    index,
    term: 1,
    payload: { kind: 'command', proposalId: `p${index}`, command: { text: 'x'.repeat(length) } },
  };
}

test.serial('a log opens after a power loss that lost any one of the writes of an append', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-power-'));
  const path = join(folder, 'log');
  try {
    for (const lengths of [
      [10, 20, 30],
      [700_000, 700_000, 700_000],
      [160_000, 160_000, 160_000, 160_000, 160_000, 160_000, 160_000, 160_000],
      [2_500_000, 10],
    ]) {
      await rm(path, { force: true });
      const { file } = (await LogFile.open(path)).unwrap();
      await file.append([entryOf(1, 100)]);
      await file.sync();
      const groups = await recordUnsyncedWrites(path, async () => {
        await file.append(lengths.map((length, at) => entryOf(at + 2, length)));
      });
      await file.close();
      const whole = await readFile(path);
      for (const group of groups) {
        const end = Math.max(0, ...group.map(({ start, bytes }) => start + bytes));
        for (const lost of group) {
          const image = Buffer.from(whole.subarray(0, end)).fill(0, lost.start, lost.start + lost.bytes);
          await writeFile(path, image);
          const opened = await LogFile.open(path);
          t.true(opened.ok, `lengths ${lengths.join()}: the write at ${lost.start} is lost`);
          if (opened.ok) await opened.val.file.close();
        }
      }
    }
  } finally {
    await rm(folder, { recursive: true });
  }
});
