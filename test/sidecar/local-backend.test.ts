/** What a daemon knows of the back end beside it. */
import test from 'ava';
import type { BackendHeartbeat } from '../../src/sidecar/backend-report.js';
import { LocalBackend } from '../../src/sidecar/local-backend.js';

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
  t.is(backend.id, 'two');
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
