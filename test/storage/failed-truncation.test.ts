/** Guards against a log that cannot be opened because a truncation that failed on a full disk was not carried out when it was retried. */
import { mkdtemp, open, rm, type FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { LogEntry } from '../../src/consensus/raft-types.js';
import { LogFile } from '../../src/storage/log-file.js';

function entryOf(index: number, length: number, term: number): LogEntry {
  const command = { text: 'x'.repeat(length) };
  return { index, term, payload: { kind: 'command', proposalId: `p${index}`, command } };
}

/** Makes the next truncation of any file fail as on a full disk. */
async function failNextTruncation(path: string): Promise<void> {
  const probe = await open(path, 'r');
  const prototype = Object.getPrototypeOf(probe) as FileHandle;
  await probe.close();
  const { truncate } = prototype;
  prototype.truncate = () => {
    prototype.truncate = truncate;
    return Promise.reject(Object.assign(new Error('no space'), { code: 'ENOSPC' }));
  };
}

test('a truncation that failed is carried out when it is retried', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-truncate-'));
  const path = join(folder, 'log');
  try {
    const { file } = (await LogFile.open(path)).unwrap();
    await file.append([entryOf(1, 10, 1), entryOf(2, 5_000, 1), entryOf(3, 10, 1)]);
    await file.sync();
    await failNextTruncation(path);
    await t.throwsAsync(file.truncate(2), { code: 'ENOSPC' });
    await file.truncate(2);
    await file.append([entryOf(2, 10, 2)]);
    await file.sync();
    await file.close();
    const opened = await LogFile.open(path);
    t.true(opened.ok);
    if (!opened.ok) return;
    t.deepEqual(
      opened.val.entries.map(({ index, term }) => [index, term]),
      [
        [1, 1],
        [2, 2],
      ],
    );
    await opened.val.file.close();
  } finally {
    await rm(folder, { recursive: true });
  }
});
