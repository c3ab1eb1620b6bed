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
