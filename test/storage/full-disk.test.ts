/** Writes to a disk that is temporarily full. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { retryWhileDiskFull } from '../../src/consensus/full-disk.js';
import { LogFile } from '../../src/storage/log-file.js';
import type { LogEntry } from '../../src/consensus/raft-types.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

function entry(index: number): LogEntry {
  return { index, term: 1, payload: { kind: 'command', proposalId: `p${index}`, command: { kind: 'x' } } };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
}

test('a write is retried while the disk is full, and not after other errors', async (t) => {
  const time = new ManualTime();
  let refusals = 3;
  let done = false;
  const full = Object.assign(new Error('full'), { code: 'ENOSPC' });
  const writing = retryWhileDiskFull(time.runtime, async () => {
    await Promise.resolve();
    refusals -= 1;
    if (refusals >= 0) throw full;
  }).then(() => {
    done = true;
  });
  await settle();
  t.false(done);
  for (let pause = 0; pause < 3; pause += 1) {
    time.pass(1_000);
    await settle();
  }
  await writing;
  t.true(done);
  const broken = Object.assign(new Error('broken'), { code: 'EIO' });
  await t.throwsAsync(
    retryWhileDiskFull(time.runtime, async () => await Promise.reject(broken)),
    { is: broken },
  );
});

test('a failed append is retried at the same offset', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-'));
  const path = join(folder, 'log');
  const { file } = (await LogFile.open(path)).unwrap();
  await file.append([entry(1)]);
  const { handle } = file as unknown as { handle: { write: (...args: unknown[]) => Promise<unknown> } };
  const write = handle.write.bind(handle);
  let writes = 0;
  handle.write = async (bytes: unknown, offset: unknown, length: unknown, position: unknown) => {
    writes += 1;
    if (writes === 2) throw Object.assign(new Error('full'), { code: 'ENOSPC' });
    const part = writes === 1 ? 7 : (length as number);
    return await write(bytes, offset, part, position);
  };
  await t.throwsAsync(file.append([entry(2), entry(3)]));
  await file.append([entry(2), entry(3)]);
  await file.sync();
  await file.close();
  const again = (await LogFile.open(path)).unwrap();
  t.deepEqual(
    again.entries.map(({ index }) => index),
    [1, 2, 3],
  );
  await again.file.close();
  await rm(folder, { recursive: true });
});
