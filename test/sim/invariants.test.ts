import test from 'ava';
import { AcknowledgedConfigurations, AppliedEntries, findTwoServing } from '../../lab/sim/invariants.js';
import type { LogEntry } from '../../src/consensus/raft-types.js';

function entry(index: number, term: number, proposalId: string): LogEntry {
  return { index, term, payload: { kind: 'command', proposalId, command: {} } };
}

test('two back ends that would serve one shard are flagged', (t) => {
  const good = [
    { backend: 'a', shards: [1, 2] },
    { backend: 'b', shards: [3] },
  ];
  t.deepEqual(findTwoServing(good), []);
  const bad = [...good, { backend: 'c', shards: [2] }];
  t.deepEqual(
    findTwoServing(bad).map(({ invariant }) => invariant),
    ['one-owner-at-any-moment'],
  );
});

test('another entry at an index that was applied is flagged', (t) => {
  const applied = new AppliedEntries();
  t.is(applied.check('a', entry(1, 1, 'p1')), null);
  t.is(applied.check('b', entry(1, 1, 'p1')), null);
  t.is(applied.check('b', entry(1, 2, 'p2'))?.invariant, 'acknowledged-survives');
});

test('two submissions with one revision, and one submission with two, are flagged', (t) => {
  const configurations = new AcknowledgedConfigurations();
  t.is(configurations.acknowledged('left', 1), null);
  t.is(configurations.acknowledged('left', 1), null);
  t.is(configurations.acknowledged('right', 1)?.invariant, 'one-winner-a-revision');
  t.is(configurations.acknowledged('left', 2)?.invariant, 'one-answer-a-submission');
});

test('a daemon that goes back in revision is flagged; a new life may start anew', (t) => {
  const configurations = new AcknowledgedConfigurations();
  t.is(configurations.seen('router/1', 3), null);
  t.is(configurations.seen('router/1', 2)?.invariant, 'configuration-never-reverts');
  t.is(configurations.seen('router/2', 1), null);
});
