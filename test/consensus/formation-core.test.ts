import test from 'ava';
import { FormationCore } from '../../src/consensus/formation-core.js';
import { nextMembership, type JoinView } from '../../src/consensus/join-core.js';

const NAMES = ['a', 'b', 'c'];

function replicas(): FormationCore[] {
  return NAMES.map((name) => new FormationCore(name, `${name}/1`, NAMES));
}

/** Everybody asks everybody once. */
function askAll(cores: readonly FormationCore[]): void {
  for (const asking of cores) {
    for (const asked of cores) if (asked !== asking) asking.receive(asked.answer(asking.query()));
  }
}

test('the founder founds only when every member has answered, and the others follow', (t) => {
  const [a, b, c] = replicas() as [FormationCore, FormationCore, FormationCore];
  a.receive(b.answer(a.query()));
  t.is(a.outcome.kind, 'undecided');
  a.receive(c.answer(a.query()));
  t.deepEqual(a.outcome, { kind: 'member', membership: { voters: ['a/1', 'b/1', 'c/1'], learners: [] } });
  askAll([a, b, c]);
  t.is(b.outcome.kind, 'member');
  t.is(c.outcome.kind, 'member');
});

test('a replica that lost its folder is a stranger, also when it was the founder', (t) => {
  for (const lost of [0, 1]) {
    const cores = replicas();
    askAll(cores);
    const name = NAMES[lost] ?? '';
    const again = new FormationCore(name, `${name}/2`, NAMES);
    for (const core of cores) if (core !== cores[lost]) again.receive(core.answer(again.query()));
    t.is(again.outcome.kind, 'stranger', name);
  }
});

test('an answer of an earlier life of the founder is ignored', (t) => {
  const [a, b, c] = replicas() as [FormationCore, FormationCore, FormationCore];
  a.receive(b.answer(a.query()));
  a.receive(c.answer(a.query()));
  const late = a.answer(b.query());
  const reborn = new FormationCore('a', 'a/2', NAMES);
  b.answer(reborn.query());
  b.receive(late);
  t.is(b.outcome.kind, 'undecided');
});

const VIEW: JoinView = {
  membership: { voters: ['a/1', 'b/1', 'c/1'], learners: [] },
  commitIndex: 100,
  matchIndexOf: () => null,
  isActive: () => true,
};

const JOIN_CASES: readonly { name: string; view: Partial<JoinView>; expected: unknown }[] = [
  { name: 'its namesake still answers', view: {}, expected: null },
  {
    name: 'its namesake is gone',
    view: { isActive: () => false },
    expected: { voters: ['a/1', 'b/1'], learners: [] },
  },
  {
    name: 'the place is free',
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
    name: 'it votes already',
    view: { membership: { voters: ['a/1', 'b/1', 'c/2'], learners: [] } },
    expected: null,
  },
];

for (const { name, view, expected } of JOIN_CASES) {
  test(`joining as c/2: ${name}`, (t) => {
    t.deepEqual(nextMembership('c/2', { ...VIEW, ...view }), expected as never);
  });
}
