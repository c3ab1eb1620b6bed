import test from 'ava';
import { AcknowledgedConfigurations, AppliedEntries, findMultipleOwners } from '../../lab/sim/invariants.js';
import type { LogEntry } from '../../src/consensus/raft-types.js';

function entry(index: number, term: number, proposalId: string): LogEntry {
  return { index, term, payload: { kind: 'command', proposalId, command: {} } };
}

test('two back ends that would serve one shard are flagged', (t) => {
  const good = [
    { backend: 'a', shards: [1, 2] },
    { backend: 'b', shards: [3] },
  ];
  t.deepEqual(findMultipleOwners(good), []);
  const bad = [...good, { backend: 'c', shards: [2] }];
  t.deepEqual(
    findMultipleOwners(bad).map(({ invariant }) => invariant),
    ['one-owner-at-any-moment'],
  );
});

test('a different entry at an applied index is flagged', (t) => {
  const applied = new AppliedEntries();
  t.is(applied.recordApplied('a', entry(1, 1, 'p1')), null);
  t.is(applied.recordApplied('b', entry(1, 1, 'p1')), null);
  t.is(applied.recordApplied('b', entry(1, 2, 'p2'))?.invariant, 'acknowledged-survives');
});

test('two submissions with one revision, and one submission with two, are flagged', (t) => {
  const configurations = new AcknowledgedConfigurations();
  t.is(configurations.recordAcknowledged('left', 1), null);
  t.is(configurations.recordAcknowledged('left', 1), null);
  t.is(configurations.recordAcknowledged('right', 1)?.invariant, 'one-winner-a-revision');
  t.is(configurations.recordAcknowledged('left', 2)?.invariant, 'one-answer-a-submission');
});

test('a daemon whose revision decreases is flagged; a new incarnation may start lower', (t) => {
  const configurations = new AcknowledgedConfigurations();
  t.is(configurations.recordInForce('router/1', 3), null);
  t.is(configurations.recordInForce('router/1', 2)?.invariant, 'configuration-never-reverts');
  t.is(configurations.recordInForce('router/2', 1), null);
});
