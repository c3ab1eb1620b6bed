import test from 'ava';
import { diskSteps } from '../../src/consensus/disk-steps.js';
import type { LogEntry, RaftEffect } from '../../src/consensus/raft-types.js';

function entry(index: number): LogEntry {
  return { index, term: 1, payload: { kind: 'command', proposalId: `p${index}`, command: null } };
}

function append(...indexes: number[]): RaftEffect {
  return { kind: 'persist-entries', entries: indexes.map(entry) };
}

const TRUNCATE: RaftEffect = { kind: 'truncate-log', fromIndex: 3 };
const VOTE: RaftEffect = { kind: 'persist-hard-state', hardState: { term: 2, votedFor: 'a/1' } };
const COMMIT: RaftEffect = { kind: 'commit', entries: [] };

const CASES: readonly { name: string; effects: readonly RaftEffect[]; steps: readonly string[] }[] = [
  { name: 'effects without disk writes need no step', effects: [COMMIT], steps: [] },
  { name: 'a vote is durable by itself', effects: [VOTE], steps: ['persist-hard-state'] },
  {
    name: 'consecutive appends are merged into one write',
    effects: [append(1), append(2)],
    steps: ['persist-entries', 'sync'],
  },
  {
    name: 'a truncation is synced before the following append',
    effects: [TRUNCATE, append(3)],
    steps: ['truncate-log', 'sync', 'persist-entries', 'sync'],
  },
  {
    name: 'an append is synced before a later append that cannot be merged with it',
    effects: [append(1), VOTE, append(2)],
    steps: ['persist-entries', 'persist-hard-state', 'sync', 'persist-entries', 'sync'],
  },
];

for (const { name, effects, steps } of CASES) {
  test(name, (t) => {
    t.deepEqual(
      diskSteps(effects).map(({ kind }) => kind),
      steps,
    );
  });
}
