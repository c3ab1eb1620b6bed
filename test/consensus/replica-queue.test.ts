/** Guards against events that pile up in memory while a disk stalls, and against a replica that then takes part in no election. */
import test from 'ava';
import { ReplicaQueue } from '../../src/consensus/replica-queue.js';
import type { RaftEvent, RaftMessage } from '../../src/consensus/raft-types.js';
import { commandEntry } from './core-group.js';

const KIB = 1024;
const HEAD = { from: 'a/1', to: 'b/1', term: 1 } as const;

function append(bytes: number): RaftEvent {
  const place = { previousIndex: 0, previousTerm: 0, commitIndex: 0, round: 1 };
  const entries = bytes === 0 ? [] : [commandEntry(1, 1, bytes)];
  return { kind: 'message', message: { kind: 'append-request', ...HEAD, ...place, entries } };
}

function proposal(bytes: number): RaftEvent {
  return { kind: 'propose', proposalId: 'p', command: 'x'.repeat(bytes) };
}

const position = { index: 1, term: 1, membership: { voters: ['a/1'], learners: [] } };
const part: RaftMessage = {
  ...HEAD,
  kind: 'snapshot-part',
  position,
  offset: 0,
  totalBytes: 100 * KIB,
  content: 'x'.repeat(100 * KIB),
  round: 1,
};
const whole: RaftMessage = {
  ...HEAD,
  kind: 'snapshot-request',
  position,
  data: 'x'.repeat(100 * KIB),
  round: 1,
};

const LARGE_EVENTS: readonly (readonly [string, RaftEvent])[] = [
  ['entries', append(100 * KIB)],
  ['a proposal', proposal(100 * KIB)],
  ['a part of a snapshot', { kind: 'message', message: part }],
  ['a snapshot', { kind: 'message', message: whole }],
];

for (const [name, event] of LARGE_EVENTS) {
  test(`${name} beyond the limit in bytes: dropped, while ticks, votes and heartbeats fit`, (t) => {
    const queue = new ReplicaQueue(1024 * KIB, 256 * KIB);
    let taken = 0;
    for (let at = 0; at < 1_000; at += 1) if (queue.push(event)) taken += 1;
    t.true(taken >= 9 && taken <= 10);
    t.true(queue.bytes <= 1024 * KIB);
    t.true(queue.push({ kind: 'tick' }));
    t.true(queue.push(append(0)));
    const vote = { kind: 'vote-request', ...HEAD, preVote: false, lastIndex: 0, lastTerm: 0 } as const;
    t.true(queue.push({ kind: 'message', message: vote }));
  });
}

test('small events are limited in number, ticks and votes are not', (t) => {
  const queue = new ReplicaQueue(1024 * KIB, 256 * KIB);
  let taken = 0;
  for (let at = 0; at < 100_000; at += 1) if (queue.push(append(0))) taken += 1;
  t.true(taken < 10_000);
  t.false(queue.push(proposal(1)));
  t.true(queue.push({ kind: 'tick' }));
  const { length } = queue;
  t.true(queue.push({ kind: 'tick' }), 'one pending tick is enough');
  t.is(queue.length, length);
});

test('a batch is limited in bytes, a larger event is taken alone, and the order is kept', (t) => {
  const queue = new ReplicaQueue(1024 * KIB, 256 * KIB);
  const events = [100, 100, 100, 300, 10, 10].map((size) => append(size * KIB));
  for (const event of events) t.true(queue.push(event));
  const batches: RaftEvent[][] = [];
  while (queue.length > 0) batches.push(queue.takeBatch());
  t.deepEqual(
    batches.map(({ length }) => length),
    [2, 1, 1, 2],
  );
  t.deepEqual(batches.flat(), events);
  t.is(queue.bytes, 0);
  t.true(queue.push({ kind: 'tick' }));
  t.true(queue.push(append(2048 * KIB)), 'a process of an earlier version sends larger messages');
  t.false(queue.push(append(1)));
});
