import test from 'ava';
import { differsByOneVoter, RaftCore } from '../../src/consensus/raft-core.js';
import {
  DEFAULT_RAFT_OPTIONS,
  type DurableState,
  type LogEntry,
  type Membership,
  type RaftEffect,
  type RaftEvent,
  type RaftMessage,
} from '../../src/consensus/raft-types.js';

const MEMBERSHIP: Membership = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };
const TICK_MS = 20;

/** Time by which a replica that has heard no peer since its start has started exactly one election. */
const LATE_MS = 10_000;
const FIRST_ELECTION_MS = DEFAULT_RAFT_OPTIONS.heartbeatMs + DEFAULT_RAFT_OPTIONS.electionTimeoutMs / 2;
const START_MS = LATE_MS - FIRST_ELECTION_MS;

/** A leader's heartbeat to `a/1`. */
const HEARTBEAT: RaftMessage = {
  kind: 'append-request',
  from: 'c/1',
  to: 'a/1',
  term: 1,
  previousIndex: 0,
  previousTerm: 0,
  entries: [],
  commitIndex: 0,
  round: 1,
};

function durable(given: Partial<DurableState> = {}): DurableState {
  return {
    hardState: { term: 0, votedFor: null },
    snapshot: { index: 0, term: 0, membership: MEMBERSHIP },
    entries: [],
    ...given,
  };
}

function core(id = 'a/1', given: Partial<DurableState> = {}): RaftCore {
  return new RaftCore(id, durable(given), DEFAULT_RAFT_OPTIONS, START_MS);
}

/** Ticks at the driver's interval and returns all effects. */
function tickUntil(replica: RaftCore, fromMs: number, toMs: number): RaftEffect[] {
  const effects: RaftEffect[] = [];
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += TICK_MS) {
    effects.push(...replica.step({ kind: 'tick' }, nowMs));
  }
  return effects;
}

function sent(effects: readonly RaftEffect[]): RaftMessage[] {
  return effects.flatMap((effect) => (effect.kind === 'send' ? [effect.message] : []));
}

function entry(index: number, term: number): LogEntry {
  return { index, term, payload: { kind: 'command', proposalId: `p${index}`, command: {} } };
}

/** Makes `a/1` leader of term 1 with the votes of `b/1`. */
function makeLeader(replica: RaftCore): RaftEffect[] {
  tickUntil(replica, START_MS, LATE_MS);
  const vote = { from: 'b/1', to: 'a/1', term: 1, kind: 'vote-answer', granted: true } as const;
  replica.step({ kind: 'message', message: { ...vote, preVote: true } }, LATE_MS);
  return replica.step({ kind: 'message', message: { ...vote, preVote: false } }, LATE_MS);
}

function acknowledge(replica: RaftCore, from: string, matchIndex: number, round = 0): RaftEffect[] {
  const answer = {
    kind: 'append-answer',
    from,
    to: 'a/1',
    term: 1,
    success: true,
    matchIndex,
    round,
  } as const;
  return replica.step({ kind: 'message', message: answer }, LATE_MS);
}

test('a replica requests pre-votes before it increments its term', (t) => {
  const replica = core();
  const effects = tickUntil(replica, START_MS, LATE_MS);
  t.is(replica.role, 'pre-candidate');
  t.is(replica.term, 0);
  t.false(effects.some(({ kind }) => kind === 'persist-hard-state'));
  t.deepEqual(
    sent(effects).map(({ to }) => to),
    ['b/1', 'c/1'],
  );
});

test('a leader commits only with a quorum, and only after an entry of its own term', (t) => {
  const replica = core('a/1', { entries: [entry(1, 0)] });
  makeLeader(replica);
  t.is(replica.role, 'leader');
  acknowledge(replica, 'b/1', 1);
  t.is(replica.commitIndex, 0, 'an entry of an earlier term alone is not committed');
  acknowledge(replica, 'b/1', 2);
  t.is(replica.commitIndex, 2);
});

test('entries that the leader appends are made durable before they are sent', (t) => {
  const replica = core();
  makeLeader(replica);
  const proposed = replica.step({ kind: 'propose', proposalId: 'p', command: {} }, LATE_MS);
  t.deepEqual(
    proposed.map(({ kind }) => kind),
    ['persist-entries'],
  );
  const flushed = sent(replica.step({ kind: 'flush' }, LATE_MS));
  t.deepEqual(
    flushed.map((message) => (message.kind === 'append-request' ? message.entries.length : 0)),
    [2, 2],
    'the no-op entry that starts the term and the proposal share one message to each peer',
  );
});

test('a proposal to a follower is dropped', (t) => {
  const effects = core().step({ kind: 'propose', proposalId: 'p', command: {} }, 0);
  t.deepEqual(
    effects.map(({ kind }) => kind),
    ['proposal-dropped'],
  );
});

interface VoteCase {
  readonly name: string;
  readonly voter: Partial<DurableState>;
  readonly request: { readonly term: number; readonly lastIndex: number; readonly lastTerm: number };
  readonly granted: boolean;
}

const VOTE_CASES: readonly VoteCase[] = [
  { name: 'an equal log', voter: {}, request: { term: 1, lastIndex: 0, lastTerm: 0 }, granted: true },
  {
    name: 'a shorter log',
    voter: { entries: [entry(1, 1)] },
    request: { term: 2, lastIndex: 0, lastTerm: 0 },
    granted: false,
  },
  {
    name: 'a longer log of an older term',
    voter: { entries: [entry(1, 2)] },
    request: { term: 3, lastIndex: 9, lastTerm: 1 },
    granted: false,
  },
  {
    name: 'an older term',
    voter: { hardState: { term: 5, votedFor: null } },
    request: { term: 4, lastIndex: 9, lastTerm: 4 },
    granted: false,
  },
  {
    name: 'a second candidate of the same term',
    voter: { hardState: { term: 5, votedFor: 'c/1' } },
    request: { term: 5, lastIndex: 9, lastTerm: 5 },
    granted: false,
  },
  {
    name: 'the same candidate again',
    voter: { hardState: { term: 5, votedFor: 'b/1' } },
    request: { term: 5, lastIndex: 9, lastTerm: 5 },
    granted: true,
  },
];

for (const { name, voter, request, granted } of VOTE_CASES) {
  test(`vote: ${name}`, (t) => {
    const replica = core('a/1', voter);
    const message = { kind: 'vote-request', from: 'b/1', to: 'a/1', preVote: false, ...request } as const;
    const answers = sent(replica.step({ kind: 'message', message }, 0));
    t.is(answers[0]?.kind === 'vote-answer' && answers[0].granted, granted);
  });
}

test('a follower that receives heartbeats but lacks entries is not up to date', (t) => {
  const replica = core();
  const heardMs = START_MS + 1_000;
  const missing = { ...HEARTBEAT, previousIndex: 7, previousTerm: 1, commitIndex: 7 };
  replica.step({ kind: 'message', message: missing }, heardMs);
  t.is(replica.lastLeaderContactMs, heardMs);
  t.is(replica.upToDateMs, -Infinity);
  const whole = { ...HEARTBEAT, entries: [entry(1, 1)], commitIndex: 1 };
  replica.step({ kind: 'message', message: whole }, heardMs + 100);
  t.is(replica.upToDateMs, heardMs + 100);
});

test('nobody is up to date while no entry of the present term is committed: the commit index may be higher than known', (t) => {
  const held = {
    hardState: { term: 1, votedFor: null },
    snapshot: { index: 3, term: 1, membership: MEMBERSHIP },
    entries: [entry(4, 1)],
  };
  const follower = core('a/1', held);
  const heardMs = START_MS + 1_000;
  const early = { ...HEARTBEAT, term: 2, previousIndex: 4, previousTerm: 1, commitIndex: 3 };
  follower.step({ kind: 'message', message: early }, heardMs);
  t.is(follower.upToDateMs, -Infinity);
  const ready = { ...early, entries: [entry(5, 2)], commitIndex: 5 };
  follower.step({ kind: 'message', message: ready }, heardMs + 100);
  t.is(follower.upToDateMs, heardMs + 100);
});

test('a replica refuses pre-votes while it hears a leader', (t) => {
  const replica = core();
  const heardMs = START_MS + 1_000;
  replica.step({ kind: 'message', message: HEARTBEAT }, heardMs);
  const request = {
    kind: 'vote-request',
    from: 'b/1',
    to: 'a/1',
    term: 2,
    preVote: true,
    lastIndex: 0,
    lastTerm: 0,
  } as const;
  const answerAt = (nowMs: number): boolean => {
    const [answer] = sent(replica.step({ kind: 'message', message: request }, nowMs));
    return answer?.kind === 'vote-answer' && answer.granted;
  };
  t.false(answerAt(heardMs + 100));
  t.true(answerAt(heardMs + DEFAULT_RAFT_OPTIONS.electionTimeoutMs));
});

test('a leader that does not hear a quorum steps down', (t) => {
  const replica = core();
  makeLeader(replica);
  tickUntil(replica, LATE_MS, LATE_MS + 3 * DEFAULT_RAFT_OPTIONS.electionTimeoutMs);
  t.is(replica.role, 'follower');
});

test('leadership is confirmed only by a heartbeat round that began after the request', (t) => {
  const replica = core();
  makeLeader(replica);
  acknowledge(replica, 'b/1', 1);
  replica.step({ kind: 'tick' }, LATE_MS);
  replica.step({ kind: 'confirm-leadership', requestId: 7 }, LATE_MS);
  const confirmed = (effects: readonly RaftEffect[]): boolean =>
    effects.some(({ kind }) => kind === 'leadership-confirmed');
  t.false(confirmed(acknowledge(replica, 'b/1', 1, 1)), 'the round was sent before the request');
  replica.step({ kind: 'tick' }, LATE_MS + DEFAULT_RAFT_OPTIONS.heartbeatMs);
  t.true(confirmed(acknowledge(replica, 'b/1', 1, 2)));
});

test('only one membership change is in progress, and it changes at most one voter', (t) => {
  const replica = core();
  makeLeader(replica);
  acknowledge(replica, 'b/1', 1);
  const change = (membership: Membership): void => {
    const event: RaftEvent = { kind: 'change-membership', membership };
    replica.step(event, LATE_MS);
  };
  change({ voters: ['a/1'], learners: [] });
  t.deepEqual(replica.membership, MEMBERSHIP, 'two voters cannot be removed in one change');
  const smaller = { voters: ['a/1', 'b/1'], learners: [] };
  change(smaller);
  t.deepEqual(replica.membership, smaller);
  change({ voters: ['a/1', 'b/1', 'c/2'], learners: [] });
  t.deepEqual(replica.membership, smaller, 'the first change is not committed yet');
});

test('quorums of memberships that differ by one voter overlap', (t) => {
  const of = (...voters: string[]): Membership => ({ voters, learners: [] });
  t.true(differsByOneVoter(of('a', 'b', 'c'), of('a', 'b')));
  t.true(differsByOneVoter(of('a', 'b'), of('a', 'b', 'd')));
  t.false(differsByOneVoter(of('a', 'b', 'c'), of('a', 'b', 'd')));
  t.false(differsByOneVoter(of('a'), of()));
});

test('a replica that was stalled processes pending messages before it starts an election', (t) => {
  const replica = core();
  tickUntil(replica, START_MS, START_MS + 60);
  const resumedMs = START_MS + 2_060;
  replica.step({ kind: 'tick' }, resumedMs);
  t.is(replica.role, 'follower', 'two seconds without a tick do not count as two seconds without a leader');
  tickUntil(replica, resumedMs, resumedMs + 2 * DEFAULT_RAFT_OPTIONS.electionTimeoutMs);
  t.is(replica.role, 'pre-candidate');
});

test('a leader that was stalled does not step down because of the stall', (t) => {
  const replica = core();
  makeLeader(replica);
  tickUntil(replica, LATE_MS, LATE_MS + 300);
  replica.step({ kind: 'tick' }, LATE_MS + 1_500);
  t.is(replica.role, 'leader');
});

test('a replica that has heard a leader waits for a full election timeout before it starts an election', (t) => {
  const replica = core();
  replica.step({ kind: 'message', message: HEARTBEAT }, START_MS);
  tickUntil(replica, START_MS, START_MS + DEFAULT_RAFT_OPTIONS.electionTimeoutMs - TICK_MS);
  t.is(replica.role, 'follower');
});

test('a replica that hears no leader repeats its election attempts', (t) => {
  const replica = core();
  const effects = tickUntil(replica, START_MS, START_MS + 3 * FIRST_ELECTION_MS);
  t.true(sent(effects).length >= 6, 'three rounds of requests to two peers');
  t.is(replica.term, 0, 'pre-votes do not increment the term');
});
