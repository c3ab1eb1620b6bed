import { isDeepStrictEqual } from 'node:util';
import test from 'ava';
import { RaftFrames } from '../../src/consensus/raft-frames.js';
import type { AppendRequest, LogEntry, RaftMessage } from '../../src/consensus/raft-types.js';
import { decodeFrame } from '../../src/transport/frame-codec.js';

function append(to: string, entries: readonly LogEntry[]): AppendRequest {
  const position = { term: 2, previousIndex: 4, previousTerm: 2, commitIndex: 4, round: 9 };
  return { kind: 'append-request', from: 'a/1', to, entries, ...position };
}

function entryAt(index: number, command: unknown): LogEntry {
  return { index, term: 2, payload: { kind: 'command', proposalId: `p-${index}`, command } };
}

test('messages decode to the original, whatever was encoded before', (t) => {
  const frames = new RaftFrames();
  const first = entryAt(5, { kind: 'x', text: 'a "quoted" ä' });
  const packed = entryAt(6, { cells: Uint32Array.from([1, 2]) });
  const vote = {
    kind: 'vote-request',
    from: 'a/1',
    to: 'b/1',
    term: 3,
    preVote: true,
    lastIndex: 4,
    lastTerm: 2,
  };
  const messages: RaftMessage[] = [
    append('b/1', [first]),
    append('c/1', [first]),
    append('b/1', []),
    append('b/1', [first, packed]),
    append('c/1', [first, packed]),
    vote as RaftMessage,
    append('d/1', [first]),
  ];
  for (const message of messages) t.deepEqual(decodeFrame(frames.encode(message)).unwrap(), message);
});

test('entries are serialized once for any number of replicas', (t) => {
  let reads = 0;
  const command = {
    get items() {
      reads += 1;
      return [1, 2, 3];
    },
  };
  const entry = entryAt(5, command);
  const frames = new RaftFrames();
  frames.encode(append('b/1', [entry]));
  const readsOfOne = reads;
  for (const to of ['c/1', 'd/1', 'e/1']) frames.encode(append(to, [entry]));
  t.is(reads, readsOfOne);
});

/** A command with about `bytes` bytes whose serializations are counted. */
function counted(bytes: number): { readonly reads: () => number; readonly command: unknown } {
  let reads = 0;
  const command = {
    get text() {
      reads += 1;
      return 'ä'.repeat(bytes / 2);
    },
  };
  return { reads: () => reads, command };
}

test('a large entry is serialized once for replicas at different places of the log', (t) => {
  const { reads, command } = counted(100_000);
  const large = entryAt(6, command);
  const frames = new RaftFrames();
  frames.encode(append('b/1', [large]));
  const readsOfOne = reads();
  for (const entries of [[entryAt(5, {}), large], [large, entryAt(7, {})], [], [large]])
    frames.encode(append('c/1', entries));
  t.is(reads(), readsOfOne);
});

test('the texts of large entries are kept up to a limit, the latest ones', (t) => {
  const frames = new RaftFrames();
  const first = counted(100_000);
  const oldest = entryAt(1, first.command);
  frames.encode(append('b/1', [oldest]));
  const readsOfOne = first.reads();
  for (let index = 2; index < 40; index += 1)
    frames.encode(append('b/1', [entryAt(index, 'x'.repeat(100_000))]));
  frames.encode(append('c/1', [oldest]));
  t.is(first.reads(), 2 * readsOfOne);
});

test('entries of any sizes decode to the original', (t) => {
  const frames = new RaftFrames();
  for (let length = 1; length <= 40; length += 1) {
    const sizeAt = (at: number): number => ((at * 7_919 * length) % 5) * 9_000;
    const entries = Array.from({ length }, (_, at) => entryAt(at + 1, { text: 'ä'.repeat(sizeAt(at)) }));
    for (const to of ['b/1', 'c/1']) {
      const message = append(to, entries.slice(to === 'b/1' ? 0 : 1));
      t.true(isDeepStrictEqual(decodeFrame(frames.encode(message)).unwrap(), message));
    }
  }
});
