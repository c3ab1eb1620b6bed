/** Who becomes and stays a member of a directory. */
import test from 'ava';
import {
  nextDirectoryMembership,
  type DirectoryMembershipView,
} from '../../src/directory/directory-membership.js';

function view(parts: Partial<DirectoryMembershipView>): DirectoryMembershipView {
  return {
    membership: { voters: ['a:1/x', 'b:1/x', 'c:1/x'], learners: [] },
    commitIndex: 100,
    matchIndexOf: () => 100,
    isActive: () => true,
    candidates: [],
    maxVoters: 3,
    isLost: () => false,
    ...parts,
  };
}

test('a newcomer becomes a learner, and a voter while there are places', (t) => {
  const joined = nextDirectoryMembership(view({ candidates: ['d:1/x'] }));
  t.deepEqual(joined?.learners, ['d:1/x']);
  const membership = { voters: ['a:1/x', 'b:1/x'], learners: ['d:1/x'] };
  const voter = nextDirectoryMembership(view({ membership, candidates: ['d:1/x'] }));
  t.deepEqual(voter?.voters, ['a:1/x', 'b:1/x', 'd:1/x']);
});

test('a lost voter gives way only to a replica that holds the log', (t) => {
  const membership = { voters: ['a:1/x', 'b:1/x', 'c:1/x'], learners: ['d:1/x'] };
  const isLost = (id: string): boolean => id === 'b:1/x';
  const ready = nextDirectoryMembership(view({ membership, candidates: ['d:1/x'], isLost }));
  t.deepEqual(ready?.voters, ['a:1/x', 'c:1/x']);
  const behind = view({ membership, candidates: ['d:1/x'], isLost, matchIndexOf: () => 1 });
  t.is(nextDirectoryMembership(behind), null);
  t.is(nextDirectoryMembership(view({ isLost })), null, 'nobody stands ready');
});

test('a replica whose disk was lost replaces its earlier self', (t) => {
  const isActive = (id: string): boolean => id !== 'b:1/x';
  const removed = nextDirectoryMembership(view({ candidates: ['b:1/y'], isActive, maxVoters: 5 }));
  t.deepEqual(removed?.voters, ['a:1/x', 'c:1/x']);
});
