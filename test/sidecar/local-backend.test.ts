/** What a daemon knows of the back end beside it. */
import test from 'ava';
import type { BackendHeartbeat } from '../../src/sidecar/backend-report.js';
import { LocalBackend, type HeartbeatNews } from '../../src/sidecar/local-backend.js';

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

test('late heartbeats of the present life and of earlier lives change nothing', (t) => {
  const backend = new LocalBackend(2_000);
  t.is(backend.take(heartbeat('one', 5), 0), 'new-life');
  t.is(backend.take(heartbeat('one', 4), 1), 'stale');
  t.is(backend.take(heartbeat('two', 1), 2), 'new-life');
  t.is(backend.take(heartbeat('one', 6), 3), 'stale');
  t.is(backend.life, 'two');
});

test('a back end that leaves is sent nothing well before its drain time is over, also when it says ready again', (t) => {
  const backend = new LocalBackend(2_000);
  backend.take(heartbeat('one', 1), 0);
  t.is(backend.closesAtMs, Infinity);
  backend.take(heartbeat('one', 2, 'draining'), 1_000);
  t.true(backend.closesAtMs < 3_000);
  backend.take(heartbeat('one', 3), 1_500);
  t.true(backend.leaving);
  backend.take(heartbeat('two', 1), 1_600);
  t.false(backend.leaving, 'another life does not leave');
});

interface Word {
  readonly id: string;
  readonly bornMs: number | null;
  readonly sequence: number;
  readonly atMs: number;
  readonly news: HeartbeatNews;
}

/** Heartbeats of lives that go by the same id, in the order in which they arrive. */
const SAME_ID: readonly { readonly name: string; readonly words: readonly Word[] }[] = [
  {
    name: 'a new life counts anew',
    words: [
      { id: 'one', bornMs: 100, sequence: 7, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: 200, sequence: 1, atMs: 900, news: 'new-life' },
      { id: 'one', bornMs: 200, sequence: 2, atMs: 1_400, news: 'news' },
      { id: 'one', bornMs: 100, sequence: 8, atMs: 1_500, news: 'stale' },
    ],
  },
  {
    name: 'an earlier life that was never heard is late',
    words: [
      { id: 'one', bornMs: 200, sequence: 3, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: 100, sequence: 9, atMs: 600, news: 'stale' },
      { id: 'one', bornMs: 200, sequence: 4, atMs: 900, news: 'news' },
    ],
  },
  {
    name: 'a life that seems to have begun earlier, after a silence, is one whose clock was set back',
    words: [
      { id: 'one', bornMs: 20_000, sequence: 3, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: 10_000, sequence: 1, atMs: 5_000, news: 'new-life' },
    ],
  },
  {
    name: 'whoever does not tell when it started is not the life that does',
    words: [
      { id: 'one', bornMs: 100, sequence: 3, atMs: 0, news: 'new-life' },
      { id: 'one', bornMs: null, sequence: 9, atMs: 300, news: 'stale' },
    ],
  },
];

for (const { name, words } of SAME_ID) {
  test(`same id: ${name}`, (t) => {
    const backend = new LocalBackend(2_000);
    for (const { id, bornMs, sequence, atMs, news } of words) {
      t.is(backend.take({ ...heartbeat(id, sequence), bornMs }, atMs), news);
    }
  });
}

test('a leave binds its own life only, also when that life is not the present one', (t) => {
  const backend = new LocalBackend(2_000);
  backend.take({ ...heartbeat('one', 3), bornMs: 200 }, 0);
  backend.take({ ...heartbeat('one', 9, 'draining'), bornMs: 100 }, 100);
  backend.leave({ id: 'one', bornMs: 100 }, 200);
  t.false(backend.leaving);
  backend.leave({ id: 'one', bornMs: 200 }, 300);
  t.true(backend.leaving);
  t.true(backend.left);
});

test('soon after its start a daemon does not know when a leave was first acknowledged, and closes at once', (t) => {
  const backend = new LocalBackend(2_000, 0);
  backend.take(heartbeat('one', 7), 100);
  t.false(backend.confirmed);
  backend.take(heartbeat('one', 8, 'draining'), 600);
  t.is(backend.closesAtMs, 600);
});

test('a daemon that has heard a back end say "ready" twice counts from its leave', (t) => {
  const backend = new LocalBackend(2_000, 0);
  backend.take(heartbeat('one', 7), 100);
  backend.take(heartbeat('one', 8), 600);
  t.true(backend.confirmed);
  backend.take(heartbeat('one', 9, 'draining'), 1_100);
  t.true(backend.closesAtMs > 2_000 && backend.closesAtMs < 3_100);
});
