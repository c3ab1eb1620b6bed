/**
 * Guards against commands that are only on disk and are applied or sent without their content, out of order, or after the log
 * no longer has them.
 */
import test from 'ava';
import { EntryApplier } from '../../src/consensus/entry-applier.js';
import { MessageSender } from '../../src/consensus/message-sender.js';
import type { AppendRequest, LogEntry, RaftMessage } from '../../src/consensus/raft-types.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';

const MEMBERSHIP = { voters: [], learners: [] };
const ENTRY_BYTES = 100;
const SLICE_BYTES = 250;

function command(index: number): LogEntry {
  const payload = { kind: 'command', proposalId: `p${index}`, command: { index } } as const;
  return { index, term: 1, payload };
}

function stored(index: number): LogEntry {
  return { index, term: 1, payload: { kind: 'stored', bytes: ENTRY_BYTES } };
}

/** Answers reads when told to, and records them. */
class ScriptedStore {
  readonly reads: string[] = [];
  firstIndex = 1;
  snapshotIndex = 0;
  private readonly pending: (() => void)[] = [];

  currentSnapshot(): { position: { index: number; term: number; membership: typeof MEMBERSHIP } } {
    return { position: { index: this.snapshotIndex, term: 1, membership: MEMBERSHIP } };
  }

  async readEntries(from: number, to: number): Promise<readonly LogEntry[]> {
    this.reads.push(`${from}-${to}`);
    await new Promise<void>((resolve) => this.pending.push(resolve));
    const start = Math.max(from, this.firstIndex);
    return Array.from({ length: Math.max(0, to - start + 1) }, (_, at) => command(start + at));
  }

  async answer(): Promise<void> {
    this.pending.shift()?.();
    for (let turn = 0; turn < 3; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }

  async answerAll(): Promise<void> {
    while (this.pending.length > 0) await this.answer();
  }
}

class World {
  readonly store = new ScriptedStore();
  readonly seen: string[] = [];
  readonly sent: string[] = [];
  readonly failures: string[] = [];
  private readonly onFailure = (error: unknown): void => void this.failures.push(String(error));
  readonly applier = new EntryApplier(
    nodeRuntime,
    {
      apply: ({ index, payload }) => void this.seen.push(`${payload.kind} ${index}`),
      snapshot: () => null,
      restore: (_data, index) => void this.seen.push(`restore ${index}`),
    },
    0,
    this.onFailure,
    { store: this.store, sliceBytes: SLICE_BYTES },
  );
  readonly sender = new MessageSender(
    this.store,
    { send: (message) => void this.sent.push(`${message.to}: ${describe(message)}`) },
    this.onFailure,
  );
}

function describe(message: RaftMessage): string {
  if (message.kind !== 'append-request') return message.kind;
  return message.entries.map(({ index, payload }) => `${payload.kind} ${index}`).join(' ');
}

function append(to: string, entries: readonly LogEntry[]): AppendRequest {
  const head = { kind: 'append-request', from: 'a', to, term: 1, previousIndex: 0, previousTerm: 0 } as const;
  return { ...head, entries, commitIndex: 0, round: 0 };
}

test('stored commands are read in slices bounded in bytes and applied in order with the others', async (t) => {
  const { applier, store, seen, failures } = new World();
  applier.add([command(1), stored(2), stored(3), stored(4), command(5)]);
  t.deepEqual(seen, ['command 1']);
  applier.add([command(6), stored(7)]);
  t.deepEqual(seen, ['command 1'], 'a later entry waits for the read');
  await store.answerAll();
  t.deepEqual(
    seen,
    [1, 2, 3, 4, 5, 6, 7].map((index) => `command ${index}`),
  );
  t.deepEqual(store.reads, ['2-3', '4-4', '7-7']);
  t.deepEqual(failures, []);
});

test('entries that a snapshot replaced before they were read are skipped until the snapshot is restored', async (t) => {
  const { applier, store, seen, failures } = new World();
  applier.add([stored(1), command(2)]);
  store.firstIndex = 10;
  store.snapshotIndex = 9;
  await store.answerAll();
  applier.add([command(3)]);
  applier.restore({}, 9);
  applier.add([stored(10)]);
  await store.answerAll();
  t.deepEqual(seen, ['restore 9', 'command 10']);
  t.deepEqual(failures, []);
});

test('a committed entry that the log lacks ends the replica', async (t) => {
  const { applier, store, seen, failures } = new World();
  store.firstIndex = 10;
  applier.add([stored(1), command(2)]);
  await store.answerAll();
  t.deepEqual(seen, []);
  t.is(failures.length, 1);
});

test('messages to one peer stay in order while commands are read, and those to others do not wait', async (t) => {
  const { sender, store, sent } = new World();
  sender.send(append('b', [stored(1), command(2), stored(3)]));
  sender.send(append('b', [command(4)]));
  sender.send(append('c', [command(1)]));
  sender.send(append('b', [stored(5)]));
  t.deepEqual(sent, ['c: command 1']);
  await store.answer();
  t.deepEqual(sent.slice(1), ['b: command 1 command 2 command 3', 'b: command 4']);
  t.deepEqual(store.reads, ['1-3', '5-5'], 'one message at a time is loaded for a peer');
  await store.answerAll();
  sender.send(append('b', [command(6)]));
  t.deepEqual(sent.slice(3), ['b: command 5', 'b: command 6']);
});

test('a message whose entries were discarded is not sent, and the next one is', async (t) => {
  const { sender, store, sent } = new World();
  store.firstIndex = 4;
  sender.send(append('b', [stored(3), stored(4)]));
  sender.send(append('b', [command(5)]));
  await store.answerAll();
  t.deepEqual(sent, ['b: command 5']);
});

test('nothing is sent or applied after a stop', async (t) => {
  const { sender, applier, store, sent, seen } = new World();
  sender.send(append('b', [stored(1)]));
  applier.add([stored(1)]);
  sender.stop();
  applier.stop();
  await store.answerAll();
  t.deepEqual([...sent, ...seen], []);
});
