/** Guards against a log in memory that grows with the size of its commands: applied ones are dropped down to a limit in bytes. */
import test from 'ava';
import { entryBytes } from '../../src/consensus/entry-size.js';
import { RaftLog } from '../../src/consensus/raft-log.js';
import type { EntryPayload, LogEntry } from '../../src/consensus/raft-types.js';

const MEMBERSHIP = { voters: ['a/1'], learners: [] };
const START = { index: 0, term: 0, membership: MEMBERSHIP };

function command(index: number, length: number): LogEntry {
  const payload: EntryPayload = { kind: 'command', proposalId: `p${index}`, command: 'x'.repeat(length) };
  return { index, term: 1, payload };
}

function kinds(log: RaftLog): string[] {
  return log.slice(1, 100).map(({ payload }) => payload.kind);
}

test('the oldest commands are dropped from memory until the others fit, and no more', (t) => {
  const entries = [command(1, 1_000), command(2, 10), command(3, 5_000), command(4, 500)];
  const log = new RaftLog(START, entries);
  const newest = entryBytes(entries[3] ?? command(4, 500));
  log.evict(4, newest);
  t.deepEqual(kinds(log), ['stored', 'stored', 'stored', 'command']);
  t.is(log.cachedBytes, newest);
  log.append([command(5, 2_000)]);
  log.evict(4, 0);
  t.deepEqual(kinds(log).slice(3), ['stored', 'command'], 'an entry that is not applied stays');
  t.is(log.termAt(2), 1);
});

test('a membership stays in memory', (t) => {
  const membership: LogEntry = {
    index: 1,
    term: 1,
    payload: { kind: 'membership', membership: { voters: ['a/1', 'b/1'], learners: [] } },
  };
  const log = new RaftLog(START, [membership, command(2, 100)]);
  log.evict(2, 0);
  t.deepEqual(kinds(log), ['membership', 'stored']);
  t.is(log.membership().index, 1);
});

test('the size in memory follows truncation, compaction and a reset', (t) => {
  const log = new RaftLog(START, [command(1, 100), command(2, 200), command(3, 300), command(4, 400)]);
  log.evict(1, 0);
  log.truncate(4);
  t.is(log.cachedBytes, entryBytes(command(2, 200)) + entryBytes(command(3, 300)));
  log.append([command(4, 50)]);
  log.compact({ index: 3, term: 1, membership: MEMBERSHIP });
  t.is(log.cachedBytes, entryBytes(command(4, 50)));
  log.evict(4, 0);
  t.is(log.cachedBytes, 0);
  log.truncate(4);
  log.append([command(4, 70)]);
  log.evict(4, 0);
  t.is(log.cachedBytes, 0, 'an entry that replaced an evicted one is evicted too');
  log.reset({ index: 9, term: 2, membership: MEMBERSHIP });
  t.is(log.cachedBytes, 0);
});
