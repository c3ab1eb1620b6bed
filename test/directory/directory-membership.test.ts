/** Tests of membership changes of a directory's replicas. */
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
    lostVoters: [],
    isLostLearner: () => false,
    ...parts,
  };
}

test('a joining replica becomes a learner, and then a voter while the maximum is not reached', (t) => {
  const joined = nextDirectoryMembership(view({ candidates: ['d:1/x'] }));
  t.deepEqual(joined?.learners, ['d:1/x']);
  const membership = { voters: ['a:1/x', 'b:1/x'], learners: ['d:1/x'] };
  const voter = nextDirectoryMembership(view({ membership, candidates: ['d:1/x'] }));
  t.deepEqual(voter?.voters, ['a:1/x', 'b:1/x', 'd:1/x']);
});

test('a lost voter is replaced only by a replica that holds the log', (t) => {
  const membership = { voters: ['a:1/x', 'b:1/x', 'c:1/x'], learners: ['d:1/x'] };
  const lostVoters = ['b:1/x'];
  const ready = nextDirectoryMembership(view({ membership, candidates: ['d:1/x'], lostVoters }));
  t.deepEqual(ready?.voters, ['a:1/x', 'c:1/x']);
  const behind = view({ membership, candidates: ['d:1/x'], lostVoters, matchIndexOf: () => 1 });
  t.is(nextDirectoryMembership(behind), null);
  t.is(nextDirectoryMembership(view({ lostVoters })), null, 'no replica is ready');
});

test('a replica that lost its disk replaces its previous identity', (t) => {
  const isActive = (id: string): boolean => id !== 'b:1/x';
  const removed = nextDirectoryMembership(view({ candidates: ['b:1/y'], isActive, maxVoters: 5 }));
  t.deepEqual(removed?.voters, ['a:1/x', 'c:1/x']);
});

test('a replica joins as a learner although the group was formed with more voters than the maximum', (t) => {
  const voters = ['a:1/x', 'b:1/x', 'c:1/x', 'd:1/x'];
  const joined = nextDirectoryMembership(
    view({ membership: { voters, learners: [] }, candidates: ['e:1/x'] }),
  );
  t.deepEqual(joined, { voters, learners: ['e:1/x'] });
  const learning = view({ membership: { voters, learners: ['e:1/x'] }, candidates: ['e:1/x'] });
  t.is(nextDirectoryMembership(learning), null, 'it does not vote');
});
