import test from 'ava';
import { FormationCore } from '../../src/consensus/formation-core.js';
import { nextMembership, type JoinView } from '../../src/consensus/join-core.js';

const NAMES = ['a', 'b', 'c'];

function replicas(): FormationCore[] {
  return NAMES.map((name) => new FormationCore(name, `${name}/1`, NAMES));
}

/** Each replica queries every other replica once. */
function queryAll(cores: readonly FormationCore[]): void {
  for (const querying of cores) {
    for (const answering of cores)
      if (answering !== querying) querying.receive(answering.answer(querying.query()));
  }
}

test('the founder forms the cluster only after every member has answered, and the others adopt its membership', (t) => {
  const [a, b, c] = replicas() as [FormationCore, FormationCore, FormationCore];
  a.receive(b.answer(a.query()));
  t.is(a.outcome.kind, 'undecided');
  a.receive(c.answer(a.query()));
  t.deepEqual(a.outcome, { kind: 'member', membership: { voters: ['a/1', 'b/1', 'c/1'], learners: [] } });
  queryAll([a, b, c]);
  t.is(b.outcome.kind, 'member');
  t.is(c.outcome.kind, 'member');
});

test('a replica that lost its folder is a stranger, even if it was the founder', (t) => {
  for (const lost of [0, 1]) {
    const cores = replicas();
    queryAll(cores);
    const name = NAMES[lost] ?? '';
    const restarted = new FormationCore(name, `${name}/2`, NAMES);
    for (const core of cores) if (core !== cores[lost]) restarted.receive(core.answer(restarted.query()));
    t.is(restarted.outcome.kind, 'stranger', name);
  }
});

test('a delayed answer from a previous identity of the founder is ignored', (t) => {
  const [a, b, c] = replicas() as [FormationCore, FormationCore, FormationCore];
  a.receive(b.answer(a.query()));
  a.receive(c.answer(a.query()));
  const delayedAnswer = a.answer(b.query());
  const withNewIdentity = new FormationCore('a', 'a/2', NAMES);
  b.answer(withNewIdentity.query());
  b.receive(delayedAnswer);
  t.is(b.outcome.kind, 'undecided');
});

const VIEW: JoinView = {
  membership: { voters: ['a/1', 'b/1', 'c/1'], learners: [] },
  commitIndex: 100,
  matchIndexOf: () => null,
  isActive: () => true,
};

const JOIN_CASES: readonly { name: string; view: Partial<JoinView>; expected: unknown }[] = [
  { name: 'the voter of the same name is still active', view: {}, expected: null },
  {
    name: 'the voter of the same name is inactive',
    view: { isActive: () => false },
    expected: { voters: ['a/1', 'b/1'], learners: [] },
  },
  {
    name: 'no voter has the same name',
    view: { membership: { voters: ['a/1', 'b/1'], learners: [] } },
    expected: { voters: ['a/1', 'b/1'], learners: ['c/2'] },
  },
  {
    name: 'it is a learner that is far behind',
    view: { membership: { voters: ['a/1', 'b/1'], learners: ['c/2'] }, matchIndexOf: () => 50 },
    expected: null,
  },
  {
    name: 'it is a learner that has caught up',
    view: { membership: { voters: ['a/1', 'b/1'], learners: ['c/2'] }, matchIndexOf: () => 95 },
    expected: { voters: ['a/1', 'b/1', 'c/2'], learners: [] },
  },
  {
    name: 'it is already a voter',
    view: { membership: { voters: ['a/1', 'b/1', 'c/2'], learners: [] } },
    expected: null,
  },
];

for (const { name, view, expected } of JOIN_CASES) {
  test(`joining as c/2: ${name}`, (t) => {
    t.deepEqual(nextMembership('c/2', { ...VIEW, ...view }), expected as never);
  });
}
