/**
 * Guards against a log that is in memory as a whole when it is opened, rewritten or read: its size is chosen by those who send
 * commands. The content of entries varies from a few bytes to more than the reading window.
 */
import { mkdtemp, rm, stat, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { Random } from '../../lab/random.js';
import { entryBytes } from '../../src/consensus/entry-size.js';
import type { LogEntry } from '../../src/consensus/raft-types.js';
import { LogFile } from '../../src/storage/log-file.js';
import { encodeRecord, scanRecords } from '../../src/storage/record-file.js';
import { entriesAfter } from '../../src/storage/replica-storage.js';

const SIZES = [0, 10, 2_000, 100_000, 255_900, 262_144, 700_000];
const MEMBERSHIP = { voters: ['a/1'], learners: [] };

async function inFolder(run: (path: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-log-'));
  try {
    await run(join(folder, 'log'));
  } finally {
    await rm(folder, { recursive: true });
  }
}

function randomLog(random: Random, first: number, count: number): LogEntry[] {
  return Array.from({ length: count }, (_, at) => {
    const index = first + at;
    const term = 1 + Math.floor(at / 3);
    if (random.below(6) === 0)
      return { index, term, payload: { kind: 'membership', membership: MEMBERSHIP } };
    const text = String.fromCharCode(97 + (index % 26)).repeat(random.pick(SIZES));
    return { index, term, payload: { kind: 'command', proposalId: `p${index}`, command: { text } } };
  });
}

function withoutCommands(entries: readonly LogEntry[]): unknown[] {
  return entries.map(({ index, term, payload }) => [
    index,
    term,
    payload.kind === 'membership' ? 'membership' : 'command',
  ]);
}

test('a log is opened within a limit in bytes and its commands are read back, whatever its entries and its snapshot', async (t) => {
  await inFolder(async (path) => {
    for (let seed = 1; seed <= 12; seed += 1) {
      const random = new Random(seed);
      const all = randomLog(random, 1 + random.below(5), 20);
      await writeFile(path, Buffer.concat(all.map((entry) => encodeRecord(entry))));
      const at = random.pick(all);
      const snapshot = { index: at.index, term: at.term + (seed % 4 === 0 ? 1 : 0), membership: MEMBERSHIP };
      const limit = random.pick([0, 150_000, 1_500_000]);
      const { file, entries } = (await LogFile.open(path, { snapshot, cachedBytes: limit })).unwrap();
      const expected = entriesAfter(snapshot, all);
      t.deepEqual(withoutCommands(entries), withoutCommands(expected), `seed ${seed}`);
      const cached = entries.filter(({ payload }) => payload.kind === 'command');
      t.true(cached.reduce((bytes, entry) => bytes + entryBytes(entry), 0) <= limit, `seed ${seed}`);
      await file.discard(snapshot);
      t.deepEqual(await file.readEntries(1, 100), expected, `seed ${seed}`);
      const next = randomLog(random, (expected.at(-1)?.index ?? snapshot.index) + 1, 3);
      await file.append(next);
      t.deepEqual(await file.readEntries(1, 100), [...expected, ...next], `seed ${seed}`);
      await file.close();
      const again = (await LogFile.open(path)).unwrap();
      t.deepEqual(again.entries, [...expected, ...next], `seed ${seed}`);
      await again.file.close();
    }
  });
});

test('a log that is cut or ends in zeros at any place is opened up to its last whole entry', async (t) => {
  await inFolder(async (path) => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = new Random(seed);
      const whole = Buffer.concat(randomLog(random, 1, 8).map((entry) => encodeRecord(entry)));
      const length = random.below(whole.length);
      const tail = random.pick([0, 5, 300_000]);
      const bytes = Buffer.concat([whole.subarray(0, length), Buffer.alloc(tail)]);
      await writeFile(path, bytes);
      const { file, entries } = (await LogFile.open(path)).unwrap();
      const { values, validBytes } = scanRecords(path, bytes).unwrap();
      t.deepEqual(entries, values, `seed ${seed}`);
      t.is((await stat(path)).size, validBytes, `seed ${seed}`);
      await file.close();
    }
  });
});

test('a flipped bit anywhere in a log of large entries is detected at the start, and by a read', async (t) => {
  await inFolder(async (path) => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = new Random(seed);
      const bytes = Buffer.concat(randomLog(random, 1, 6).map((entry) => encodeRecord(entry)));
      await writeFile(path, bytes);
      const { file } = (await LogFile.open(path)).unwrap();
      const at = random.below(bytes.length);
      bytes[at] = (bytes[at] ?? 0) ^ (1 << random.below(8));
      await writeFile(path, bytes);
      await t.throwsAsync(file.readEntries(1, 6), { message: /corrupt/ }, `seed ${seed}`);
      await file.close();
      t.true((await LogFile.open(path)).err, `seed ${seed}`);
    }
  });
});

test('a log that lacks an entry in its middle is an error', async (t) => {
  await inFolder(async (path) => {
    const log = randomLog(new Random(1), 1, 6).filter(({ index }) => index !== 4);
    await writeFile(path, Buffer.concat(log.map((entry) => encodeRecord(entry))));
    const opened = await LogFile.open(path);
    t.is(opened.err ? opened.val.detail : '', 'entries are missing');
  });
});

test('entries that are truncated while they are read are missing, and a rewrite does not disturb a read', async (t) => {
  await inFolder(async (path) => {
    const log = randomLog(new Random(3), 1, 10);
    const { file } = (await LogFile.open(path)).unwrap();
    await file.append(log);
    const whole = file.readEntries(1, 10);
    await file.discard({ index: 4, term: log[3]?.term ?? 0, membership: MEMBERSHIP });
    t.deepEqual(await whole, log);
    const cut = file.readEntries(5, 10);
    await file.truncate(8);
    const read = await cut;
    t.deepEqual(read, log.slice(4, 4 + read.length));
    t.true(read.length >= 3);
    t.deepEqual(await file.readEntries(1, 100), log.slice(4, 7));
    await truncate(path, 0);
    await t.throwsAsync(file.readEntries(5, 7), { message: /corrupt/ });
    await file.close();
  });
});
