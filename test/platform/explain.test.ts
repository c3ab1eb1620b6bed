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

test('a call that was refused: its parent, what it inherited, and why it got no place', (t) => {
  const log = [
    '{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"request-refused","requestId":"p.r","reason":"busy","inheritedPriority":0,"parentLeftMs":9,"cause":"parent-time-up"}',
    '{"time":"2026-01-01T00:00:05.200Z","daemon":"one","event":"request-not-run","requestId":"p.r","reason":"refused: busy","parent":"p","parentBy":"id","inheritedPriority":0}',
  ].join('\n');
  t.is(
    explainRequest('p.r', readEvents(log)).cause,
    'it was refused, and was not run: refused: busy; two refused it as busy; it was a call of request p, and ' +
      'inherited priority 0; no place became free while its parent had time',
  );
});

test('new work that was refused because its calls fail', (t) => {
  const log =
    '{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"request-refused","requestId":"r","reason":"busy","cause":"calls-failing","calledService":"s"}';
  t.is(
    explainRequest('r', readEvents(log)).cause,
    'its end is not in these logs; two refused it as busy; it needs calls to s, which fail or come late there',
  );
});

test('a call that was answered late: how long it waited', (t) => {
  const log =
    '{"time":"2026-01-01T00:00:05.200Z","daemon":"one","event":"request-answered","requestId":"p.r","parent":"p","parentBy":"deadline","inheritedPriority":2,"waitedMs":300}';
  t.is(
    explainRequest('p.r', readEvents(log)).cause,
    'it was answered; it was a call of request p, as its deadline shows, and inherited priority 2; it waited 300 ms ' +
      'for a place, behind running work and calls of more urgent requests',
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

test('a request that was refused because of the network link', (t) => {
  const log =
    '{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"request-refused","requestId":"r","reason":"busy","running":2,"waiting":0,"slots":8,"linkFreeInMs":70}';
  t.is(
    explainRequest('r', readEvents(log)).cause,
    'its end is not in these logs; two refused it as busy (2 ran, 0 waited, 8 places); its network link had no room for the answer, and expected to have it 70 ms later',
  );
});

for (const [limit, refusal, cause] of [
  ['"limitPerSecond":2.5,', 'rate-limited', 'its back end names a limit of 2.5 requests a second'],
  ['"limitPerSecond":null,', 'rate-limited', 'whether its back end names a limit was not known yet'],
  ['"limitPerSecond":null,', 'busy', 'whether its back end names a limit was not known yet'],
] as const) {
  test(`a request that was refused because of a limit: ${refusal}, ${limit}`, (t) => {
    const log = [
      `{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"request-refused","requestId":"r",${limit}"reason":"${refusal}"}`,
      `{"time":"2026-01-01T00:00:05.200Z","daemon":"one","event":"request-not-run","requestId":"r","reason":"refused: ${refusal}"}`,
    ].join('\n');
    t.is(
      explainRequest('r', readEvents(log)).cause,
      `it was refused, and was not run: refused: ${refusal}; two refused it as ${refusal}; ${cause}`,
    );
  });
}

test('an answer that nothing delimited: its bytes, how its connection ended, and what came with it', (t) => {
  const log = [
    '{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"answer-received","requestId":"r","delimitedBy":"connection-end","statedBytes":null,"bodyBytes":2500,"connection":"ended","otherAnswers":1,"surplusBytes":0}',
    '{"time":"2026-01-01T00:00:05.150Z","daemon":"two","event":"surplus-bytes","requestId":"r","bytes":40,"isAnswer":true}',
    '{"time":"2026-01-01T00:00:05.200Z","daemon":"one","event":"request-answered","requestId":"r"}',
    '{"time":"2026-01-01T00:00:05.300Z","daemon":"one","event":"answer-not-delivered","requestId":"r","fault":"connection-closed","passedBytes":7}',
  ].join('\n');
  t.is(
    explainRequest('r', readEvents(log)).cause,
    'it was answered; its answer of 2500 bytes was delimited by nothing but the end of its connection, and its ' +
      'connection was ended, beside 1 answers to other requests; 40 bytes, which begin like another answer, came on ' +
      'its connection afterwards; one did not deliver it whole (connection-closed, after 7 bytes of its body)',
  );
});

test('a run that broke off tells what had come of its answer', (t) => {
  const log =
    '{"time":"2026-01-01T00:00:05.100Z","daemon":"two","event":"run-ended","requestId":"r","outcome":{"kind":"broken","trace":{"delimitedBy":null,"bodyBytes":0,"connection":"broken","otherAnswers":0,"surplusBytes":0}}}';
  t.is(
    explainRequest('r', readEvents(log)).cause,
    'its end is not in these logs; at its back end, beside two, the run ended as {"kind":"broken"}; its answer of ' +
      '0 bytes was delimited by nothing, since its head did not come, and its connection was broken',
  );
});
