import test from 'ava';
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { RaftCore } from '../../src/consensus/raft-core.js';
import {
  DEFAULT_RAFT_OPTIONS,
  type LogEntry,
  type RaftEffect,
  type RaftMessage,
} from '../../src/consensus/raft-types.js';
import { ReplicaStorage } from '../../src/storage/replica-storage.js';

const MEMBERSHIP = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };

async function inFolder(run: (folder: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-test-'));
  try {
    await run(join(folder, 'data'));
  } finally {
    await rm(folder, { recursive: true });
  }
}

function entry(index: number, term = 1): LogEntry {
  return { index, term, payload: { kind: 'command', proposalId: `p${index}`, command: { index } } };
}

function entries(from: number, to: number, term = 1): LogEntry[] {
  return Array.from({ length: to - from + 1 }, (_, at) => entry(from + at, term));
}

async function open(folder: string): Promise<ReplicaStorage> {
  return (await ReplicaStorage.open(folder, 'b')).unwrap();
}

test('synced state is restored after a restart', async (t) => {
  await inFolder(async (folder) => {
    const storage = await open(folder);
    await storage.form(MEMBERSHIP);
    await storage.saveHardState({ term: 3, votedFor: 'a/1' });
    await storage.append(entries(1, 5));
    await storage.truncate(4);
    await storage.append(entries(4, 6, 2));
    await storage.sync();
    const identity = storage.owner.identity;
    await storage.close();
    const again = await open(folder);
    t.is(again.owner.identity, identity);
    t.deepEqual(again.initialState.hardState, { term: 3, votedFor: 'a/1' });
    t.deepEqual(again.initialState.entries, [...entries(1, 3), ...entries(4, 6, 2)]);
    await again.close();
  });
});

test('a folder belongs to one replica', async (t) => {
  await inFolder(async (folder) => {
    await (await open(folder)).close();
    const other = await ReplicaStorage.open(folder, 'c');
    t.true(other.err);
    t.is(other.err ? other.val.kind : '', 'wrong-owner');
  });
});

test('a corrupt byte at any position in any file is an error, and so is a missing file', async (t) => {
  await inFolder(async (folder) => {
    const storage = await open(folder);
    await storage.form(MEMBERSHIP);
    await storage.append(entries(1, 3));
    await storage.sync();
    await storage.close();
    for (const name of (await readdir(folder)).sort()) {
      const path = join(folder, name);
      const whole = await readFile(path);
      for (let at = 0; at < whole.length; at += 1) {
        const damaged = Buffer.from(whole);
        damaged[at] = (damaged[at] ?? 0) ^ 0x10;
        await writeFile(path, damaged);
        const opened = await ReplicaStorage.open(folder, 'b');
        t.true(opened.err, `${name}, byte ${at}`);
      }
      if (name !== 'identity') {
        await rm(path);
        t.true((await ReplicaStorage.open(folder, 'b')).err, `${name} is missing`);
      }
      await writeFile(path, whole);
    }
    await (await open(folder)).close();
  });
});

/** Persists the effects of one step as the driver does. */
async function persist(storage: ReplicaStorage, effects: readonly RaftEffect[]): Promise<void> {
  for (const effect of effects) {
    if (effect.kind === 'persist-hard-state') await storage.saveHardState(effect.hardState);
    if (effect.kind === 'persist-entries') await storage.append(effect.entries);
    if (effect.kind === 'truncate-log') await storage.truncate(effect.fromIndex);
    if (effect.kind === 'install-snapshot') {
      await storage.writeSnapshot(effect.position, effect.data);
      await storage.adoptSnapshot(effect.position);
    }
  }
  await storage.sync();
}

const SNAPSHOT_CASES = [
  { name: 'agrees with the log and lies within it', term: 1, lastIndexAfter: 6 },
  { name: 'disagrees with the log', term: 2, lastIndexAfter: 3 },
];

for (const { name, term, lastIndexAfter } of SNAPSHOT_CASES) {
  test(`disk and memory hold the same log after a snapshot that ${name}`, async (t) => {
    await inFolder(async (folder) => {
      const storage = await open(folder);
      await storage.form(MEMBERSHIP);
      const core = new RaftCore('b/1', storage.initialState, DEFAULT_RAFT_OPTIONS, 0);
      const receive = async (message: RaftMessage): Promise<void> => {
        await persist(storage, core.step({ kind: 'message', message }, 1));
      };
      const head = { from: 'a/1', to: 'b/1', term: 2, round: 1 } as const;
      const append = { ...head, kind: 'append-request', commitIndex: 0 } as const;
      await receive({ ...append, previousIndex: 0, previousTerm: 0, entries: entries(1, 6) });
      const position = { index: 3, term, membership: MEMBERSHIP };
      await receive({ ...head, kind: 'snapshot-request', position, data: { state: 1 } });
      t.is(core.lastIndex, lastIndexAfter);
      await receive({ ...append, previousIndex: 3, previousTerm: term, entries: entries(4, 7, 2) });
      await storage.close();
      const again = await open(folder);
      const restarted = new RaftCore('b/1', again.initialState, DEFAULT_RAFT_OPTIONS, 0);
      t.deepEqual(again.initialState.entries, entries(4, 7, 2));
      t.is(restarted.lastIndex, core.lastIndex);
      await again.close();
    });
  });
}

test('a crash between writing a snapshot and dropping its entries loses no state', async (t) => {
  await inFolder(async (folder) => {
    const storage = await open(folder);
    await storage.form(MEMBERSHIP);
    await storage.append(entries(1, 5));
    await storage.sync();
    const position = { index: 3, term: 1, membership: MEMBERSHIP };
    await storage.writeSnapshot(position, { state: 1 });
    await storage.append(entries(6, 6));
    await storage.sync();
    t.deepEqual(storage.currentSnapshot().position.index, 0, 'not adopted yet');
    await storage.close();
    const again = await open(folder);
    t.deepEqual(again.initialState.snapshot, position);
    t.deepEqual(again.initialState.entries, entries(4, 6));
    t.deepEqual(again.snapshotData, { state: 1 });
    await again.close();
  });
});
