/** Tests of a daemon's state of its local back end. */
import test from 'ava';
import type { BackendHeartbeat } from '../../src/sidecar/backend-report.js';
import { LocalBackend, type HeartbeatOutcome } from '../../src/sidecar/local-backend.js';

function heartbeat(
  id: string,
  sequence: number,
  condition: 'ready' | 'draining' = 'ready',
): BackendHeartbeat {
  return {
    id,
    bornMs: null,
    service: 's',
    zone: 'z',
    slots: 1,
    version: 'v1',
    condition,
    sequence,
    coldLeftMs: 0,
    holds: null,
    released: [],
  };
}

test('delayed heartbeats of the current incarnation and of past ones are stale', (t) => {
  const backend = new LocalBackend(2_000);
  t.is(backend.recordHeartbeat(heartbeat('one', 5), 0), 'new-life');
  t.is(backend.recordHeartbeat(heartbeat('one', 4), 1), 'stale');
  t.is(backend.recordHeartbeat(heartbeat('two', 1), 2), 'new-life');
  t.is(backend.recordHeartbeat(heartbeat('one', 6), 3), 'stale');
  t.is(backend.life, 'two');
});

test('requests to a leaving back end stop before its drain time is over, even if it reports ready again', (t) => {
  const backend = new LocalBackend(2_000);
  backend.recordHeartbeat(heartbeat('one', 1), 0);
  t.is(backend.closesAtMs, Infinity);
  backend.recordHeartbeat(heartbeat('one', 2, 'draining'), 1_000);
  t.true(backend.closesAtMs < 3_000);
  backend.recordHeartbeat(heartbeat('one', 3), 1_500);
  t.true(backend.leaving);
  backend.recordHeartbeat(heartbeat('two', 1), 1_600);
  t.false(backend.leaving, 'another incarnation is not leaving');
});

test('a leave stated in answers counts from the first of them, if an earlier answer was without it', (t) => {
  const backend = new LocalBackend(2_000);
  backend.recordHeartbeat(heartbeat('one', 7), 0);
  backend.recordServing();
  backend.recordStatedLeave(1_000);
  backend.recordStatedLeave(1_500);
  t.is(backend.closesAtMs, 2_600);
  backend.recordHeartbeat(heartbeat('one', 8), 1_600);
  t.true(backend.leaving, 'heartbeats do not revoke it');
  backend.recordHeartbeat(heartbeat('two', 1), 1_700);
  t.false(backend.leaving, 'another incarnation is not leaving');
});

test('a leave stated in the first answer closes a back end that a previous process may have served at once', (t) => {
  const known = new LocalBackend(2_000);
  known.recordHeartbeat(heartbeat('one', 7), 0);
  known.recordStatedLeave(1_000);
  t.is(known.closesAtMs, 1_000);
  const started = new LocalBackend(2_000);
  started.recordHeartbeat(heartbeat('one', 1), 0);
  started.recordStatedLeave(1_000);
  t.is(started.closesAtMs, 2_600, 'no previous process can have served it');
});

interface ReceivedHeartbeat {
  readonly id: string;
  readonly bornMs: number | null;
  readonly sequence: number;
  readonly atMs: number;
  readonly news: HeartbeatOutcome;
}

/** Heartbeats of incarnations with the same id, in order of arrival. */
const SAME_ID: readonly { readonly name: string; readonly heartbeats: readonly ReceivedHeartbeat[] }[] = [
  {
    name: 'a new incarnation starts its own sequence',
    heartbeats: [
      { id: 'one', bornMs: 100, sequence: 7, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: 200, sequence: 1, atMs: 900, news: 'new-life' },
      { id: 'one', bornMs: 200, sequence: 2, atMs: 1_400, news: 'news' },
      { id: 'one', bornMs: 100, sequence: 8, atMs: 1_500, news: 'stale' },
    ],
  },
  {
    name: 'heartbeats of an earlier incarnation that was never seen are stale',
    heartbeats: [
      { id: 'one', bornMs: 200, sequence: 3, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: 100, sequence: 9, atMs: 600, news: 'stale' },
      { id: 'one', bornMs: 200, sequence: 4, atMs: 900, news: 'news' },
    ],
  },
  {
    name: 'after a silence, an earlier start time is a new incarnation whose clock was set back',
    heartbeats: [
      { id: 'one', bornMs: 20_000, sequence: 3, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: 10_000, sequence: 1, atMs: 5_000, news: 'new-life' },
    ],
  },
  {
    name: 'a heartbeat without a start time is not from an incarnation that reports one',
    heartbeats: [
      { id: 'one', bornMs: 100, sequence: 3, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: null, sequence: 9, atMs: 300, news: 'stale' },
    ],
  },
];

for (const { name, heartbeats } of SAME_ID) {
  test(`same id: ${name}`, (t) => {
    const backend = new LocalBackend(2_000);
    for (const { id, bornMs, sequence, atMs, news } of heartbeats) {
      t.is(backend.recordHeartbeat({ ...heartbeat(id, sequence), bornMs }, atMs), news);
    }
  });
}

test('a leave affects only its own incarnation, even if that is not the current one', (t) => {
  const backend = new LocalBackend(2_000);
  backend.recordHeartbeat({ ...heartbeat('one', 3), bornMs: 200 }, 0);
  backend.recordHeartbeat({ ...heartbeat('one', 9, 'draining'), bornMs: 100 }, 100);
  backend.leave({ id: 'one', bornMs: 100 }, 200);
  t.false(backend.leaving);
  backend.leave({ id: 'one', bornMs: 200 }, 300);
  t.true(backend.leaving);
  t.true(backend.left);
});

test('shortly after its start a daemon stops requests to a leaving back end at once, since the first acknowledgement is unknown', (t) => {
  const backend = new LocalBackend(2_000, 0);
  backend.recordHeartbeat(heartbeat('one', 7), 100);
  t.false(backend.confirmed);
  backend.recordHeartbeat(heartbeat('one', 8, 'draining'), 600);
  t.is(backend.closesAtMs, 600);
});

test('after two "ready" heartbeats the drain time counts from the leave', (t) => {
  const backend = new LocalBackend(2_000, 0);
  backend.recordHeartbeat(heartbeat('one', 7), 100);
  backend.recordHeartbeat(heartbeat('one', 8), 600);
  t.true(backend.confirmed);
  backend.recordHeartbeat(heartbeat('one', 9, 'draining'), 1_100);
  t.true(backend.closesAtMs > 2_000 && backend.closesAtMs < 3_100);
});
