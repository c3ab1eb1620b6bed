/** Explanation of a request from log lines as the daemons write them. */
import test from 'ava';
import { explainRequest, readEvents } from '../../src/telemetry/explain.js';

const LOG = [
  '  4.1 core-1 {"time":"2026-01-01T00:00:04.100Z","daemon":"core-1","event":"ranges-planned","service":"s","moves":[]}',
  '  4.2 one {"time":"2026-01-01T00:00:04.200Z","daemon":"one","event":"link-lost","reason":"peer is silent"}',
  '  5.2 one {"time":"2026-01-01T00:00:05.200Z","daemon":"one","event":"request-not-run","requestId":"r","reason":"refused: busy"}',
  '  5.1 two {"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"request-refused","requestId":"r","reason":"busy","running":6,"waiting":3,"slots":6}',
  '  5.3 one {"time":"2026-01-01T00:00:05.300Z","daemon":"one","event":"request-answered","requestId":"other"}',
  '  5.0 three {"time":"2026-01-01T00:00:05.000Z","daemon":"three","event":"link-lost","reason":"not on the path"}',
  'node: a line that is no event',
  '{"time":"cut off',
].join('\n');

test('a refused request: its path ordered by time, state changes of the daemons on the path, and the cause', (t) => {
  const { path, beliefs, cause } = explainRequest('r', readEvents(LOG));
  t.deepEqual(
    path.map(({ event }) => event),
    ['request-refused', 'request-not-run'],
  );
  t.deepEqual(
    beliefs.map(({ event }) => event),
    ['ranges-planned', 'link-lost'],
  );
  t.is(
    cause,
    'it was refused, and was not run: refused: busy; two refused it as busy (6 ran, 3 waited, 6 places)',
  );
});

test('a request whose run at the back end broke off', (t) => {
  const log = [
    '{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"run-ended","requestId":"r","outcome":{"kind":"broken"}}',
    '{"time":"2026-01-01T00:00:05.200Z","daemon":"one","event":"request-unknown","requestId":"r","reason":"x"}',
  ].join('\n');
  t.is(
    explainRequest('r', readEvents(log)).cause,
    'it may have run, and there is no answer: x; at its back end, beside two, the run ended as {"kind":"broken"}',
  );
});

test('a request that is not in the logs has no cause', (t) => {
  t.is(explainRequest('unknown', readEvents(LOG)).cause, null);
});

test('a quarantined request, and one that ran concurrently with the request that crashed its back end', (t) => {
  const log = [
    '{"time":"2026-01-01T00:00:04.000Z","daemon":"two","event":"backend-ended","instance":"i","runs":[{"requestId":"r","fingerprint":"f"},{"requestId":"beside","fingerprint":"g"}]}',
    '{"time":"2026-01-01T00:00:04.000Z","daemon":"two","event":"run-ended","requestId":"beside","outcome":{"kind":"broken"}}',
    '{"time":"2026-01-01T00:00:04.100Z","daemon":"one","event":"request-unknown","requestId":"beside","reason":"x"}',
    '{"time":"2026-01-01T00:00:09.000Z","daemon":"one","event":"request-quarantined","requestId":"again","fingerprint":"f"}',
  ].join('\n');
  const refused = explainRequest('again', readEvents(log));
  t.is(refused.cause, 'it was refused for good: back ends had ended under it');
  const beside = explainRequest('beside', readEvents(log));
  t.true(beside.beliefs.some(({ event }) => event === 'backend-ended'));
});

for (const [field, cause] of [
  ['linkFreeInMs', 'its network link had no room for the answer, and expected to have it 70 ms later'],
  ['returnInMs', 'it reserved room for a return 70 ms later'],
] as const) {
  test(`a request that was refused with ${field}`, (t) => {
    const log = `{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"request-refused","requestId":"r","reason":"busy","running":2,"waiting":0,"slots":8,"${field}":70}`;
    t.is(
      explainRequest('r', readEvents(log)).cause,
      `its end is not in these logs; two refused it as busy (2 ran, 0 waited, 8 places); ${cause}`,
    );
  });
}

for (const [limit, cause] of [
  ['"limitPerSecond":2.5,', 'its back end names a limit of 2.5 requests a second'],
  ['"limitPerSecond":null,', 'whether its back end names a limit was not known yet'],
] as const) {
  test(`a request that was refused because of a limit: ${limit}`, (t) => {
    const log = [
      `{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"request-refused","requestId":"r",${limit}"reason":"rate-limited"}`,
      '{"time":"2026-01-01T00:00:05.200Z","daemon":"one","event":"request-not-run","requestId":"r","reason":"refused: rate-limited"}',
    ].join('\n');
    t.is(
      explainRequest('r', readEvents(log)).cause,
      `it was refused, and was not run: refused: rate-limited; two refused it as rate-limited; ${cause}`,
    );
  });
}
